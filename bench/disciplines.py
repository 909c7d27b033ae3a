"""Admission disciplines that were weighed against the chosen one, as small as their papers allow.

All share the slices of the event loop; what differs is which requests are admitted, which begins
next and which are given up. Times are seconds of the simulated clock of `testbed.core`. No I/O.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import cast

from quillroad.overload.admission_queue import RoutePriority
from testbed.core import Item

SLICE_S = 0.002  # for which requests begin in one turn of the event loop


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits; until `useful_until` its answer has value."""

    item: Item
    useful_until: float


class Fifo:
    """First in, first out: every request is admitted and begins in turn."""

    name = "no limit"

    def __init__(self, routes: Sequence[RoutePriority]) -> None:
        self.routes = routes
        self.queue: deque[QueuedRequest] = deque()

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self.queue)

    @property
    def shortest_objective_s(self) -> float:
        """The shortest time of all routes in which an answer has value."""
        return min(route.useful_s for route in self.routes)

    def admits(self, route: int, in_flight: int) -> bool:
        """Whether a request of this route may join, with so many of all routes in flight."""
        return True

    def enqueue(self, route: int, request: QueuedRequest) -> None:
        """Put an admitted request into the queue."""
        self.queue.append(request)

    def join(
        self,
        now: float,
        since: float,
        wait_s: float,
        route: int,
        tenant: int,
        in_flight: int,
        item: object,
    ) -> QueuedRequest | None:
        """Take in a request that came at `since`; None: it is rejected."""
        if not self.admits(route, in_flight):
            return None
        request = QueuedRequest(cast(Item, item), since + self.routes[route].useful_s)
        self.enqueue(route, request)
        return request

    def take(self) -> object | None:
        """The item of the request to begin next; None: none waits."""
        return self.queue.popleft().item if self.queue else None

    def cannot_meet_deadline(self, now: float, since: float, wait_s: float, route: int) -> bool:
        """Whether to give up a request whose turn has come: here, past its client's wait."""
        return now >= since + wait_s

    def slice_s(self, now: float) -> float:
        """For how many seconds requests may begin now."""
        return SLICE_S

    def slice_ended(self, now: float) -> None:
        """A slice has ended."""

    def host_answered(self, route: int, took_s: float) -> None:
        """A host has answered `took_s` seconds after the request began."""


class Codel(Fifo):
    """Controlled delay (CoDel, RFC 8289).

    Once requests have waited for over a target for an interval, some are given up when their turn
    comes, at a growing rate while the wait stays over the target. The target is 5% of the shortest
    latency objective, the interval 20 times the target.
    """

    name = "CoDel"
    TARGET_FRACTION = 0.05  # of the shortest latency objective
    INTERVAL_TARGETS = 20

    def __init__(self, routes: Sequence[RoutePriority]) -> None:
        super().__init__(routes)
        self.target_s = self.TARGET_FRACTION * self.shortest_objective_s
        self.interval_s = self.INTERVAL_TARGETS * self.target_s
        self._drop_from = 0.0  # when the wait will have been over the target for an interval
        self._dropping = False
        self._drops = 0  # in this phase of dropping; sets its rate
        self._next_drop = 0.0

    def cannot_meet_deadline(self, now: float, since: float, wait_s: float, route: int) -> bool:
        """Whether the request is past its client's wait, or is dropped by the control law."""
        return super().cannot_meet_deadline(now, since, wait_s, route) or self._drops_next(
            now, now - since
        )

    def _drops_next(self, now: float, sojourn_s: float) -> bool:
        """Whether to give up the request whose turn has come after `sojourn_s` in the queue."""
        if sojourn_s < self.target_s:
            self._drop_from, self._dropping = 0.0, False
            return False
        if not self._drop_from:
            self._drop_from = now + self.interval_s
            return False
        if not self._dropping and now >= self._drop_from:
            self._dropping = True
            self._drops = max(1, self._drops - 2)
            self._next_drop = now + self._drop_gap_s()
            return True
        if self._dropping and now >= self._next_drop:
            self._drops += 1
            self._next_drop += self._drop_gap_s()
            return True
        return False

    def _drop_gap_s(self) -> float:
        """Time to the next drop: the control law of the RFC."""
        return self.interval_s / math.sqrt(self._drops)


class LifoCodel(Codel):
    """Adaptive LIFO with CoDel's short time-out (Maurer, "Fail at Scale", ACM Queue 2015).

    While the queue has not been empty for an interval, the newest begin first, and what has waited
    for over the target is given up.
    """

    name = "adaptive LIFO"
    INTERVAL_S = 0.1

    def __init__(self, routes: Sequence[RoutePriority]) -> None:
        super().__init__(routes)
        self.interval_s = self.INTERVAL_S
        self._empty_at = 0.0  # when the queue was empty last
        self._overloaded = False

    def slice_ended(self, now: float) -> None:
        """Note whether the queue has been empty within the interval."""
        if not self.queue:
            self._empty_at = now
        self._overloaded = now - self._empty_at > self.interval_s

    def take(self) -> object | None:
        """The item of the newest request under overload, else of the oldest; None: none waits."""
        if not self.queue:
            return None
        return (self.queue.pop() if self._overloaded else self.queue.popleft()).item

    def cannot_meet_deadline(self, now: float, since: float, wait_s: float, route: int) -> bool:
        """Whether the request has waited for over the target under overload, else the interval."""
        return now - since > (self.target_s if self._overloaded else self.interval_s)


class Edf(Fifo):
    """Earliest deadline first; what is nearly past its objective is given up at its turn."""

    name = "EDF"
    OBJECTIVE_FRACTION = 0.9  # of the objective after which a request is given up

    def __init__(self, routes: Sequence[RoutePriority]) -> None:
        super().__init__(routes)
        self.queues: list[deque[QueuedRequest]] = [deque() for _ in routes]

    @property
    def waiting(self) -> int:
        """How many requests of all routes wait."""
        return sum(map(len, self.queues))

    def enqueue(self, route: int, request: QueuedRequest) -> None:
        """Put an admitted request into the queue of its route."""
        self.queues[route].append(request)

    def take(self) -> object | None:
        """The item of the request whose objective ends first; None: none waits."""
        occupied = [queue for queue in self.queues if queue]
        if not occupied:
            return None
        return min(occupied, key=lambda queue: queue[0].useful_until).popleft().item

    def cannot_meet_deadline(self, now: float, since: float, wait_s: float, route: int) -> bool:
        """Whether too little of the route's objective is left to answer within it."""
        return now >= since + self.OBJECTIVE_FRACTION * self.routes[route].useful_s


class Dagor(Fifo):
    """Priority levels, and a cut that moves by the mean wait of a window (DAGOR).

    Source: Zhou et al., SoCC 2018, with its constants. The paper's levels of users are 128 parts of
    a class here, dealt out in turn.
    """

    name = "DAGOR"
    USER_LEVELS = 128  # in each class
    USER_STRIDE = 79  # odd, so that all levels come in turn, not in their order
    WINDOW_S = 1.0
    WINDOW_REQUESTS = 2000  # that end a window before its time
    TARGET_WAIT_S = 0.020  # mean wait in a window above which the core counts as overloaded
    DECREASE, INCREASE = 0.05, 0.01

    def __init__(self, routes: Sequence[RoutePriority]) -> None:
        super().__init__(routes)
        by_weight = sorted(range(len(routes)), key=lambda route: -routes[route].priority_weight)
        self._rank = {route: rank for rank, route in enumerate(by_weight)}
        self._level_count = len(routes) * self.USER_LEVELS
        self._cut = self._level_count  # the first level, from the most important on, not admitted
        self._start_window(0.0)

    def _start_window(self, now: float) -> None:
        self._window_start = now
        self._arrivals = 0
        self._arrivals_by_level = [0] * self._level_count
        self._admitted = 0
        self._begun = 0
        self._waited_s = 0.0  # by those that began, together

    def admits(self, route: int, in_flight: int) -> bool:
        """Whether the request's level is above the cut."""
        self._arrivals += 1
        user_level = self._arrivals * self.USER_STRIDE % self.USER_LEVELS
        level = self._rank[route] * self.USER_LEVELS + user_level
        self._arrivals_by_level[level] += 1
        if level >= self._cut:
            return False
        self._admitted += 1
        return True

    def cannot_meet_deadline(self, now: float, since: float, wait_s: float, route: int) -> bool:
        """Note the wait; whether the request is past its client's wait."""
        self._begun += 1
        self._waited_s += now - since
        return super().cannot_meet_deadline(now, since, wait_s, route)

    def slice_ended(self, now: float) -> None:
        """Move the cut at the end of a window."""
        if now - self._window_start < self.WINDOW_S and self._arrivals < self.WINDOW_REQUESTS:
            return
        self._cut = self._cut_for(self._admissions_wanted())
        self._start_window(now)

    def _admissions_wanted(self) -> float:
        """How many requests a window like this one should admit."""
        if self._begun and self._waited_s / self._begun > self.TARGET_WAIT_S:
            return self._admitted * (1 - self.DECREASE)
        return self._admitted + self.INCREASE * self._arrivals

    def _cut_for(self, admissions: float) -> int:
        """The cut that would have admitted at most so many of this window's arrivals."""
        admitted = 0
        for level, arrivals in enumerate(self._arrivals_by_level):
            admitted += arrivals
            if admitted > admissions:
                return level
        return self._level_count


class Breakwater(Fifo):
    """Credits for as many requests as the core can have in flight (Cho et al., OSDI 2020).

    Credits grow while the wait is under a target and shrink while it is over. Without the part that
    tells clients: who has no credit is rejected. Also gives up what waits for over twice the target
    (the paper's active queue management).
    """

    name = "Breakwater"
    TARGET_FRACTION = 0.1  # of the shortest latency objective
    FIRST_CREDITS, LEAST_CREDITS = 64.0, 8.0
    UPDATE_S = 0.01  # between two changes of the credits
    INCREASE = 0.02  # of the credits
    DECREASE = 0.08  # of the credits, for a wait that is over by one target
    MAX_DECREASE = 0.5  # of the credits

    def __init__(self, routes: Sequence[RoutePriority]) -> None:
        super().__init__(routes)
        self._target_s = self.TARGET_FRACTION * self.shortest_objective_s
        self._credits = self.FIRST_CREDITS
        self._updated_at = 0.0

    def admits(self, route: int, in_flight: int) -> bool:
        """Whether there are credits for so many in flight."""
        return in_flight <= self._credits

    def cannot_meet_deadline(self, now: float, since: float, wait_s: float, route: int) -> bool:
        """Move the credits by the wait; whether it is over twice the target."""
        if now - self._updated_at > self.UPDATE_S:
            self._updated_at = now
            self._update_credits(now - since)
        return now - since > 2 * self._target_s

    def _update_credits(self, waited_s: float) -> None:
        excess = (waited_s - self._target_s) / self._target_s
        if excess < 0:
            self._credits += max(1.0, self.INCREASE * self._credits)
            return
        factor = max(1.0 - self.DECREASE * excess, 1.0 - self.MAX_DECREASE)
        self._credits = max(self.LEAST_CREDITS, self._credits * factor)


ALTERNATIVES: tuple[type[Fifo], ...] = (Fifo, Codel, LifoCodel, Edf, Dagor, Breakwater)
