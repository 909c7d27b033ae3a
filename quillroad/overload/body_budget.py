"""Limit on the bytes of long bodies that the gateway buffers at once. No I/O."""

from __future__ import annotations


class BodyBudget:
    """A memory budget in bytes (0 or more) that all connections share.

    Without it, slow-reading clients would make the gateway buffer whole bodies for all of them,
    until the kernel's OOM killer ends the process. Each caller of `take` must return its bytes with
    `give`.
    """

    __slots__ = ("limit", "peak", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit  # maximum bytes
        self.used = 0  # bytes currently reserved
        self.peak = 0  # highest value of `used` so far

    def take(self, size: int) -> bool:
        """Reserve `size` bytes; return False if they exceed the budget."""
        if self.used + size > self.limit:
            return False
        self.used += size
        self.peak = max(self.peak, self.used)
        return True

    def give(self, size: int) -> None:
        """Release `size` reserved bytes."""
        self.used -= size
