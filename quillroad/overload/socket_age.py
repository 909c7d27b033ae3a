"""What the kernel knows of a connection: the age of its bytes, and whether its peer has gone."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import Protocol

# struct tcp_info of Linux's tcp.h: eight single bytes, the first of them `tcpi_state`, then 32-bit
# fields, the twelfth of them `tcpi_last_data_recv` (milliseconds). Offsets are in bytes.
STATE_OFFSET = 0
LAST_DATA_RECV_OFFSET = 52
LAST_DATA_RECV_END = 56
# States of the same header: the peer has reset the connection; the peer has ended it, whatever
# bytes of it are still to be read.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
_UINT32 = struct.Struct("I")
_INT = struct.Struct("i")
_NO_BYTES = _INT.pack(0)


class Socket(Protocol):
    """What is asked of a socket; the event loop's stand-in for a socket has it too."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """The value of a socket option, as `size` bytes at the most."""


def data_age(sock: Socket) -> float:
    """Seconds since the last data came in on this TCP connection (`TCP_INFO`, tcp(7)).

    Whole milliseconds, as exact as the kernel's tick. 0 where the system does not tell: a request
    then counts from when it was read.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_END)
        return float(_UINT32.unpack_from(info, LAST_DATA_RECV_OFFSET)[0]) / 1000
    except (OSError, AttributeError, struct.error):
        return 0.0


def has_ended(sock: Socket) -> bool:
    """Whether the peer has ended or reset this connection (`TCP_INFO`, tcp(7)).

    Seen also where bytes that came before are still unread, or nobody reads. False where the system
    does not tell.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_END)
        return info[STATE_OFFSET] in (TCP_CLOSE, TCP_CLOSE_WAIT)
    except (OSError, AttributeError, IndexError):
        return False


def unacknowledged(sock: socket.socket) -> int:
    """Bytes written to a connection that the peer's machine has not taken (`SIOCOUTQ`, tcp(7)).

    The kernel buffers megabytes and asks for more in large steps: of a slow reader this alone shows
    that it reads. 0 where the system does not tell.
    """
    try:
        size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _NO_BYTES)
        return int(_INT.unpack(size)[0])
    except OSError:
        return 0
