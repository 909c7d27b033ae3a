"""Account of the memory that peers make the process hold. No I/O.

Every connection has a small allowance that needs no entry here (docs/design/memory.md). What
exceeds it is reserved in the account: heads, bodies, answers and unsent output. If the account is
full, the caller rejects the request or stops reading.
"""

from __future__ import annotations


class MemoryAccount:
    """A budget in bytes (0 or more) that all connections share.

    Each caller of `take` or `force` must return its bytes with `give`.
    """

    __slots__ = ("limit", "peak", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit  # maximum bytes
        self.used = 0  # bytes currently reserved
        self.peak = 0  # highest value of `used` so far

    def take(self, size: int) -> bool:
        """Reserve `size` bytes; return False if they exceed the budget."""
        used = self.used + size
        if used > self.limit:
            return False
        self.used = used
        self.peak = max(self.peak, used)
        return True

    def force(self, size: int) -> None:
        """Reserve `size` bytes that are in memory already, even beyond the budget."""
        self.used += size
        self.peak = max(self.peak, self.used)

    def give(self, size: int) -> None:
        """Release `size` reserved bytes."""
        self.used -= size
