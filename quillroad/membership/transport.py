"""The UDP socket of the membership protocol: the package's only network I/O."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator

from quillroad.membership.roster import Address
from quillroad.membership.wire import MAX_DATAGRAM_BYTES

MAX_DATAGRAMS_PER_ITERATION = 64  # of the event loop: a flood must not hold up requests


class UdpTransport:
    """A bound socket, until `close`; raises `OSError` where the address is not free.

    `on_readable` is called by the event loop while datagrams wait.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, listen: Address, on_readable: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            # A reload may add a broadcast address, so this is set without one, too.
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_BROADCAST, True)
            self._socket.bind(listen)
        except OSError:
            self._socket.close()
            raise
        loop.add_reader(self._socket, on_readable)

    def receive(self) -> Iterator[tuple[bytes, Address]]:
        """Yield at most `MAX_DATAGRAMS_PER_ITERATION` waiting datagrams, with their senders."""
        for _ in range(MAX_DATAGRAMS_PER_ITERATION):
            try:
                # One byte more than allowed, so that a longer datagram is seen to be one.
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # an ICMP error: an earlier datagram of ours found nobody
            yield data, (source[0], source[1])

    def send(self, data: bytes, target: Address) -> bool:
        """Send a datagram; return False where the socket refuses it."""
        try:
            self._socket.sendto(data, target)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Free the address."""
        self._loop.remove_reader(self._socket)
        self._socket.close()
