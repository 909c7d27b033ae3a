"""The balancer in random valid event histories, and the independent checker with broken rules."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from quillroad.balancing import (
    admission,
    attempts,
    balancer,
    endpoints,
    final_answer,
    request_queue,
    send_gate,
)
from quillroad.balancing.actions import CancelAttempt, Fail, Reject, SendAttempt, SetTimer
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from quillroad.balancing.rejection import RejectionReason
from quillroad.balancing.selection import pick
from quillroad.balancing.settings import DeduplicationScope, Idempotency, Route, Settings
from quillroad.balancing.state import BalancerState, Request
from tests.balancing.rulecheck import Checker, RuleBroken

WORK_US = 20_000
TICK_US = 5_000
ANSWER_SLACK_US = 2 * TICK_US  # after a deadline: a timer and an event may each be one tick late


def routes(window_us: int) -> tuple[Route, ...]:
    base: dict[str, Any] = {
        "latency_objective_us": 200_000,
        "deadline_us": 600_000,
        "deduplication_window_us": window_us,
    }
    return (
        Route("safe", Idempotency.IDEMPOTENT, priority_weight=2.0, **base),
        Route("all", Idempotency.KEYED, deduplication_scope=DeduplicationScope.ALL, **base),
        Route("zone", Idempotency.KEYED, deduplication_scope=DeduplicationScope.ZONE, **base),
        Route("cell", Idempotency.KEYED, deduplication_scope=DeduplicationScope.CELL, **base),
        Route("unsafe", Idempotency.NON_IDEMPOTENT, **base),
        Route("long", Idempotency.IDEMPOTENT, latency_objective_us=500_000, deadline_us=900_000),
    )


class World:
    """Simulates a valid event history with faults: hosts fail, hang, crash, drain and restart, and
    clients disconnect."""

    def __init__(
        self,
        seed: int,
        may_hedge: bool,
        window_us: int,
        fault_ratio: float,
        told: Settings | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.fault_ratio = fault_ratio
        self.told = told or Settings(
            routes=routes(window_us),
            gateway_count=self.rng.choice([1, 2, 3]),
            discovery_is_polled=self.rng.random() < 0.5,
            tenant_quotas_per_s=(40.0, 20.0),
            over_quota_weight=0.1,
            max_attempts=self.rng.choice([1, 2, 4]),
            hedging_allowed=may_hedge,
            cancellation_allowed=self.rng.random() < 0.8,
            retry_after_allowed=True,
            max_retry_after_us=500_000,
            drain_grace_us=0,
            warm_up_us=3_000_000,
            initial_capacity=0.25,
            overload_multiple=2.5,
            overload_window_us=1_000_000,
        )
        self.now = 10_000_000
        self.balancer = Balancer(self.told, seed)
        self.checker = Checker(self.told, WORK_US, ANSWER_SLACK_US)
        self.due: list[tuple[int, int, Event]] = []
        self.count = 0
        self.next_request = 0
        self.attempt_counts: dict[int, int] = {}
        self.deadlines: dict[int, int] = {}
        self.ended: set[int] = set()
        self.in_flight_attempts: set[tuple[int, int]] = set()
        self.hosts = [
            Endpoint(50 + i, zone=i % 2, cell=i % 4, machine_type=i % 2) for i in range(7)
        ]
        started = self.now - 500_000
        self.hosts[0] = self.hosts[0]._replace(started_us=started)

    def schedule(self, delay_us: int, event: Event) -> None:
        self.count += 1
        self.due.append((self.now + max(delay_us, TICK_US), self.count, event))

    def play(self, ticks: int) -> None:
        self.step([EndpointUpdate(UpdateKind.CACHED, tuple(self.hosts))])
        for tick in range(ticks):
            self.now += TICK_US
            events: list[Event] = []
            if tick < ticks - 250:
                events += self.endpoint_faults()
                for _ in range(self.rng.choice([0, 0, 1, 1, 2])):
                    events.append(self.next_arrival())
            ready = sorted(d for d in self.due if d[0] <= self.now)
            self.due = [d for d in self.due if d[0] > self.now]
            for _, _, event in ready:
                events += self.deliver(event)
            if events:
                self.step(events)
            else:
                self.checker.check_actions(self.now, [])
        assert self.deadlines.keys() == self.ended
        assert not self.balancer.requests and self.balancer.queued == 0
        assert all(s.in_flight == s.overdue == 0 for s in self.balancer.hosts.values())

    def endpoint_faults(self) -> list[Event]:
        draw = self.rng.random()
        index = self.rng.randrange(len(self.hosts))
        endpoint = self.hosts[index]
        if draw < 0.01:
            state = self.rng.choice(
                [EndpointStatus.DRAINING, EndpointStatus.REMOVED, EndpointStatus.READY]
            )
            fresh = endpoint.status is not EndpointStatus.READY and state is EndpointStatus.READY
            endpoint = endpoint._replace(
                status=state, started_us=self.now if fresh else endpoint.started_us
            )
            self.hosts[index] = endpoint
            return [EndpointUpdate(UpdateKind.INCREMENTAL, (endpoint,))]
        if draw < 0.015:
            return [
                EndpointUpdate(
                    UpdateKind.FULL,
                    tuple(s for s in self.hosts if s.status is not EndpointStatus.REMOVED),
                )
            ]
        return [EndpointUpdate(UpdateKind.FAILED)] if draw < 0.02 else []

    def next_arrival(self) -> Event:
        self.next_request += 1
        number, route = self.next_request, self.rng.randrange(len(self.told.routes))
        wait = max(1, int(self.told.routes[route].deadline_us * self.rng.choice([0.5, 1.0, 1.0])))
        self.deadlines[number] = self.now + wait
        self.attempt_counts[number] = 0
        if self.rng.random() < 0.03:
            self.schedule(self.rng.randrange(wait), ClientDisconnected(number))
        key = self.rng.choice([None, "a", "b", "c"])
        return RequestArrived(number, route, self.now + wait, key, tenant=self.rng.randrange(3))

    def deliver(self, event: Event) -> list[Event]:
        if isinstance(event, ClientDisconnected):
            if event.request in self.ended:
                return []
            self.ended.add(event.request)
        if isinstance(event, AttemptFinished):
            if (event.request, event.attempt) not in self.in_flight_attempts:
                return []
            self.in_flight_attempts.discard((event.request, event.attempt))
            closed = event.request in self.ended or event.outcome is Outcome.SUCCESS
            if closed:
                self.ended.add(event.request)
            return [event._replace(answered=closed)]
        return [event]

    def step(self, events: list[Event]) -> None:
        self.checker.record_events(self.now, events)
        actions = self.balancer.handle(self.now, events)
        self.checker.check_actions(self.now, actions)
        for action in actions:
            if isinstance(action, SetTimer):
                self.schedule(action.delay_us, TimerFired(action.timer_id))
            elif isinstance(action, SendAttempt):
                self.sent(action)
            elif isinstance(action, CancelAttempt):
                done = AttemptFinished(action.request, action.attempt, Outcome.CANCELLED, TICK_US)
                self.schedule(TICK_US, done)
            elif isinstance(action, Reject | Fail):
                self.ended.add(action.request)

    def sent(self, action: SendAttempt) -> None:
        number = self.attempt_counts[action.request]
        self.attempt_counts[action.request] += 1
        self.in_flight_attempts.add((action.request, number))
        remaining_us = self.deadlines[action.request] - self.now
        if self.rng.random() < self.fault_ratio:
            outcome: Outcome = self.rng.choice([o for o in Outcome if o is not Outcome.SUCCESS])
            elapsed = (
                remaining_us if outcome is Outcome.TIMEOUT else self.rng.randrange(TICK_US, 150_000)
            )
        else:
            outcome = Outcome.SUCCESS
            elapsed = int(self.rng.expovariate(1 / WORK_US)) + TICK_US
        if elapsed >= remaining_us:
            outcome, elapsed = Outcome.TIMEOUT, remaining_us
        self.schedule(
            max(1, elapsed), AttemptFinished(action.request, number, outcome, max(1, elapsed))
        )


@settings(max_examples=40, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    seed=st.integers(0, 10**6),
    parallel=st.booleans(),
    decay_time_us=st.sampled_from([30_000, 100_000, 2_000_000]),
    bad=st.sampled_from([0.05, 0.3, 0.8, 1.0]),
)
def test_random_legal_histories_keep_the_rules(
    seed: int, parallel: bool, decay_time_us: int, bad: float
) -> None:
    World(seed, parallel, decay_time_us, bad).play(1000)


def break_final_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(balancer, "on_queue_timeout", lambda state, request: None)


def break_send_after_end(monkeypatch: pytest.MonkeyPatch) -> None:
    def finish(state: BalancerState, request: Request, reason: RejectionReason) -> None:
        state.actions.append(Fail(request.id))
        if host := pick(state, request):
            attempts.send(state, request, host)
        final_answer.close(state, request)

    for module in (admission, attempts, request_queue):
        monkeypatch.setattr(module, "finish", finish)


def break_idempotency(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Request, "may_have_run", lambda self: [])


def break_rejection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(final_answer, "is_retry_harmless", lambda request: True)


def break_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    on_endpoint_update = endpoints.on_endpoint_update

    def keep_all(state: BalancerState, event: EndpointUpdate) -> None:
        lines = tuple(
            endpoint._replace(status=EndpointStatus.READY) for endpoint in event.endpoints
        )
        on_endpoint_update(state, event._replace(endpoints=lines))

    monkeypatch.setattr(balancer, "on_endpoint_update", keep_all)


def break_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(send_gate, "may_send_while_warming", lambda state, request, host: True)


@pytest.mark.plain
@pytest.mark.parametrize(
    ("breaking", "rule"),
    [
        (break_final_answer, "one final answer: .* no final answer"),
        (break_send_after_end, "one final answer: .* after its end"),
        (break_idempotency, "no effect twice: "),
        (break_rejection, "no effect twice: .* refused"),
        (break_drain, "drain honoured: "),
        (break_slow_start, "warm-up budget: "),
    ],
)
def test_checker_detects_each_broken_rule(
    breaking: Callable[[pytest.MonkeyPatch], None], rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    breaking(monkeypatch)
    with pytest.raises(RuleBroken, match=f"^{rule}"):
        for seed in range(40):
            World(seed, may_hedge=seed % 2 == 0, window_us=60_000, fault_ratio=0.3).play(1000)


def test_rejection_without_hosts_announces_no_retry_delay() -> None:
    balancer = Balancer(Settings(routes=routes(1)), 1)
    assert Reject(1) in balancer.handle(
        5, [RequestArrived(1, 0, 6), EndpointUpdate(UpdateKind.FULL, ())]
    ) + (balancer.handle(7_000, [TimerFired(1)]))
