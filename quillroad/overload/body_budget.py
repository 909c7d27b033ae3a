"""How many bytes of long bodies the gateway holds. No I/O."""

from __future__ import annotations


class Buffers:
    """A budget in bytes (0 or more) that all connections share. What a taker was given it gives back."""

    __slots__ = ("limit", "peak", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = self.peak = 0

    def take(self, size: int) -> bool:
        """Hold so many bytes more, if they fit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        self.peak = max(self.peak, self.used)
        return True

    def give(self, size: int) -> None:
        """Hold so many fewer."""
        self.used -= size
