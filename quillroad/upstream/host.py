"""One host of the endpoint list, and this gateway's connections to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.config import Address

if TYPE_CHECKING:
    from quillroad.upstream.attempt import Attempt
    from quillroad.upstream.connection import HostConnection


class Host:
    """One host as the endpoint list has it.

    `zone` is its index in the settings' list of zones (-1: not in it), `started_us` its start in
    microseconds of Unix time (None: not told).
    """

    def __init__(self, name: str, address: Address) -> None:
        self.name = name
        self.address = address
        self.ready = True  # takes new attempts: neither draining nor removed
        self.zone = -1
        self.started_us: int | None = None
        self.last_heard_at = 0.0  # when its last byte was read; seconds of the monotonic clock
        self.idle: list[HostConnection] = []  # the most recently used last
        self.connecting: set[Attempt] = set()  # whose connections are coming up

    def drop_idle(self) -> None:
        """Close all idle connections to it."""
        for connection in list(self.idle):
            connection.drop()
