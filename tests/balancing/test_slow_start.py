"""The warm-up budget under the sum of all gateways.

What reaches a warming host stays within its budget N and chance, 2 roots of N and 2, with any
number of gateways, connections that come up late, gateways that restart, and retries.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterator

import pytest

from quillroad.balancing import (
    attempts,
    endpoints,
    learning,
    overdue,
    selection,
    slow_start,
    subsetting,
)
from quillroad.balancing.actions import SendAttempt, SetTimer
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    AttemptFinished,
    EndpointUpdate,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from quillroad.balancing.settings import Idempotency, Settings
from tests.balancing.helpers import DEADLINE_US, BalancerDriver, route, settings
from tests.net import hang, on_loop, world

WINDOW_US, COLD_US, WORK_US = 1_000_000, 6_000_000, 20_000
START_US = 50_000_000
TOLD = {
    "warm_up_us": COLD_US,
    "initial_capacity": 0.3,
    "overload_multiple": 3.0,
    "overload_window_us": WINDOW_US,
    "max_attempts": 4,
    "hedging_allowed": True,
}


class Gateways:
    """The balancers of `count` gateways before one warming host, and a clock of microseconds.

    A connection takes up to `late_us` to come up; where that is after the attempt's `send_by_us`
    the attempt is not sent. One attempt in ten fails, at once.
    """

    def __init__(self, count: int, seed: int, late_us: int) -> None:
        self.rng, self.late_us = random.Random(seed), late_us
        self.told: list[Settings] = [
            settings(route(), gateway_count=count, gateway_index=n, **TOLD) for n in range(count)
        ]
        self.queue: list[tuple[int, int, int, tuple[int, object]]] = []
        self.arrivals: list[int] = []  # at the warming host, and by whom
        self.by: list[int] = []
        self.started: list[int] = []  # when their process had started
        self.ids = 0
        self.life = [0] * count
        self.group: list[Balancer] = []
        for number in range(count):
            self.group.append(self.born(number, START_US))

    def born(self, number: int, now: int) -> Balancer:
        balancer = Balancer(self.told[number], self.rng.getrandbits(32))
        balancer.routes[0].uncrowded_latency_us = float(WORK_US)
        balancer.handle(
            now, [EndpointUpdate(UpdateKind.CACHED, (Endpoint(7, started_us=START_US),))]
        )
        return balancer

    def restart(self, number: int, now: int) -> None:
        """The same number again, from nothing."""
        self.life[number] += 1
        self.group[number] = self.born(number, now)

    def at(self, now: int, number: int, event: object) -> None:
        self.ids += 1
        heapq.heappush(self.queue, (now, self.ids, number, (self.life[number], event)))

    def feed(self, now: int, number: int, event: object) -> None:
        attempts: dict[int, int] = {}
        for action in self.group[number].handle(now, [event]):  # type: ignore[list-item]
            if isinstance(action, SetTimer):
                self.at(now + action.delay_us, number, TimerFired(action.timer_id))
            elif isinstance(action, SendAttempt):
                request = self.group[number].requests[action.request]
                attempt = len(request.attempts) - 1 - attempts.get(action.request, 0)
                up = now + (self.rng.randrange(self.late_us) if self.rng.random() < 0.5 else 500)
                if action.send_by_us and up > action.send_by_us:
                    outcome = Outcome.NOT_SENT
                else:
                    self.arrivals.append(up)
                    self.by.append(number)
                    self.started.append(self.group[number].started_us or 0)
                    outcome = Outcome.ERROR if self.rng.random() < 0.1 else Outcome.SUCCESS
                served = outcome is Outcome.SUCCESS
                done = AttemptFinished(action.request, attempt, outcome, up - now + WORK_US, served)
                self.at(up + WORK_US, number, done)

    def play(self, end_us: int, requests_each_s: int, restarts_each_s: float) -> None:
        now, step = START_US, 10_000
        while now < end_us:
            now += step
            while self.queue and self.queue[0][0] <= now:
                at, _, number, (life, event) = heapq.heappop(self.queue)
                if life == self.life[number]:
                    self.feed(at, number, event)
            if self.rng.random() < restarts_each_s * step / 1e6:
                self.restart(self.turn(now), now)  # as a release may meet it
            for _ in range(requests_each_s * step // 1_000_000):
                number = (
                    self.turn(now)
                    if self.rng.random() < 0.5
                    else self.rng.randrange(len(self.group))
                )
                self.ids += 1
                self.feed(now, number, RequestArrived(self.ids, 0, now + DEADLINE_US))

    def turn(self, now: int) -> int:
        """Whose turn at the warming host it is."""
        one = self.group[0]
        turn = (now - START_US) // one.slot_us + one.hosts[7].ring_position
        return int(turn % len(self.group))

    def most_over(self) -> Iterator[tuple[int, float]]:
        """For each window that begins with an arrival: what came in it, and what may by budget and
        chance."""
        arrivals, last = sorted(self.arrivals), 0
        for first, at in enumerate(arrivals):
            while last < len(arrivals) and arrivals[last] < at + WINDOW_US:
                last += 1
            warmth = min(1.0, 0.3 + 0.7 * (at - START_US) / COLD_US)
            budget = 3.0 * warmth * WINDOW_US / WORK_US
            yield last - first, budget + 2 * math.sqrt(budget) + 2


COUNTS = [1, 3, 20, 30, 200]


def played(count: int, seed: int) -> Gateways:
    fleet = Gateways(count, seed, late_us=400_000)
    fleet.play(START_US + COLD_US, requests_each_s=2000, restarts_each_s=1.0 if count > 1 else 0.0)
    assert len(fleet.arrivals) > 5  # it is warmed
    return fleet


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("seed", [1, 2])
def test_what_reaches_a_cold_host_stays_within_its_budget(count: int, seed: int) -> None:
    assert [(came, most) for came, most in played(count, seed).most_over() if came > most] == []


@pytest.mark.plain
def test_the_bound_is_one_that_can_be_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    """With no turns 200 processes push a warming host over: the test above would say so."""
    for module in (slow_start, selection, subsetting, endpoints, attempts, learning, overdue):
        monkeypatch.setattr(module, "is_warming", lambda *_: False)
    assert any(came > most for came, most in played(200, 1).most_over())


@pytest.mark.parametrize("count", COUNTS)
def test_nothing_reaches_a_cold_host_outside_its_senders_slot(count: int) -> None:
    """Neither on a connection that comes up late, in another's slot, nor from a process that
    started inside its slot, which the one before it may have used up."""
    fleet = played(count, 3)
    width, warm_us = fleet.group[0].slot_us, START_US + COLD_US
    came = [
        one for one in zip(fleet.arrivals, fleet.by, fleet.started, strict=True) if one[0] < warm_us
    ]
    assert [(up, by) for up, by, _ in came if fleet.turn(up) != by] == []
    assert all(started <= START_US + (up - START_US) // width * width for up, _, started in came)


@pytest.mark.parametrize(
    ("effect", "bounded"), [(Idempotency.IDEMPOTENT, False), (Idempotency.KEYED, True)]
)
def test_a_further_send_of_a_keyed_request_ends_with_its_window(
    effect: Idempotency, bounded: bool
) -> None:
    """Counted from the first attempt that may have run. The module's gate keeps sends within it,
    and a connection that comes up late must not carry one out of it."""
    driver = BalancerDriver(settings(route(effect, deduplication_window_us=300_000)), 3)
    request, first_us = driver.arrive(), driver.now
    driver.balancer.routes[0].retry_budget.tokens = 9.0
    driver.done(request, Outcome.ERROR, 1000)
    driver.pass_time(60_000)
    first, second = (action for action in driver.log if isinstance(action, SendAttempt))
    assert (first.send_by_us, second.send_by_us) == (0, first_us + 300_000 if bounded else 0)


def test_what_surely_never_ran_opens_no_window() -> None:
    driver = BalancerDriver(settings(route(Idempotency.KEYED, deduplication_window_us=300_000)), 3)
    request = driver.arrive()
    driver.balancer.routes[0].retry_budget.tokens = 9.0
    driver.done(request, Outcome.REJECTED, 1000)
    driver.pass_time(60_000)
    assert [action.send_by_us for action in driver.log if isinstance(action, SendAttempt)] == [0, 0]


@on_loop
async def test_a_send_whose_time_is_over_is_not_begun() -> None:
    """The module decides by a clock that stands still while a late loop catches up."""
    async with world(hang) as w, w.client() as client:
        engine, number = w.gateway.engine, next(iter(w.gateway.engine.hosts))
        client.send()
        await w.hosts[0].came.get()
        (opened,) = engine._open.values()
        engine._send(SendAttempt(opened.number, number, send_by_us=engine.now_us() - 1))
        assert opened.attempts[1:] == [None] and opened.attempts_in_flight == 1
        engine._send(SendAttempt(opened.number, number, send_by_us=engine.now_us() + 1_000_000))
        assert opened.attempts[2] is not None and opened.attempts_in_flight == 2
