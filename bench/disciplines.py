"""Ways of admission that were weighed against the chosen one, as small as their papers allow. No I/O.

All share the slices of the loop: what differs is who is let in, what begins next and what is given up.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import cast

from quillroad.overload.admission_queue import RoutePriority
from testbed.core import Item

SLICE_S = 0.002


@dataclass(slots=True)
class Entry:
    item: Item
    came: float  # into the queue
    by: float  # its aim


class Fifo:
    """Everyone is let in and begins in turn."""

    name = "no limit"

    def __init__(self, lanes: Sequence[RoutePriority]) -> None:
        self.lanes = lanes
        self.queue: deque[Entry] = deque()

    @property
    def waiting(self) -> int:
        return len(self.queue)

    def admits(self, now: float, route: int) -> bool:
        return True

    def join(
        self,
        now: float,
        since: float,
        wait_s: float,
        route: int,
        tenant: int,
        held: int,
        item: object,
    ) -> Entry | None:
        if not self.admits(now, route):
            return None
        entry = Entry(cast(Item, item), now, since + self.lanes[route].useful_s)
        self.queue.append(entry)
        return entry

    def take(self) -> object | None:
        return self.queue.popleft().item if self.queue else None

    def is_hopeless(self, now: float, since: float, wait_s: float, route: int) -> bool:
        return now >= since + wait_s

    def slice_s(self, now: float) -> float:
        return SLICE_S

    def slice_ended(self, now: float) -> None:
        pass

    def host_answered(self, route: int, took_s: float) -> None:
        pass


class Codel(Fifo):
    """Controlled delay: what has waited for over a target is given up when its turn comes, at a growing rate
    while the wait stays over it for an interval (RFC 8289; target 5% of the shortest aim, interval that 20
    times)."""

    name = "CoDel"

    def __init__(self, lanes: Sequence[RoutePriority]) -> None:
        super().__init__(lanes)
        self.target = 0.05 * min(lane.useful_s for lane in lanes)
        self.interval = 20 * self.target
        self.above_since, self.dropping, self.count, self.next = 0.0, False, 0, 0.0
        self.late_now = False

    def judge(self, now: float, sojourn: float) -> bool:
        """Whether to give up the one whose turn has come."""
        if sojourn < self.target:
            self.above_since, self.dropping = 0.0, False
            return False
        if not self.above_since:
            self.above_since = now + self.interval
            return False
        if not self.dropping and now >= self.above_since:
            self.dropping, self.count = True, max(1, self.count - 2)
            self.next = now + self.interval / self.count**0.5
            return True
        if self.dropping and now >= self.next:
            self.count += 1
            self.next += self.interval / self.count**0.5
            return True
        return False

    def is_hopeless(self, now: float, since: float, wait_s: float, route: int) -> bool:
        return super().is_hopeless(now, since, wait_s, route) or self.judge(now, now - since)


class LifoCodel(Codel):
    """Adaptive LIFO with CoDel's short time-out (Maurer, "Fail at Scale", ACM Queue 2015): while the queue
    has not been empty for an interval the newest begin first, and what has waited for over the target is
    given up."""

    name = "adaptive LIFO"

    def __init__(self, lanes: Sequence[RoutePriority]) -> None:
        super().__init__(lanes)
        self.interval = 0.1
        self.empty_at = 0.0
        self.overloaded = False

    def slice_ended(self, now: float) -> None:
        if not self.queue:
            self.empty_at = now
        self.overloaded = now - self.empty_at > self.interval

    def take(self) -> object | None:
        if not self.queue:
            return None
        return (self.queue.pop() if self.overloaded else self.queue.popleft()).item

    def is_hopeless(self, now: float, since: float, wait_s: float, route: int) -> bool:
        return now - since > (self.target if self.overloaded else self.interval)


class Edf(Fifo):
    """Earliest deadline first, and what is past its aim is given up when its turn comes."""

    name = "EDF"

    def __init__(self, lanes: Sequence[RoutePriority]) -> None:
        super().__init__(lanes)
        self.queues: list[deque[Entry]] = [deque() for _ in lanes]

    @property
    def waiting(self) -> int:
        return sum(map(len, self.queues))

    def join(
        self,
        now: float,
        since: float,
        wait_s: float,
        route: int,
        tenant: int,
        held: int,
        item: object,
    ) -> Entry | None:
        entry = Entry(cast(Item, item), now, since + self.lanes[route].useful_s)
        self.queues[route].append(entry)
        return entry

    def take(self) -> object | None:
        heads = [queue for queue in self.queues if queue]
        return min(heads, key=lambda queue: queue[0].by).popleft().item if heads else None

    def is_hopeless(self, now: float, since: float, wait_s: float, route: int) -> bool:
        return now >= since + 0.9 * self.lanes[route].useful_s


class Dagor(Fifo):
    """Levels of worth, and a cut that moves by the mean wait of a window (Zhou et al., SoCC 2018: 20 ms, 1 s
    or 2,000 requests; 5% down, 1% up). Users' levels of the paper: 128 parts of a class, dealt in turn."""

    name = "DAGOR"
    PARTS = 128

    def __init__(self, lanes: Sequence[RoutePriority]) -> None:
        super().__init__(lanes)
        order = sorted(range(len(lanes)), key=lambda route: -lanes[route].priority_weight)
        self.rank = {route: order.index(route) for route in range(len(lanes))}
        self.levels = len(lanes) * self.PARTS
        self.counts = [0] * self.levels
        self.cut, self.seen, self.waits, self.waited, self.began = self.levels, 0, 0, 0.0, 0.0
        self.let_in = 0

    def admits(self, now: float, route: int) -> bool:
        self.seen += 1
        level = self.rank[route] * self.PARTS + (self.seen * 79) % self.PARTS
        self.counts[level] += 1
        if level >= self.cut:
            return False
        self.let_in += 1
        return True

    def is_hopeless(self, now: float, since: float, wait_s: float, route: int) -> bool:
        self.waits += 1
        self.waited += now - since
        return super().is_hopeless(now, since, wait_s, route)

    def slice_ended(self, now: float) -> None:
        if now - self.began < 1.0 and self.seen < 2000:
            return
        over = self.waits and self.waited / self.waits > 0.020
        wanted = self.let_in * 0.95 if over else self.let_in + 0.01 * self.seen
        total, self.cut = 0.0, 0
        while self.cut < self.levels and total + self.counts[self.cut] <= wanted:
            total += self.counts[self.cut]
            self.cut += 1
        self.counts = [0] * self.levels
        self.seen, self.waits, self.waited, self.let_in, self.began = 0, 0, 0.0, 0, now


class Breakwater(Fifo):
    """Credits for as many as the core can have open, more while the wait is under a target and fewer over it
    (Cho et al., OSDI 2020), without the part that tells clients: who has no credit is refused. Also gives up
    what waits for over twice the target (its AQM)."""

    name = "Breakwater"

    def __init__(self, lanes: Sequence[RoutePriority]) -> None:
        super().__init__(lanes)
        self.target = 0.1 * min(lane.useful_s for lane in lanes)
        self.credits, self.open, self.stepped = 64.0, 0, 0.0

    def join(
        self,
        now: float,
        since: float,
        wait_s: float,
        route: int,
        tenant: int,
        held: int,
        item: object,
    ) -> Entry | None:
        if held > self.credits:
            return None
        return super().join(now, since, wait_s, route, tenant, held, item)

    def is_hopeless(self, now: float, since: float, wait_s: float, route: int) -> bool:
        if now - self.stepped > 0.01:
            self.stepped = now
            over = (now - since - self.target) / self.target
            if over < 0:
                self.credits += max(1.0, 0.02 * self.credits)
            else:
                self.credits = max(8.0, self.credits * max(1.0 - 0.08 * over, 0.5))
        return now - since > 2 * self.target


ALL: tuple[type[Fifo], ...] = (Fifo, Codel, LifoCodel, Edf, Dagor, Breakwater)
