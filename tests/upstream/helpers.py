"""An upstream with one host, for the tests of this package."""

from __future__ import annotations

import asyncio

from quillroad.balancing.events import Outcome
from quillroad.config import RESERVED, SHORT_BODY, Address, Descriptors
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.upstream.pool import Answer, Attempt, Host, Upstream
from tests.net import (
    until,
)

# A request of no class in particular.
REQUEST = b"GET /status-check/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n"
LONG_S = 15.0  # a time that no test waits for
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Bench:
    """An upstream and one host of its list."""

    def __init__(
        self,
        address: Address,
        connect_s: float = LONG_S,
        sockets: int = 100,
        longest_body_bytes: int = SHORT_BODY,
    ) -> None:
        self.descriptors = Descriptors(RESERVED + sockets)
        loop = asyncio.get_running_loop()
        self.upstream = Upstream(
            loop, self.descriptors, connect_s, 15.0, EventLoopMonitor(loop), longest_body_bytes
        )
        self.host = Host("s-1", address)
        self.results: list[tuple[Outcome, Answer | None]] = []

    def start(self, request: bytes = REQUEST, timeout_s: float = LONG_S) -> Attempt:
        return self.upstream.start(
            self.host,
            request,
            timeout_s,
            lambda outcome, got, _: self.results.append((outcome, got)),
        )

    async def run(
        self, request: bytes = REQUEST, timeout_s: float = LONG_S
    ) -> tuple[Outcome, Answer | None]:
        before = len(self.results)
        self.start(request, timeout_s)
        await until(lambda: len(self.results) > before)
        return self.results[-1]
