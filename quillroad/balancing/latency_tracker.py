"""The most recent latencies of a route, kept sorted so that a percentile is one index access."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque


class LatencyTracker:
    """The last `capacity` latencies (us): `latest` in order of arrival, `ordered` ascending.

    A new latency replaces the oldest one when the tracker is full. Percentiles are read for every
    attempt, so the values are kept sorted instead of being sorted for each read.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.latest: deque[int] = deque()
        self.ordered: list[int] = []

    def __len__(self) -> int:
        return len(self.latest)

    def append(self, latency_us: int) -> None:
        """Record a latency (us); drop the oldest one if the tracker is full."""
        if len(self.latest) == self.capacity:
            del self.ordered[bisect_left(self.ordered, self.latest.popleft())]
        insort(self.ordered, latency_us)
        self.latest.append(latency_us)

    def percentile(self, quantile: float) -> int | None:
        """Return the latency (us) at `quantile` (0 <= quantile < 1); None if there is none yet."""
        return self.ordered[int(quantile * len(self.ordered))] if self.ordered else None
