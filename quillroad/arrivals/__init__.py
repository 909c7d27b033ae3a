"""How work reaches the gateway: accepting connections, the true age of what was read, and stalls of the loop.

`backoff` and `pulse` decide and do no I/O; `acceptor`, `age` and `heart` are their sides towards the sockets
and the loop.
"""
