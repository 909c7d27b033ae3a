"""One end of a local socket between processes of a gateway: messages and descriptors."""

from __future__ import annotations

import array
import asyncio
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from quillroad.upgrade.messages import BATCH, CHUNK, BadPacketError, Message, Reader, packets

# Packets at most that wait for the other side to read: 128 MiB, four of the longest messages.
MOST_WAITING_PACKETS = 4096
PACKET_HEAD_BYTES = 64  # room for the head of a packet, beyond its part of a message
HAS_ENDED = "it has ended"  # reason where the other side closed its end
_CREDENTIALS = struct.Struct("3i")  # process, user and group


class Peer(NamedTuple):
    """Who holds the other end of a local socket."""

    process: int
    user: int


def pair() -> tuple[socket.socket, socket.socket]:
    """Two ends that no other process can name."""
    return socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)


def peer(sock: socket.socket) -> Peer:
    """Who holds the other end of a local socket (SO_PEERCRED, unix(7)).

    Of a pair that is who made it.
    """
    data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    process, user, _ = _CREDENTIALS.unpack(data)
    return Peer(process, user)


def close_all(descriptors: Iterable[int]) -> None:
    """Close descriptors that came with a message and that nobody wants."""
    for descriptor in descriptors:
        os.close(descriptor)


class Channel:
    """One end of the socket.

    `on_message` gets each message with the descriptors that came along, which it owns from then on;
    `on_end` is called once, with the reason, when nothing more can come: the other side has ended,
    or makes no sense. Raises `PermissionError` for an end that another user holds.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: Callable[[Message, list[int]], None],
        on_end: Callable[[str], None],
    ) -> None:
        holder = peer(sock)
        if holder.user != os.geteuid():
            sock.close()
            raise PermissionError(f"a socket of user {holder.user}")
        self.peer = holder.process
        sock.setblocking(False)
        self._loop = loop
        self._sock = sock
        self._on_message = on_message
        self._on_end = on_end
        self._reader = Reader()
        self._next_number = 0  # of the messages sent
        self._outgoing: deque[tuple[bytes, Sequence[int]]] = deque()
        self._descriptors: list[int] = []  # of the message that is coming in
        self._awaits_writable = False
        self._closed = False
        self._peer_reads = True  # until a write has failed
        loop.add_reader(sock.fileno(), self._read)

    @property
    def closed(self) -> bool:
        """Whether nothing more is sent or heard."""
        return self._closed

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Send a message, or forget it where the other side is gone.

        The kernel copies `descriptors` when the packet leaves: they have to stay open until an
        answer has come.
        """
        if self._closed or not self._peer_reads:
            return
        for packet in packets(message, self._next_number):
            self._outgoing.append((packet, descriptors))
            descriptors = ()  # they go with the first packet
        self._next_number += 1
        if len(self._outgoing) > MOST_WAITING_PACKETS:
            self._end("it reads nothing")
        elif not self._awaits_writable:
            self._write()

    def _write(self) -> None:
        while self._outgoing and not self._closed:
            packet, descriptors = self._outgoing[0]
            try:
                self._sock.sendmsg([packet], _rights(descriptors), socket.MSG_NOSIGNAL)
            except (BlockingIOError, InterruptedError):
                if not self._awaits_writable:
                    self._awaits_writable = True
                    self._loop.add_writer(self._sock.fileno(), self._write)
                return
            except OSError:
                # The other side is gone. What it said before is still read, up to its end.
                self._peer_reads = False
                self._outgoing.clear()
                break
            self._outgoing.popleft()
        if self._awaits_writable and not self._closed:
            self._awaits_writable = False
            self._loop.remove_writer(self._sock.fileno())

    def _read(self) -> None:
        while not self._closed:
            try:
                packet, ancillary, flags, _ = self._sock.recvmsg(
                    CHUNK + PACKET_HEAD_BYTES,
                    socket.CMSG_SPACE(BATCH * array.array("i").itemsize),
                    socket.MSG_CMSG_CLOEXEC,
                )
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionResetError:
                # Reported once where the other side ended with something unread, before its last
                # packets.
                continue
            except OSError as error:
                self._end(error.strerror or str(error))
                return
            self._descriptors += _received(ancillary)
            if not self._take_packet(packet, flags):
                return

    def _take_packet(self, packet: bytes, flags: int) -> bool:
        """Whether more can come."""
        if not packet:
            self._end(HAS_ENDED)
            return False
        if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
            self._end("a packet is cut off")
            return False
        try:
            message = self._reader.read(packet)
        except BadPacketError as error:
            self._end(str(error))
            return False
        if message is not None:
            descriptors, self._descriptors = self._descriptors, []
            self._on_message(message, descriptors)
        return True

    def _end(self, why: str) -> None:
        if not self._closed:
            self.close()
            self._on_end(why)

    def close(self) -> None:
        """Send and hear nothing more; `on_end` is not called for it."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._sock.fileno())
        if self._awaits_writable:
            self._loop.remove_writer(self._sock.fileno())
        self._sock.close()
        self._outgoing.clear()
        close_all(self._descriptors)
        self._descriptors = []


def _rights(descriptors: Sequence[int]) -> list[tuple[int, int, array.array[int]]]:
    """Ancillary data that hands over descriptors."""
    if not descriptors:
        return []
    return [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]


def _received(ancillary: Sequence[tuple[int, int, bytes]]) -> list[int]:
    """The descriptors in ancillary data."""
    found = array.array("i")
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
            found.frombytes(data[: len(data) - len(data) % found.itemsize])
    return found.tolist()
