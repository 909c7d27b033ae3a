"""One host of the endpoint list, and the connections of this gateway to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.config import Address

if TYPE_CHECKING:
    from quillroad.upstream.attempt import Attempt
    from quillroad.upstream.connection import HostConnection


class Host:
    """A host of the endpoint list, with its idle connections and connecting attempts.

    `zone` is the index of its zone in the settings (-1: not listed there). `started_us` is its
    start time in microseconds of Unix time (None: unknown).
    """

    def __init__(self, name: str, address: Address) -> None:
        self.name = name
        self.address = address
        self.ready = True  # accepts new attempts: neither draining nor removed
        self.zone = -1
        self.started_us: int | None = None
        self.last_heard_at = 0.0  # when its last bytes were read; seconds of the monotonic clock
        self.idle: list[HostConnection] = []  # ordered by last use, the most recent last
        self.connecting: set[Attempt] = set()  # attempts whose connection is not established

    def drop_idle(self) -> None:
        """Close all idle connections to this host."""
        for connection in list(self.idle):
            connection.drop()
