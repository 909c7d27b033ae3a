"""The slow-start budget of a warming host over all gateways together.

The requests that reach a warming host stay within its budget N plus a statistical margin of
2 * sqrt(N) + 2, with any number of gateways, slow connects, restarted gateways, and retries.
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

WINDOW_US, WARM_UP_US, WORK_US = 1_000_000, 6_000_000, 20_000
START_US = 50_000_000
SLOW_START_SETTINGS = {
    "warm_up_us": WARM_UP_US,
    "initial_capacity": 0.3,
    "overload_multiple": 3.0,
    "overload_window_us": WINDOW_US,
    "max_attempts": 4,
    "hedging_allowed": True,
}


class Gateways:
    """The balancers of `count` gateways that share one warming host, and a clock (us).

    A connect takes up to `max_connect_us`; an attempt whose connection is established after its
    `send_by_us` is not sent. One attempt in ten fails immediately.
    """

    def __init__(self, count: int, seed: int, max_connect_us: int) -> None:
        self.rng, self.max_connect_us = random.Random(seed), max_connect_us
        self.gateway_settings: list[Settings] = [
            settings(route(), gateway_count=count, gateway_index=n, **SLOW_START_SETTINGS)
            for n in range(count)
        ]
        self.queue: list[tuple[int, int, int, tuple[int, object]]] = []
        self.arrivals: list[int] = []  # times at the warming host; `by` has the gateways
        self.by: list[int] = []
        self.started: list[int] = []  # start times of the gateway processes that sent them
        self.ids = 0
        self.incarnations = [0] * count
        self.balancers: list[Balancer] = []
        for number in range(count):
            self.balancers.append(self.new_balancer(number, START_US))

    def new_balancer(self, number: int, now: int) -> Balancer:
        balancer = Balancer(self.gateway_settings[number], self.rng.getrandbits(32))
        balancer.routes[0].uncrowded_latency_us = float(WORK_US)
        balancer.handle(
            now, [EndpointUpdate(UpdateKind.CACHED, (Endpoint(7, started_us=START_US),))]
        )
        return balancer

    def restart(self, number: int, now: int) -> None:
        """Replace a gateway's balancer by a new one without state."""
        self.incarnations[number] += 1
        self.balancers[number] = self.new_balancer(number, now)

    def at(self, now: int, number: int, event: object) -> None:
        self.ids += 1
        heapq.heappush(self.queue, (now, self.ids, number, (self.incarnations[number], event)))

    def feed(self, now: int, number: int, event: object) -> None:
        attempts: dict[int, int] = {}
        for action in self.balancers[number].handle(now, [event]):  # type: ignore[list-item]
            if isinstance(action, SetTimer):
                self.at(now + action.delay_us, number, TimerFired(action.timer_id))
            elif isinstance(action, SendAttempt):
                request = self.balancers[number].requests[action.request]
                attempt = len(request.attempts) - 1 - attempts.get(action.request, 0)
                up = now + (
                    self.rng.randrange(self.max_connect_us) if self.rng.random() < 0.5 else 500
                )
                if action.send_by_us and up > action.send_by_us:
                    outcome = Outcome.NOT_SENT
                else:
                    self.arrivals.append(up)
                    self.by.append(number)
                    self.started.append(self.balancers[number].started_us or 0)
                    outcome = Outcome.ERROR if self.rng.random() < 0.1 else Outcome.SUCCESS
                served = outcome is Outcome.SUCCESS
                done = AttemptFinished(action.request, attempt, outcome, up - now + WORK_US, served)
                self.at(up + WORK_US, number, done)

    def play(self, end_us: int, requests_each_s: int, restarts_each_s: float) -> None:
        now, step = START_US, 10_000
        while now < end_us:
            now += step
            while self.queue and self.queue[0][0] <= now:
                at, _, number, (incarnation, event) = heapq.heappop(self.queue)
                if incarnation == self.incarnations[number]:
                    self.feed(at, number, event)
            if self.rng.random() < restarts_each_s * step / 1e6:
                self.restart(
                    self.slot_owner(now), now
                )  # within its slot, the worst case of a release
            for _ in range(requests_each_s * step // 1_000_000):
                number = (
                    self.slot_owner(now)
                    if self.rng.random() < 0.5
                    else self.rng.randrange(len(self.balancers))
                )
                self.ids += 1
                self.feed(now, number, RequestArrived(self.ids, 0, now + DEADLINE_US))

    def slot_owner(self, now: int) -> int:
        """Return the index of the gateway that owns the current slot at the warming host."""
        one = self.balancers[0]
        slot = (now - START_US) // one.slow_start_slot_us + one.hosts[7].ring_position
        return int(slot % len(self.balancers))

    def window_counts(self) -> Iterator[tuple[int, float]]:
        """Yield, for each window that begins with an arrival, the number of arrivals in it and the
        maximum by the budget and the statistical margin."""
        arrivals, last = sorted(self.arrivals), 0
        for first, at in enumerate(arrivals):
            while last < len(arrivals) and arrivals[last] < at + WINDOW_US:
                last += 1
            capacity = min(1.0, 0.3 + 0.7 * (at - START_US) / WARM_UP_US)
            budget = 3.0 * capacity * WINDOW_US / WORK_US
            yield last - first, budget + 2 * math.sqrt(budget) + 2


COUNTS = [1, 3, 20, 30, 200]


def run_fleet(count: int, seed: int) -> Gateways:
    fleet = Gateways(count, seed, max_connect_us=400_000)
    fleet.play(
        START_US + WARM_UP_US, requests_each_s=2000, restarts_each_s=1.0 if count > 1 else 0.0
    )
    assert len(fleet.arrivals) > 5  # the host is used while it warms up
    return fleet


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("seed", [1, 2])
def test_requests_at_a_warming_host_stay_within_its_budget(count: int, seed: int) -> None:
    assert [
        (received, allowed)
        for received, allowed in run_fleet(count, seed).window_counts()
        if received > allowed
    ] == []


@pytest.mark.plain
def test_budget_is_exceeded_without_slots(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without slots 200 gateways exceed the budget, so the test above can detect a violation."""
    for module in (slow_start, selection, subsetting, endpoints, attempts, learning, overdue):
        monkeypatch.setattr(module, "is_warming", lambda *_: False)
    assert any(received > allowed for received, allowed in run_fleet(200, 1).window_counts())


@pytest.mark.parametrize("count", COUNTS)
def test_no_request_reaches_a_warming_host_outside_its_senders_slot(count: int) -> None:
    """A slow connect must not carry a request into another gateway's slot, and a process that
    started within its slot must not use it: its predecessor may have used up the slot's work."""
    fleet = run_fleet(count, 3)
    width, warm_us = fleet.balancers[0].slow_start_slot_us, START_US + WARM_UP_US
    before_warm = [
        one for one in zip(fleet.arrivals, fleet.by, fleet.started, strict=True) if one[0] < warm_us
    ]
    assert [(up, by) for up, by, _ in before_warm if fleet.slot_owner(up) != by] == []
    assert all(
        started <= START_US + (up - START_US) // width * width for up, _, started in before_warm
    )


@pytest.mark.parametrize(
    ("effect", "bounded"), [(Idempotency.IDEMPOTENT, False), (Idempotency.KEYED, True)]
)
def test_retry_of_a_keyed_request_must_be_sent_within_the_deduplication_window(
    effect: Idempotency, bounded: bool
) -> None:
    """The deduplication window starts with the first attempt that a host may have processed. A slow
    connect must not delay a further send of a keyed request beyond it: the host would run it
    twice."""
    driver = BalancerDriver(settings(route(effect, deduplication_window_us=300_000)), 3)
    request, first_us = driver.arrive(), driver.now
    driver.balancer.routes[0].retry_budget.tokens = 9.0
    driver.done(request, Outcome.ERROR, 1000)
    driver.pass_time(60_000)
    first, second = (action for action in driver.log if isinstance(action, SendAttempt))
    assert (first.send_by_us, second.send_by_us) == (0, first_us + 300_000 if bounded else 0)


def test_rejected_attempt_starts_no_deduplication_window() -> None:
    driver = BalancerDriver(settings(route(Idempotency.KEYED, deduplication_window_us=300_000)), 3)
    request = driver.arrive()
    driver.balancer.routes[0].retry_budget.tokens = 9.0
    driver.done(request, Outcome.REJECTED, 1000)
    driver.pass_time(60_000)
    assert [action.send_by_us for action in driver.log if isinstance(action, SendAttempt)] == [0, 0]


@on_loop
async def test_engine_does_not_start_an_attempt_after_send_by_us() -> None:
    """The balancer decides by the time of the current events, which is in the past when the event
    loop is late: the engine must check `send_by_us` by its own clock."""
    async with world(hang) as w, w.client() as client:
        engine, number = w.gateway.engine, next(iter(w.gateway.engine.hosts))
        client.send()
        await w.hosts[0].came.get()
        (opened,) = engine._open.values()
        engine._send(SendAttempt(opened.number, number, send_by_us=engine.now_us() - 1))
        assert opened.attempts[1:] == [None] and opened.attempts_in_flight == 1
        engine._send(SendAttempt(opened.number, number, send_by_us=engine.now_us() + 1_000_000))
        assert opened.attempts[2] is not None and opened.attempts_in_flight == 2
