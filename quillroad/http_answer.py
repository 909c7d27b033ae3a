"""A host's answer, on its way from the upstream side through the engine to downstream.

Upstream and downstream never import each other: both import these types from here. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic
from typing import NamedTuple, Protocol

# The longest head of a request or an answer, in bytes. Twice what browsers and proxies send at most
# in practice; a peer that sends more is cut off, so that heads never fill the memory.
HEAD_LIMIT_BYTES = 16 * 1024


class BodySource(Protocol):
    """The connection that a streamed body comes from."""

    def pause_reading(self) -> bool:
        """Read nothing until `resume_reading`; False where the connection has already ended."""

    def resume_reading(self) -> bool:
        """Read again; False where the connection has already ended."""

    def abandon(self) -> None:
        """Close the connection: nobody wants the rest of the body."""


class StreamedBody:
    """The part of a long body that has not come yet.

    Whoever takes it sets `on_data` (gets the bytes as they come) and `on_end` (called once, with
    whether the body is complete), says `pause` while its own side is full, so that the body is
    never held in this process, and `abandon` when nobody wants it any more.
    """

    def __init__(self, source: BodySource) -> None:
        self._source: BodySource | None = source
        self.on_data: Callable[[bytes], None] | None = None
        self.on_end: Callable[[bool], None] | None = None
        self.paused = False
        self.last_progress_at = monotonic()  # when it last brought bytes, or was resumed; seconds

    def pause_reading(self) -> None:
        """Stop reading from the host until `resume`."""
        if not self.paused and self._source is not None and self._source.pause_reading():
            self.paused = True

    def resume_reading(self) -> None:
        """Read from the host again."""
        if self.paused and self._source is not None and self._source.resume_reading():
            self.paused = False
            self.last_progress_at = monotonic()

    def abandon(self) -> None:
        """Close the host's connection; neither `on_data` nor `on_end` is called after this."""
        source = self._source
        self._source = None
        if source is not None:
            self.on_data = None
            self.on_end = None
            source.abandon()

    def deliver(self, data: bytes) -> None:
        """Hand on bytes that have come. Called by the source."""
        self.last_progress_at = monotonic()
        if self.on_data is not None and data:
            self.on_data(data)

    def finish(self, complete: bool) -> None:
        """Nothing more comes; `complete`: that was all of the body. Called by the source."""
        self._source = None
        on_end = self.on_end
        self.on_data = None
        self.on_end = None
        if on_end is not None:
            on_end(complete)


class Answer(NamedTuple):
    """A host's answer of status 200: complete, or the beginning of a long one and its rest."""

    body: bytes
    content_type: bytes | None
    stream: StreamedBody | None = None
    body_length: int = (
        -1
    )  # of the complete body in bytes, where the host has told it; -1: it has not
