"""What the kernel knows of a connection that was not read yet: how long its bytes have waited, and whether
the other side has gone."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import Protocol

# struct tcp_info of Linux's tcp.h: eight bytes, then 32-bit fields, the twelfth `tcpi_last_data_recv`.
LAST_DATA_RECV_AT, LAST_DATA_RECV_END = 52, 56
STATE_AT = 0  # `tcpi_state`, its first byte
CLOSED, CLOSE_WAIT = (
    7,
    8,
)  # reset; ended by the other side, whatever bytes of it are still to be read
_FIELD = struct.Struct("I")
_INT = struct.Struct("i")


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


def has_ended(sock: Socket) -> bool:
    """Whether the other side has ended or reset this connection, also where bytes that came before are still
    unread, or nobody reads (`TCP_INFO`, tcp(7)). False where the system does not tell."""
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_END)
        return told[STATE_AT] in (CLOSED, CLOSE_WAIT)
    except (OSError, AttributeError, IndexError):
        return False


def unacknowledged(sock: socket.socket) -> int:
    """Bytes written to a connection that the other side's machine has not taken (`SIOCOUTQ`, tcp(7)); 0 where
    the system does not tell. The kernel holds megabytes and asks for more in large steps: of a slow reader
    this alone shows that it reads."""
    try:
        told = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _INT.pack(0))
        return int(_INT.unpack(told)[0])
    except OSError:
        return 0
