"""Kernel state of a connection: age of received data, closed by the peer, unacknowledged bytes."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import Protocol

# struct tcp_info of Linux's tcp.h: eight single bytes, of which the first is `tcpi_state`, followed
# by 32-bit fields, of which the twelfth is `tcpi_last_data_recv` (milliseconds). Offsets in bytes.
STATE_OFFSET = 0
UNACKED_OFFSET = 24  # `tcpi_unacked`: of a listening socket, the length of its accept queue
UNKNOWN_BACKLOG = 1 << 16
LAST_DATA_RECV_OFFSET = 52
LAST_DATA_RECV_END = 56
# TCP states of the same header. CLOSE: the peer has reset the connection. CLOSE_WAIT: the peer has
# sent a FIN, even if data received before it is still unread.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
# Option of socket(7), of which Python has no name: sizes of the buffers of a socket, of which the
# first two are the memory that received data takes and its limit.
SO_MEMINFO = 55
_MEMINFO = struct.Struct("II")
# Part of the limit up to which the receive window is open, however the data was cut into packets.
MAX_FILL_FRACTION = 0.5
_UINT32 = struct.Struct("I")
_INT = struct.Struct("i")
_ZERO_INT = _INT.pack(0)


class Socket(Protocol):
    """The part of a socket used here, which the event loop's `TransportSocket` also has."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """Return the value of a socket option, at most `size` bytes."""


def data_age(sock: Socket) -> float:
    """Return the seconds since this connection last received data (`TCP_INFO`, tcp(7)).

    The resolution is 1 ms, limited by the kernel's tick. 0 if the system does not provide it: the
    age of a request then counts from when it was read.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_END)
        return float(_UINT32.unpack_from(info, LAST_DATA_RECV_OFFSET)[0]) / 1000
    except (OSError, AttributeError, struct.error):
        return 0.0


def backlog_length(listener: Socket) -> int:
    """Return how many connections wait to be accepted (`TCP_INFO` of a listening socket).

    A large number if the system does not provide it.
    """
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_END)
        return int(_UINT32.unpack_from(info, UNACKED_OFFSET)[0])
    except (OSError, AttributeError, struct.error):
        return UNKNOWN_BACKLOG


def has_ended(sock: Socket) -> bool:
    """Return whether the peer has closed or reset this connection (`TCP_INFO`, tcp(7)).

    Detects this also while earlier data is unread or reading is paused. False if the system does
    not provide the state.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_END)
        return info[STATE_OFFSET] in (TCP_CLOSE, TCP_CLOSE_WAIT)
    except (OSError, AttributeError, IndexError):
        return False


def is_window_short(sock: Socket) -> bool:
    """Return whether unread data fills much of the receive buffer (`SO_MEMINFO`).

    The peer may then have more to send, and the end of the connection behind it. False if the
    system does not provide the sizes.
    """
    try:
        sizes = sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, _MEMINFO.size)
        used, limit = _MEMINFO.unpack(sizes)
    except (OSError, AttributeError, struct.error):
        return False
    return bool(used > MAX_FILL_FRACTION * limit)


def unacknowledged(sock: socket.socket) -> int:
    """Return the bytes written that the peer has not acknowledged (`SIOCOUTQ`, tcp(7)).

    The kernel buffers megabytes and signals writability in large steps, so for a slow reader this
    is the only sign of progress. 0 if the system does not provide it.
    """
    try:
        size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _ZERO_INT)
        return int(_INT.unpack(size)[0])
    except OSError:
        return 0
