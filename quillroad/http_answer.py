"""The types in which a host's answer passes from upstream through the engine to downstream.

The upstream and downstream packages never import each other; both import these types from here.
No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic
from typing import NamedTuple, Protocol

# Maximum size of the head of a request or an answer: twice the maximum that browsers and proxies
# send in practice. The connection of a peer that sends more is closed, so that heads cannot exhaust
# the memory.
HEAD_LIMIT_BYTES = 16 * 1024


class BodySource(Protocol):
    """The host connection that a streamed body is read from."""

    def pause_reading(self) -> bool:
        """Stop reading until `resume_reading`; return False if the connection has already ended."""

    def resume_reading(self) -> bool:
        """Resume reading; return False if the connection has already ended."""

    def abandon(self) -> None:
        """Close the connection because the rest of the body is no longer needed."""


class StreamedBody:
    """The part of a long body that has not been received yet.

    The consumer sets `on_data` (called with each piece of data as it is received) and `on_end`
    (called once, with whether the body is complete). It calls `pause_reading` while its own write
    buffer is full, so that this process never buffers the whole body, and `abandon` when the rest
    is no longer needed.
    """

    def __init__(self, source: BodySource) -> None:
        self._source: BodySource | None = source
        self.on_data: Callable[[bytes], None] | None = None
        self.on_end: Callable[[bool], None] | None = None
        self.paused = False
        self.last_progress_at = monotonic()  # last data or resume; seconds

    def pause_reading(self) -> None:
        """Stop reading from the host until `resume_reading`."""
        if not self.paused and self._source is not None and self._source.pause_reading():
            self.paused = True

    def resume_reading(self) -> None:
        """Resume reading from the host."""
        if self.paused and self._source is not None and self._source.resume_reading():
            self.paused = False
            self.last_progress_at = monotonic()

    def abandon(self) -> None:
        """Close the connection to the host; `on_data` and `on_end` are not called afterwards."""
        source = self._source
        self._source = None
        if source is not None:
            self.on_data = None
            self.on_end = None
            source.abandon()

    def deliver(self, data: bytes) -> None:
        """Pass received bytes to `on_data`. Called by the source."""
        self.last_progress_at = monotonic()
        if self.on_data is not None and data:
            self.on_data(data)

    def finish(self, complete: bool) -> None:
        """End the body; `complete` is False if it was truncated. Called by the source."""
        self._source = None
        on_end = self.on_end
        self.on_data = None
        self.on_end = None
        if on_end is not None:
            on_end(complete)


class Answer(NamedTuple):
    """A host's answer with status 200: complete, or the start of a long body and a stream.

    `body_length` is the length of the complete body in bytes, -1 if the host did not declare it.
    """

    body: bytes
    content_type: bytes | None
    stream: StreamedBody | None = None
    body_length: int = -1
