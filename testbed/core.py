"""An event loop on one core in simulated time, to compare ways of admission.

No sockets, and the same figures every time. A turn reads all that came, rejects or admits it, and
begins what waits for a slice; answers of hosts come a while later and take their part of a
request's cost. The core may be rationed: it works for a while, then stands still.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Sequence
from typing import Protocol, cast

from quillroad.overload.admission_queue import RoutePriority

Item = tuple[float, int, int]  # a request: when it came (seconds), class, tenant
START_S = 100.0  # the clock at the start, as of a machine that has been up for a while
POLL_S = 0.00002  # cost of one turn of the loop with nothing to do
SLOT_S = 0.1  # resolution of the picture over time
# Columns of a slot of that picture.
SLOT_SENT, SLOT_ADMITTED, SLOT_IN_TIME, SLOT_LATE, SLOT_REJECTED, LONGEST_WAIT = range(6)
SLOT_COLUMNS = 6
# Columns of the counters of a class and tenant.
SENT, IN_TIME, LATE, REJECTED = range(4)


class Discipline(Protocol):
    """What the loop asks of a way of admission; `AdmissionQueue` is one."""

    @property
    def waiting(self) -> int:
        """How many requests wait."""

    def join(
        self,
        now: float,
        since: float,
        wait_s: float,
        route: int,
        tenant: int,
        in_flight: int,
        item: object,
    ) -> object | None:
        """Take in a request; None: it is rejected."""

    def take(self) -> object | None:
        """The item of the request to begin next; None: none waits."""

    def cannot_meet_deadline(self, now: float, since: float, wait_s: float, route: int) -> bool:
        """Whether this request can no longer be answered while that has value."""

    def slice_s(self, now: float) -> float:
        """For how many seconds requests may begin now."""

    def slice_ended(self, now: float) -> None:
        """A slice has ended."""

    def host_answered(self, route: int, took_s: float) -> None:
        """A host has answered `took_s` seconds after the request began."""


class Core:
    """The core and the clients around it. All times in seconds.

    A request costs `cost`, half of it for the answer, and one turned away `refusal`; hosts answer
    after `hosts`; `ration` is for how long the core works and then stands still; clients wait for
    `deadline`.
    """

    def __init__(
        self,
        admission: Discipline,
        lanes: Sequence[RoutePriority],
        *,
        cost: float = 0.0003,
        refusal: float = 0.00003,
        hosts: float = 0.02,
        ration: tuple[float, float] = (1.0, 0.0),
        deadline: float = 1.4,
    ) -> None:
        self.admission = admission
        self.lanes = lanes
        self.cost = cost
        self.refusal = refusal
        self.hosts = hosts
        self.deadline = deadline
        self.ration = ration
        self.now = START_S
        self._left = ration[0]  # seconds until the core stands still
        self.answers: list[tuple[float, float, Item]] = []  # due, begun, what
        self.open = 0
        self.came: list[Item] = []  # the latest first
        self.counts: dict[tuple[int, int], list[int]] = {}  # sent, in aim, late, refused
        self.refusal_waits: list[float] = []
        self.took: list[float] = []
        self.slots: dict[int, list[float]] = {}  # sent, let in, in aim, late, refused, longest wait
        self._random = random.Random(1)

    def work(self, seconds: float) -> None:
        """Time passes while the core works, and while it stands still."""
        while seconds >= self._left:
            seconds -= self._left
            self.now += self._left + self.ration[1]
            self._left = self.ration[0]
        self.now += seconds
        self._left -= seconds

    def _slot(self, column: int, value: float = 1.0) -> None:
        row = self.slots.setdefault(int((self.now - START_S) / SLOT_S), [0.0] * SLOT_COLUMNS)
        if column == LONGEST_WAIT:
            row[column] = max(row[column], value)
        else:
            row[column] += value

    def offer(self, seconds: float, demand: dict[tuple[int, int], float]) -> None:
        """Let requests of each (class, tenant) come at random times, so many a second."""
        for level, rate in demand.items():
            at = self.now
            while rate and (at := at + self._random.expovariate(rate)) < self.now + seconds:
                self.came.append((at, *level))
        self.came.sort(reverse=True)

    def run(self, seconds: float, demand: dict[tuple[int, int], float]) -> None:
        """Offer this demand and run until all is answered; the counters start anew."""
        self.counts = {level: [0, 0, 0, 0] for level in demand}
        self.refusal_waits = []
        self.took = []
        self.offer(seconds, demand)
        end = self.now + seconds
        while self.now < end or self.admission.waiting or self.answers:
            self.turn()

    def closed_loop(self, clients: int, seconds: float, route: int = 0) -> None:
        """Run so many clients, each asking again as soon as it is answered or rejected."""
        self.counts = {(route, 0): [0, 0, 0, 0]}
        asked = 0
        end = self.now + seconds
        while self.now < end:
            ended = self.total(IN_TIME) + self.total(LATE) + self.total(REJECTED)
            self.came[:0] = [(self.now, route, 0)] * (ended + clients - asked)
            asked = ended + clients
            self.turn()

    def turn(self) -> None:
        """One turn of the event loop."""
        while self.answers and self.answers[0][0] <= self.now:
            self._answer(*heapq.heappop(self.answers)[1:])
        read = self.now
        while self.came and self.came[-1][0] <= read:
            self._read(self.came.pop())
        end = self.now + self.admission.slice_s(self.now)
        while self.now < end and (item := self.admission.take()) is not None:
            self._begin(cast(Item, item))
        self.admission.slice_ended(self.now)
        self.work(POLL_S)

    def _read(self, item: Item) -> None:
        came, route, tenant = item
        self.counts[route, tenant][SENT] += 1
        self._slot(SLOT_SENT)
        self.work(self.refusal)
        in_flight = self.open + 1
        if (
            self.admission.join(self.now, came, self.deadline, route, tenant, in_flight, item)
            is None
        ):
            self._refuse(item)
        else:
            self.open += 1
            self._slot(SLOT_ADMITTED)

    def _begin(self, item: Item) -> None:
        came, route, _ = item
        if self.admission.cannot_meet_deadline(self.now, came, self.deadline, route):
            self.open -= 1
            self._refuse(item)
            return
        self._slot(LONGEST_WAIT, self.now - came)
        began = self.now
        self.work(self.cost / 2)
        heapq.heappush(self.answers, (self.now + self.hosts, began, item))

    def _answer(self, began: float, item: Item) -> None:
        came, route, tenant = item
        self.work(self.cost / 2)
        self.open -= 1
        self.admission.host_answered(route, self.now - began)
        self.took.append(self.now - came)
        late = self.took[-1] > self.lanes[route].useful_s
        self.counts[route, tenant][LATE if late else IN_TIME] += 1
        self._slot(SLOT_LATE if late else SLOT_IN_TIME)

    def _refuse(self, item: Item) -> None:
        came, route, tenant = item
        self.counts[route, tenant][REJECTED] += 1
        self.refusal_waits.append(self.now - came)
        self._slot(SLOT_REJECTED)

    # The account.

    def share(self, route: int, tenant: int = 0) -> float:
        """Part (0 to 1) of the requests sent that were answered within the objective."""
        sent, in_time, *_ = self.counts[route, tenant]
        return in_time / max(1, sent)

    def total(self, column: int) -> int:
        """Sum of a column (`SENT`, `IN_TIME`, `LATE`, `REJECTED`) over all classes."""
        return sum(count[column] for count in self.counts.values())

    def value(self, column: int = IN_TIME) -> float:
        """Sum of a column over all classes, weighted by their priority."""
        return sum(
            self.lanes[route].priority_weight * count[column]
            for (route, _), count in self.counts.items()
        )


def mix(rate: float, weights: Iterable[float] = (0.56, 0.44)) -> dict[tuple[int, int], float]:
    """Demand of one tenant, of `rate` requests a second: one class for each of `weights`."""
    return {(route, 0): share * rate for route, share in enumerate(weights)}
