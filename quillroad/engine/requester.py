"""The interface of a client connection that the engine uses."""

from __future__ import annotations

from typing import Protocol


class Requester(Protocol):
    """A client connection that waits for an answer."""

    may_have_disconnected: bool  # nothing was read since reading paused, not even a disconnect

    def may_have_left(self) -> bool:
        """Return whether the client may have disconnected without a sign of it."""

    def has_disconnected(self) -> bool:
        """Return whether the client is known to have disconnected, without reading from it."""
