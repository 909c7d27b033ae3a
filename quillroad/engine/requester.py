"""Whoever waits for an answer, as the engine has to know it."""

from __future__ import annotations

from typing import Protocol


class Requester(Protocol):
    """A client connection that waits for an answer."""

    blind: bool  # nothing is read from it at the moment, so its end would go unnoticed

    def gone(self) -> bool:
        """Whether the client has gone, as far as can be told without reading."""
