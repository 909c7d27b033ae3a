"""Overload protection: accepting connections, admission of requests and load shedding.

The modules `accept_backoff`, `admission_tuning`, `admission_queue`, `quota_bucket`, `route_queue`,
`memory_account`, `read_buffer`, `event_loop_lag`, `fast_path_parse` and `retry_after` do no I/O.
The modules `acceptor`, `socket_age`, `event_loop_monitor` and `heap` work with sockets, the event
loop and the C library.
"""
