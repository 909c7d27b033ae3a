"""How many bytes of long bodies the gateway holds at once. Free of I/O."""

from __future__ import annotations


class BodyBudget:
    """A budget in bytes (0 or more) that all connections share.

    Without it, clients that read slowly make the gateway hold whole bodies for all of them, until
    the system ends the process for its memory. Whoever took bytes gives them back.
    """

    __slots__ = ("limit", "peak", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit  # bytes at the most
        self.used = 0  # bytes held now
        self.peak = 0  # the most bytes that were held at once

    def take(self, size: int) -> bool:
        """Hold `size` bytes more if they fit into the budget; returns whether they did."""
        if self.used + size > self.limit:
            return False
        self.used += size
        self.peak = max(self.peak, self.used)
        return True

    def give(self, size: int) -> None:
        """Give back `size` bytes that were taken."""
        self.used -= size
