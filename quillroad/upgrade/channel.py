"""One end of a local socket between processes of a gateway: messages and descriptors in and out, with
bounds."""

from __future__ import annotations

import array
import asyncio
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Sequence

from quillroad.upgrade.messages import BATCH, CHUNK, BadPacket, Message, Reader, packets

WAITING = 4096  # packets at most that wait for the other side to read: 128 MiB, four of the longest messages
_CREDENTIALS = struct.Struct("3i")


def pair() -> tuple[socket.socket, socket.socket]:
    """Two ends that no other process can name."""
    return socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)


def peer(sock: socket.socket) -> tuple[int, int]:
    """Process and user at the other end of a local socket (SO_PEERCRED, unix(7)); who made the socket, where
    it was made as a pair."""
    told = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    pid, user, _ = _CREDENTIALS.unpack(told)
    return pid, user


class Channel:
    """`on_message` gets each message with the descriptors that came along, which are its own from then on;
    `on_end` is called once, with why, when nothing more can come: the other side has ended, or says what
    makes no sense. Raises PermissionError for an end that another user holds."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: Callable[[Message, list[int]], None],
        on_end: Callable[[str], None],
    ) -> None:
        self.peer, user = peer(sock)  # the other's process and user
        if user != os.geteuid():
            sock.close()
            raise PermissionError(f"a socket of user {user}")
        sock.setblocking(False)
        self._loop, self._sock = loop, sock
        self._on_message, self._on_end = on_message, on_end
        self._reader, self._number = Reader(), 0
        self._out: deque[tuple[bytes, Sequence[int]]] = deque()
        self._fds: list[int] = []
        self._writing = self._closed = self._mute = False
        loop.add_reader(sock.fileno(), self._read)

    @property
    def closed(self) -> bool:
        return self._closed

    def send(self, message: Message, fds: Sequence[int] = ()) -> None:
        """Send, and forget where the other side is gone. `fds` are copied by the kernel when the packet
        leaves: they have to stay open until an answer has come."""
        if self._closed or self._mute:
            return
        for packet in packets(message, self._number):
            self._out.append((packet, fds))
            fds = ()
        self._number += 1
        if len(self._out) > WAITING:
            self._end("it reads nothing")
        elif not self._writing:
            self._write()

    def _write(self) -> None:
        while self._out and not self._closed:
            packet, fds = self._out[0]
            told = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", fds))] if fds else []
            try:
                self._sock.sendmsg([packet], told, socket.MSG_NOSIGNAL)
            except (BlockingIOError, InterruptedError):
                if not self._writing:
                    self._writing = True
                    self._loop.add_writer(self._sock.fileno(), self._write)
                return
            except OSError:
                # The other side is gone. What it said before is still read, up to its end.
                self._mute = True
                self._out.clear()
                break
            self._out.popleft()
        if self._writing and not self._closed:
            self._writing = False
            self._loop.remove_writer(self._sock.fileno())

    def _read(self) -> None:
        while not self._closed:
            try:
                packet, told, flags, _ = self._sock.recvmsg(
                    CHUNK + 64,
                    socket.CMSG_SPACE(BATCH * array.array("i").itemsize),
                    socket.MSG_CMSG_CLOEXEC,
                )
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionResetError:
                # Told once where the other side ended with something unread, and before what it said last.
                continue
            except OSError as error:
                self._end(error.strerror or str(error))
                return
            self._fds += _descriptors(told)
            if not packet:
                self._end("it has ended")
                return
            if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                self._end("a packet is cut off")
                return
            try:
                message = self._reader.read(packet)
            except BadPacket as error:
                self._end(str(error))
                return
            if message is not None:
                fds, self._fds = self._fds, []
                self._on_message(message, fds)

    def _end(self, why: str) -> None:
        if not self._closed:
            self.close()
            self._on_end(why)

    def close(self) -> None:
        """Nothing more is said or heard; `on_end` is not called for it."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._sock.fileno())
        if self._writing:
            self._loop.remove_writer(self._sock.fileno())
        self._sock.close()
        self._out.clear()
        for fd in self._fds:
            os.close(fd)
        self._fds = []


def _descriptors(told: Sequence[tuple[int, int, bytes]]) -> list[int]:
    found = array.array("i")
    for level, kind, data in told:
        if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
            found.frombytes(data[: len(data) - len(data) % found.itemsize])
    return found.tolist()
