"""The requests of one route that wait in the admission queue, and what each priority retains of it.

Free of I/O; times are seconds of one clock that never goes back.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence


class QueuedRequest:
    """One request in the queue.

    It has to begin at `begin_by`, and its answer has value until `useful_until`. `item` is the
    caller's, and None once the request has left or begun.
    """

    __slots__ = ("begin_by", "item", "useful_until")

    def __init__(self, item: object, begin_by: float, useful_until: float) -> None:
        self.item: object | None = item
        self.begin_by = begin_by
        self.useful_until = useful_until


class RouteQueue:
    """The requests of one route, in the order of their arrival, and what was learned of them."""

    __slots__ = ("begun", "entries", "host_time_s", "rate", "slack_s", "useful_s")

    def __init__(self, useful_s: float) -> None:
        self.entries: deque[QueuedRequest] = deque()
        self.useful_s = useful_s  # from arrival, in which an answer has value
        self.host_time_s = 0.0  # from a request's beginning to its answer, smoothed; 0: not known
        self.slack_s = useful_s  # between arrival and `begin_by` of the request that came last
        self.begun = 0  # requests in this slice
        self.rate = 0.0  # requests begun a second while there was a queue, smoothed

    def due_before(self, begin_by: float) -> float:
        """About how many requests have to begin before that time.

        Their times are taken to lie evenly between those of the first and the last one.
        """
        entries = self.entries
        if not entries or begin_by <= (first := entries[0].begin_by):
            return 0.0
        last = entries[-1].begin_by
        if last <= first:
            return float(len(entries))
        return len(entries) * min(1.0, (begin_by - first) / (last - first))


def retained_fractions(weights: Sequence[float], over_quota_weight: float) -> list[float]:
    """What each priority level retains of the queue when squeezed (above 0, up to 1).

    Levels are the routes within quota, then the routes beyond it. Even steps from the highest
    weight to the lowest, equal for equal weights.
    """
    levels = [*weights, *(weight * over_quota_weight for weight in weights)]
    distinct = sorted(set(levels), reverse=True)
    return [1.0 - distinct.index(level) / len(distinct) for level in levels]
