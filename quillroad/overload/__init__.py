"""Overload protection: how work reaches the gateway, and what happens when there is too much of it.

Free of I/O are `accept_backoff`, `admission_tuning`, `admission_queue`, `quota_bucket`,
`route_queue`, `body_budget`, `event_loop_lag`, `fast_path_parse` and `retry_after`. The sides
towards sockets, the event loop and the C library are `acceptor`, `socket_age`, `event_loop_monitor`
and `heap`.
"""
