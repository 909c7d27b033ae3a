"""How long the bytes of a connection have waited in the kernel."""

from __future__ import annotations

import socket
import struct
from typing import Protocol

# struct tcp_info of Linux's tcp.h: eight bytes, then 32-bit fields, the twelfth `tcpi_last_data_recv`.
LAST_DATA_RECV_AT, LAST_DATA_RECV_END = 52, 56
_FIELD = struct.Struct("I")


class Socket(Protocol):
    """What is asked of a socket; the event loop's stand-in for one has it too."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes: ...


def data_age(sock: Socket) -> float:
    """Seconds since the last data came in on this TCP connection, in whole milliseconds of the kernel's tick
    (`TCP_INFO`, tcp(7)). 0 where the system does not tell: then a request counts from when it was read."""
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_END)
        return float(_FIELD.unpack_from(told, LAST_DATA_RECV_AT)[0]) / 1000
    except (OSError, AttributeError, struct.error):
        return 0.0
