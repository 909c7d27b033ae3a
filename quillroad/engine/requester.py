"""Whoever waits for an answer, as the engine has to know it."""

from __future__ import annotations

from typing import Protocol


class Requester(Protocol):
    """A client connection that waits for an answer."""

    may_have_disconnected: bool  # nothing was read since reading paused: its end would go unseen

    def has_disconnected(self) -> bool:
        """Whether the client has gone, as far as can be told without reading."""
