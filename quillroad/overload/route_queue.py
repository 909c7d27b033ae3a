"""The waiting requests of one route, and the queue share that each priority level retains.

No I/O; times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence


class QueuedRequest:
    """One request in the queue.

    `begin_by` is the latest time at which it should start, `useful_until` the time until which its
    answer has value. `item` is the caller's object, None once the request has started or left.
    """

    __slots__ = ("begin_by", "item", "useful_until")

    def __init__(self, item: object, begin_by: float, useful_until: float) -> None:
        self.item: object | None = item
        self.begin_by = begin_by
        self.useful_until = useful_until


class RouteQueue:
    """The waiting requests of one route in order of arrival, and the route's statistics."""

    __slots__ = ("begun", "entries", "host_time_s", "rate", "slack_s", "useful_s")

    def __init__(self, useful_s: float) -> None:
        self.entries: deque[QueuedRequest] = deque()
        self.useful_s = useful_s  # time from arrival in which an answer has value
        self.host_time_s = 0.0  # smoothed time from start to answer; 0: not known
        self.slack_s = useful_s  # of the last request: `begin_by` minus arrival
        self.begun = 0  # requests started in the current slice
        self.rate = 0.0  # smoothed requests started per second while any were waiting

    def due_before(self, begin_by: float) -> float:
        """Estimate how many requests have an earlier latest start time than `begin_by`.

        Assumes that their times are evenly distributed between those of the first and the last one.
        """
        entries = self.entries
        if not entries or begin_by <= (first := entries[0].begin_by):
            return 0.0
        last = entries[-1].begin_by
        if last <= first:
            return float(len(entries))
        return len(entries) * min(1.0, (begin_by - first) / (last - first))


def retained_fractions(weights: Sequence[float], over_quota_weight: float) -> list[float]:
    """Return the fraction of the queue that each priority level retains when fully squeezed.

    The levels are the routes for requests within quota, followed by the routes for requests beyond
    quota. Fractions are above 0, at most 1, and decrease in even steps from the highest weight to
    the lowest; equal weights have equal fractions.
    """
    levels = [*weights, *(weight * over_quota_weight for weight in weights)]
    distinct = sorted(set(levels), reverse=True)
    return [1.0 - distinct.index(level) / len(distinct) for level in levels]
