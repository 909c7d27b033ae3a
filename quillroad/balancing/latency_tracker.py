"""The latest latencies of a route, kept in order so that a percentile is one look-up."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque


class LatencyTracker:
    """At most `capacity` latencies (us): `latest` in order of arrival, `ordered` by size.

    The oldest makes way for the newest. Percentiles are asked for with every attempt, so they are
    not sorted out anew each time.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.latest: deque[int] = deque()
        self.ordered: list[int] = []

    def __len__(self) -> int:
        return len(self.latest)

    def append(self, latency_us: int) -> None:
        """Take one latency (us) in."""
        if len(self.latest) == self.capacity:
            del self.ordered[bisect_left(self.ordered, self.latest.popleft())]
        insort(self.ordered, latency_us)
        self.latest.append(latency_us)

    def percentile(self, quantile: float) -> int | None:
        """The latency (us) at `quantile` (from 0 to below 1); None where there is none yet."""
        return self.ordered[int(quantile * len(self.ordered))] if self.ordered else None
