"""Limit on the bytes and datagrams in any period of one second. Does no I/O."""

from __future__ import annotations

from collections import deque

WINDOW_S = 1.0  # the limits hold for every period of this length


class RateLimiter:
    """Sliding-window limit: one instance for all sends, one for each member received from."""

    def __init__(self, max_bytes_per_s: int, max_datagrams_per_s: int) -> None:
        self.max_bytes_per_s = max_bytes_per_s
        self.max_datagrams_per_s = max_datagrams_per_s
        self._passed: deque[tuple[float, int]] = (
            deque()
        )  # (time, bytes), max_datagrams_per_s entries at most
        self._bytes = 0

    def used_fraction(self, now: float) -> float:
        """Return the used fraction (0 to 1) of the byte or datagram limit, whichever is larger."""
        self._forget_old(now)
        return max(self._bytes / self.max_bytes_per_s, len(self._passed) / self.max_datagrams_per_s)

    def try_acquire(self, size: int, now: float, fraction: float = 1.0) -> bool:
        """Count a datagram of `size` bytes, if use stays within `fraction` of both limits.

        Returns False, and counts nothing, otherwise. Less urgent traffic uses a smaller fraction,
        which reserves the rest for probes and their answers.
        """
        self._forget_old(now)
        if (
            self._bytes + size > fraction * self.max_bytes_per_s
            or len(self._passed) + 1 > fraction * self.max_datagrams_per_s
        ):
            return False
        self._passed.append((now, size))
        self._bytes += size
        return True

    @property
    def entries(self) -> int:
        """Number of datagrams in the window, `max_datagrams_per_s` at most."""
        return len(self._passed)

    def _forget_old(self, now: float) -> None:
        while self._passed and self._passed[0][0] <= now - WINDOW_S:
            self._bytes -= self._passed.popleft()[1]
