"""Bound on the bytes and datagrams that pass in any stretch of a second. Pure."""

from __future__ import annotations

from collections import deque

WINDOW_S = 1.0  # the bound is promised for a second, wherever that begins


class RateLimiter:
    """Sliding window over the last second: one for all sends, one for each sender read from."""

    def __init__(self, max_bytes_per_s: int, max_datagrams_per_s: int) -> None:
        self.max_bytes_per_s = max_bytes_per_s
        self.max_datagrams_per_s = max_datagrams_per_s
        self._passed: deque[tuple[float, int]] = (
            deque()
        )  # time and size; max_datagrams_per_s at most
        self._bytes = 0

    def used_fraction(self, now: float) -> float:
        """Return which part (0 to 1) of the bytes or datagrams is spent, whichever is more."""
        self._forget_old(now)
        return max(self._bytes / self.max_bytes_per_s, len(self._passed) / self.max_datagrams_per_s)

    def try_acquire(self, size: int, now: float, fraction: float = 1.0) -> bool:
        """Spend `size` bytes and one datagram, if no more than `fraction` of a bound is spent then.

        Less urgent traffic passes a smaller fraction, which leaves the rest to probes and their
        answers.
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
        """Datagrams remembered, `max_datagrams_per_s` at most."""
        return len(self._passed)

    def _forget_old(self, now: float) -> None:
        while self._passed and self._passed[0][0] <= now - WINDOW_S:
            self._bytes -= self._passed.popleft()[1]
