"""Channel between two processes of a gateway: messages and descriptors over a local socket."""

from __future__ import annotations

import array
import asyncio
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from quillroad.upgrade.messages import (
    MAX_CHUNK_BYTES,
    MAX_DESCRIPTORS_PER_MESSAGE,
    BadPacketError,
    Message,
    Reader,
    packets,
)

# Packets queued while the peer does not read: 128 MiB, or four messages of the maximum length.
MAX_QUEUED_PACKETS = 4096
MAX_HEADER_BYTES = 64  # buffer space for the header of a packet, beside its chunk
PEER_CLOSED = "the peer closed the socket"  # reason passed to `on_end` at end of file
_CREDENTIALS = struct.Struct("3i")  # struct ucred: process, user and group id


class Peer(NamedTuple):
    """Process id and user id of the process at the other end of a local socket."""

    process: int
    user: int


def pair() -> tuple[socket.socket, socket.socket]:
    """Return the two ends of an unnamed socket pair, to which no other process can connect."""
    return socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)


def peer(sock: socket.socket) -> Peer:
    """Return the peer's credentials (SO_PEERCRED, unix(7)).

    For a socket pair these are the credentials of the process that created the pair.
    """
    data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    process, user, _ = _CREDENTIALS.unpack(data)
    return Peer(process, user)


def close_all(descriptors: Iterable[int]) -> None:
    """Close descriptors that were received with a message and are not used."""
    for descriptor in descriptors:
        os.close(descriptor)


class Channel:
    """One end of the socket.

    `on_message` is called with each message and the descriptors received with it, which the callee
    then owns. `on_end` is called once, with the reason, when the peer has closed the socket, does
    not read, or has sent a malformed packet. Raises `PermissionError` if the peer runs as another
    user.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: Callable[[Message, list[int]], None],
        on_end: Callable[[str], None],
    ) -> None:
        credentials = peer(sock)
        if credentials.user != os.geteuid():
            sock.close()
            raise PermissionError(
                f"socket peer has user id {credentials.user}, not that of this process"
            )
        self.peer = credentials.process
        sock.setblocking(False)
        self._loop = loop
        self._sock = sock
        self._on_message = on_message
        self._on_end = on_end
        self._reader = Reader()
        self._next_number = 0  # sequence number of the next message sent
        self._outgoing: deque[tuple[bytes, Sequence[int]]] = deque()
        self._received_descriptors: list[int] = []  # of the message being received
        self._awaits_writable = False
        self._closed = False
        self._peer_is_open = True  # until a write has failed
        loop.add_reader(sock.fileno(), self._read)

    @property
    def closed(self) -> bool:
        """Whether the channel is closed: nothing is sent or received any more."""
        return self._closed

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Send a message; discard it if the peer has closed the socket.

        The kernel duplicates `descriptors` when the packet is sent, which may be later: the caller
        has to keep them open until the peer has answered.
        """
        if self._closed or not self._peer_is_open:
            return
        for packet in packets(message, self._next_number):
            self._outgoing.append((packet, descriptors))
            descriptors = ()  # they go with the first packet
        self._next_number += 1
        if len(self._outgoing) > MAX_QUEUED_PACKETS:
            self._end("the peer does not read, too many packets are queued")
        elif not self._awaits_writable:
            self._write()

    def _write(self) -> None:
        while self._outgoing and not self._closed:
            packet, descriptors = self._outgoing[0]
            try:
                self._sock.sendmsg([packet], _ancillary_for(descriptors), socket.MSG_NOSIGNAL)
            except (BlockingIOError, InterruptedError):
                if not self._awaits_writable:
                    self._awaits_writable = True
                    self._loop.add_writer(self._sock.fileno(), self._write)
                return
            except OSError:
                # The peer has closed the socket. What it sent before is still read up to its end.
                self._peer_is_open = False
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
                    MAX_CHUNK_BYTES + MAX_HEADER_BYTES,
                    socket.CMSG_SPACE(MAX_DESCRIPTORS_PER_MESSAGE * array.array("i").itemsize),
                    socket.MSG_CMSG_CLOEXEC,
                )
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionResetError:
                # If the peer closed with unread data, the kernel reports this once before it
                # delivers the peer's last packets. They have to be read.
                continue
            except OSError as error:
                self._end(error.strerror or str(error))
                return
            self._received_descriptors += _descriptors_in(ancillary)
            if not self._handle_packet(packet, flags):
                return

    def _handle_packet(self, packet: bytes, flags: int) -> bool:
        """Handle a packet; return whether to read on."""
        if not packet:
            self._end(PEER_CLOSED)
            return False
        if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
            self._end("packet or its descriptors were truncated")
            return False
        try:
            message = self._reader.read(packet)
        except BadPacketError as error:
            self._end(str(error))
            return False
        if message is not None:
            descriptors, self._received_descriptors = self._received_descriptors, []
            self._on_message(message, descriptors)
        return True

    def _end(self, why: str) -> None:
        if not self._closed:
            self.close()
            self._on_end(why)

    def close(self) -> None:
        """Close the socket and discard queued packets; `on_end` is not called."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._sock.fileno())
        if self._awaits_writable:
            self._loop.remove_writer(self._sock.fileno())
        self._sock.close()
        self._outgoing.clear()
        close_all(self._received_descriptors)
        self._received_descriptors = []


def _ancillary_for(descriptors: Sequence[int]) -> list[tuple[int, int, array.array[int]]]:
    """Return the ancillary data that passes descriptors."""
    if not descriptors:
        return []
    return [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]


def _descriptors_in(ancillary: Sequence[tuple[int, int, bytes]]) -> list[int]:
    """Return the descriptors in ancillary data."""
    found = array.array("i")
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
            found.frombytes(data[: len(data) - len(data) % found.itemsize])
    return found.tolist()
