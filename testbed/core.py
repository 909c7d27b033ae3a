"""A loop on one core in simulated time, to try ways of admission on: no sockets, the same figures every time.

A turn reads all that came, refuses or lets in, and begins what waits for a slice; answers of hosts come a
while later and take their part of a request's cost. The core may be rationed: it works for a while, then
stands still.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Sequence
from typing import Protocol, cast

from quillroad.overload.admission_queue import RoutePriority

Item = tuple[float, int, int]  # when it came, class, tenant
POLL_S = 0.00002  # a turn with nothing to do
SLOT_S = 0.1  # of the picture over time


class Discipline(Protocol):
    """What the loop asks of a way of admission; `Admission` is one."""

    @property
    def waiting(self) -> int: ...
    def join(
        self,
        now: float,
        since: float,
        wait_s: float,
        route: int,
        tenant: int,
        held: int,
        item: object,
    ) -> object | None: ...
    def take(self) -> object | None: ...
    def hopeless(self, now: float, since: float, wait_s: float, route: int) -> bool: ...
    def slice_s(self, now: float) -> float: ...
    def sliced(self, now: float) -> None: ...
    def answered(self, route: int, took_s: float) -> None: ...


class Core:
    """`cost` of a request, half of it for the answer, `refusal` of one turned away, `hosts` until an answer,
    and `ration` (works, stands still) are seconds; clients wait `deadline` seconds."""

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
        self.admission, self.lanes = admission, lanes
        self.cost, self.refusal, self.hosts, self.deadline = cost, refusal, hosts, deadline
        self.ration, self.now, self._left = ration, 100.0, ration[0]
        self.answers: list[tuple[float, float, Item]] = []  # due, begun, what
        self.open = 0
        self.came: list[Item] = []  # the latest first
        self.counts: dict[tuple[int, int], list[int]] = {}  # sent, in aim, late, refused
        self.refusal_waits: list[float] = []
        self.took: list[float] = []
        self.slots: dict[int, list[float]] = {}  # sent, let in, in aim, late, refused, longest wait
        self._chance = random.Random(1)

    def work(self, seconds: float) -> None:
        """Time passes while the core works, and while it stands still."""
        while seconds >= self._left:
            seconds -= self._left
            self.now += self._left + self.ration[1]
            self._left = self.ration[0]
        self.now, self._left = self.now + seconds, self._left - seconds

    def _slot(self, column: int, value: float = 1.0) -> None:
        row = self.slots.setdefault(int((self.now - 100.0) / SLOT_S), [0.0] * 6)
        row[column] = max(row[column], value) if column == 5 else row[column] + value

    def offer(self, seconds: float, demand: dict[tuple[int, int], float]) -> None:
        """So many requests a second of each (class, tenant) will come, at random times."""
        for level, rate in demand.items():
            at = self.now
            while rate and (at := at + self._chance.expovariate(rate)) < self.now + seconds:
                self.came.append((at, *level))
        self.came.sort(reverse=True)

    def run(self, seconds: float, demand: dict[tuple[int, int], float]) -> None:
        """Offer it, and go on until all is answered. Counts begin anew."""
        self.counts = {level: [0, 0, 0, 0] for level in demand}
        self.refusal_waits, self.took = [], []
        self.offer(seconds, demand)
        end = self.now + seconds
        while self.now < end or self.admission.waiting or self.answers:
            self.turn()

    def closed_loop(self, clients: int, seconds: float, route: int = 0) -> None:
        """So many clients, each asking again as soon as it is answered or refused."""
        self.counts, asked, end = {(route, 0): [0, 0, 0, 0]}, 0, self.now + seconds
        while self.now < end:
            ended = self.total(1) + self.total(2) + self.total(3)
            self.came[:0] = [(self.now, route, 0)] * (ended + clients - asked)
            asked = ended + clients
            self.turn()

    def turn(self) -> None:
        while self.answers and self.answers[0][0] <= self.now:
            self._answer(*heapq.heappop(self.answers)[1:])
        read = self.now
        while self.came and self.came[-1][0] <= read:
            self._read(self.came.pop())
        end = self.now + self.admission.slice_s(self.now)
        while self.now < end and (taken := self.admission.take()) is not None:
            self._begin(cast(Item, taken))
        self.admission.sliced(self.now)
        self.work(POLL_S)

    def _read(self, item: Item) -> None:
        came, route, tenant = item
        self.counts[route, tenant][0] += 1
        self._slot(0)
        self.work(self.refusal)
        told = (self.now, came, self.deadline, route, tenant, self.open + 1, item)
        if self.admission.join(*told) is None:
            self._refuse(item)
        else:
            self.open += 1
            self._slot(1)

    def _begin(self, item: Item) -> None:
        came, route, _ = item
        if self.admission.hopeless(self.now, came, self.deadline, route):
            self.open -= 1
            self._refuse(item)
            return
        self._slot(5, self.now - came)
        began = self.now
        self.work(self.cost / 2)
        heapq.heappush(self.answers, (self.now + self.hosts, began, item))

    def _answer(self, began: float, item: Item) -> None:
        came, route, tenant = item
        self.work(self.cost / 2)
        self.open -= 1
        self.admission.answered(route, self.now - began)
        self.took.append(self.now - came)
        late = self.took[-1] > self.lanes[route].useful_s
        self.counts[route, tenant][2 if late else 1] += 1
        self._slot(3 if late else 2)

    def _refuse(self, item: Item) -> None:
        came, route, tenant = item
        self.counts[route, tenant][3] += 1
        self.refusal_waits.append(self.now - came)
        self._slot(4)

    # The account.

    def share(self, route: int, tenant: int = 0) -> float:
        """Of those sent, served in aim."""
        sent, in_aim, *_ = self.counts[route, tenant]
        return in_aim / max(1, sent)

    def total(self, column: int) -> int:
        """Sent, in aim, late or refused (0 to 3), of all classes."""
        return sum(count[column] for count in self.counts.values())

    def worth(self, column: int = 1) -> float:
        return sum(
            self.lanes[route].priority_weight * count[column] for (route, _), count in self.counts.items()
        )


def mix(rate: float, shares: Iterable[float] = (0.56, 0.44)) -> dict[tuple[int, int], float]:
    """Demand of one tenant: a class a share."""
    return {(route, 0): share * rate for route, share in enumerate(shares)}
