"""A connection pool with one host, for the tests of this package."""

from __future__ import annotations

import asyncio

from quillroad.balancing.events import Outcome
from quillroad.config import RESERVED, SHORT_BODY, Address, Descriptors
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.upstream.pool import Answer, Attempt, Host, Upstream
from tests.net import (
    until,
)

# A request whose class does not matter.
REQUEST = b"GET /status-check/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n"
LONG_TIMEOUT_S = 15.0  # never reached in a passing test
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class UpstreamHarness:
    """A connection pool, one host and the results of the attempts at it."""

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float = LONG_TIMEOUT_S,
        descriptor_count: int = 100,
        max_body_bytes: int = SHORT_BODY,
    ) -> None:
        self.descriptors = Descriptors(RESERVED + descriptor_count)
        loop = asyncio.get_running_loop()
        self.upstream = Upstream(
            loop, self.descriptors, connect_timeout_s, 15.0, EventLoopMonitor(loop), max_body_bytes
        )
        self.host = Host("s-1", address)
        self.results: list[tuple[Outcome, Answer | None]] = []

    def start(self, request: bytes = REQUEST, timeout_s: float = LONG_TIMEOUT_S) -> Attempt:
        return self.upstream.start(
            self.host,
            request,
            timeout_s,
            lambda outcome, received_answer, _: self.results.append((outcome, received_answer)),
        )

    async def run(
        self, request: bytes = REQUEST, timeout_s: float = LONG_TIMEOUT_S
    ) -> tuple[Outcome, Answer | None]:
        result_count = len(self.results)
        self.start(request, timeout_s)
        await until(lambda: len(self.results) > result_count)
        return self.results[-1]
