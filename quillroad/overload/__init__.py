"""How work reaches the gateway: accepting connections, the true age of what was read, and stalls of the loop.

`admission`, `backoff`, `glance`, `pulse` and `spread` decide and do no I/O; `acceptor`, `age` and `heart` are
the sides towards the sockets and the loop.
"""
