"""The UDP socket of the membership protocol, the only network I/O of the package."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator

from quillroad.membership.roster import Address
from quillroad.membership.wire import MAX_DATAGRAM_BYTES

MAX_DATAGRAMS_PER_ITERATION = 64  # of the event loop, so that a flood does not delay requests


class UdpTransport:
    """A UDP socket that stays bound until `close`; raises `OSError` if it cannot be bound.

    The event loop calls `on_readable` while received datagrams are waiting.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, listen: Address, on_readable: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            # Always set, because a reload may add a broadcast address later.
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_BROADCAST, True)
            self._socket.bind(listen)
        except OSError:
            self._socket.close()
            raise
        loop.add_reader(self._socket, on_readable)

    def receive(self) -> Iterator[tuple[bytes, Address]]:
        """Yield at most `MAX_DATAGRAMS_PER_ITERATION` datagrams, with their source addresses."""
        for _ in range(MAX_DATAGRAMS_PER_ITERATION):
            try:
                # One byte above the limit, to recognize datagrams that are too long.
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # ICMP error: no process listened at the target of an earlier datagram
            yield data, (source[0], source[1])

    def send(self, data: bytes, target: Address) -> bool:
        """Send a datagram; return False if the socket reports an error."""
        try:
            self._socket.sendto(data, target)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Close the socket, which frees its address."""
        self._loop.remove_reader(self._socket)
        self._socket.close()
