"""What the module knows, moved at any point: the same events bring the same decisions."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillroad.balancing.actions import Action, SendAttempt
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import (
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    SiblingAttempts,
    UpdateKind,
)
from quillroad.upgrade.state_snapshot import (
    VERSION,
    Names,
    StateSnapshot,
    adopt,
    attempts_in_flight,
    export,
    halve_retry_budgets,
)
from tests.balancing.helpers import BalancerDriver, route
from tests.balancing.helpers import settings as told_settings
from tests.balancing.test_property import World

NAMES = Names(("acme", "zeta"), ("two-core", "three-core"))


def moved(balancer: Balancer, seed: int, work: bool = True) -> Balancer:
    """The same balancer in another process: out, over the wire, and in."""
    wire = msgspec.msgpack.encode(export(balancer, NAMES, work))
    other = Balancer(balancer.settings, seed)
    assert adopt(other, msgspec.msgpack.decode(wire, type=StateSnapshot), NAMES) == []
    return other


class Twice(World):
    """A history in which the balancer is moved after each so many steps, beside one that is not."""

    def __init__(self, seed: int, parallel: bool, every: int) -> None:
        super().__init__(seed, parallel, 6_000_000, 0.3)
        self.kept = Balancer(self.told, seed)
        self.every, self.steps = every, 0
        self.compared: list[tuple[list[Action], list[Action]]] = []

    def step(self, events: list[Event]) -> None:
        self.steps += 1
        if self.steps % self.every == 0:
            self.balancer = moved(self.balancer, self.steps)
        handle = self.balancer.handle

        def both(now_us: int, told: list[Event]) -> list[Action]:
            actions = handle(now_us, list(told))
            self.compared.append((list(actions), list(self.kept.handle(now_us, list(told)))))
            return actions

        self.balancer.handle = both  # type: ignore[assignment, method-assign]
        try:
            super().step(events)
        finally:
            del self.balancer.handle


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10_000), st.booleans(), st.integers(1, 60))
def test_a_history_split_at_any_point_brings_the_same_decisions(
    seed: int, parallel: bool, every: int
) -> None:
    history = Twice(seed, parallel, every)
    history.play(400)
    assert len(history.compared) > 100
    for after_move, kept in history.compared:
        assert after_move == kept


def test_nothing_is_younger_or_healthier_after_the_move() -> None:
    driver = BalancerDriver(told_settings(route()))
    driver.warm_up(60)
    bad = next(iter(driver.balancer.hosts))
    for _ in range(200):
        request = driver.arrive()
        driver.pass_time(10_000)
        if request in driver.sends:
            server = driver.sends[request][-1]
            driver.done(request, Outcome.ERROR if server == bad else Outcome.SUCCESS)
    before = driver.balancer
    after = moved(before, 99, work=False)
    assert {
        n: (s.payoff, s.heard_us, s.ejections, s.ejected_until_us) for n, s in after.hosts.items()
    } == {
        n: (s.payoff, s.heard_us, s.ejections, s.ejected_until_us) for n, s in before.hosts.items()
    }
    assert before.hosts[bad].ejections > 0
    assert after.routes[0].latency.ordered == before.routes[0].latency.ordered
    assert (after.concurrency_limit, after.admitted_ratio, after.recent_requests) == (
        before.concurrency_limit,
        before.admitted_ratio,
        before.recent_requests,
    )


def test_open_work_stays_and_its_places_are_told_apart() -> None:
    driver = BalancerDriver(told_settings(route()))
    requests = [driver.arrive() for _ in range(3)]
    before = driver.balancer
    tokens = before.routes[0].retry_budget.tokens
    halve_retry_budgets(before)
    after = moved(before, 1, work=False)
    assert not after.requests and all(s.in_flight == 0 for s in after.hosts.values())
    assert after.routes[0].retry_budget.tokens == tokens / 2 == before.routes[0].retry_budget.tokens
    told = attempts_in_flight(before)
    assert sum(out for out, _ in told.values()) == 3
    after.handle(driver.now, [SiblingAttempts(told)])
    assert {n: s.in_flight for n, s in after.hosts.items() if s.in_flight} == {
        n: out for n, (out, _) in told.items()
    }
    assert attempts_in_flight(after) == {}  # the other's are not told back
    for request in requests:
        driver.done(request, Outcome.SUCCESS)
    after.handle(driver.now, [SiblingAttempts(attempts_in_flight(before))])
    assert all(s.in_flight == s.overdue == 0 for s in after.hosts.values())


def test_a_window_stays_one_after_the_move_and_is_full_for_both() -> None:
    driver = BalancerDriver(told_settings(route(), gateway_count=40, gateway_index=3), hosts=60)
    while driver.arrive() in driver.sends:
        pass
    before = driver.balancer
    whole = moved(before, 1)
    assert (whole.concurrency_limit, whole.in_flight) == (
        before.concurrency_limit,
        before.in_flight,
    )
    after = moved(before, 1, work=False)
    actions = after.handle(
        driver.now,
        [
            SiblingAttempts(attempts_in_flight(before)),
            RequestArrived(10**6, 0, driver.now + 900_000),
        ],
    )
    assert not any(isinstance(a, SendAttempt) for a in actions)


def test_a_full_server_is_full_for_both() -> None:
    driver = BalancerDriver(told_settings(route()), hosts=1)
    limit = int(driver.balancer.concurrency_limit)
    driver.feed(SiblingAttempts({100: (limit, 0)}))
    assert driver.arrive() not in driver.sends
    assert any(isinstance(a, SendAttempt) for a in driver.feed(SiblingAttempts({100: (0, 0)})))


def test_turns_at_a_cold_server_belong_to_one_process() -> None:
    told = told_settings(
        route(),
        warm_up_us=5_000_000,
        initial_capacity=0.5,
        overload_multiple=3.0,
        overload_window_us=1_000_000,
    )
    driver = BalancerDriver(
        told, [Endpoint(100, started_us=1_000_000)]
    )  # not before the balancer: the turn is its own
    driver.feed(SiblingAttempts({}, owns_slow_start=False))
    assert driver.arrive(work_estimate_us=5_000) not in driver.sends
    assert any(
        isinstance(a, SendAttempt) for a in driver.feed(SiblingAttempts({}, owns_slow_start=True))
    )


def test_a_list_that_changed_meanwhile_stands() -> None:
    """A drain, a restart and a removal that the taker heard of itself are not undone."""
    driver = BalancerDriver(told_settings(route()), [Endpoint(n) for n in (1, 2, 3, 4)])
    driver.warm_up(80)
    known = export(driver.balancer, NAMES)
    other = Balancer(driver.told, 5)
    listed = (Endpoint(1), Endpoint(2, EndpointStatus.DRAINING), Endpoint(3, started_us=7))
    other.handle(driver.now, [EndpointUpdate(UpdateKind.FULL, listed)])
    assert adopt(other, known, NAMES) == [
        "2 servers: not in the list held"
    ]  # 3 restarted, 4 is gone
    assert {s.endpoint.id for s in other.candidates} == {1, 3}
    assert other.hosts[1].payoff == driver.balancer.hosts[1].payoff
    assert other.hosts[3].heard_us == 0


@pytest.mark.parametrize(
    ("change", "left"),
    [
        (
            {"version": VERSION + 1},
            f"knowledge of version {VERSION + 1}: read as version {VERSION}",
        ),
        ({"quotas": {"nobody": (1.0, 0)}}, "tenant 'nobody': not configured"),
    ],
)
def test_another_version_is_taken_as_far_as_it_goes(change: dict[str, object], left: str) -> None:
    driver = BalancerDriver(told_settings(route(), tenant_quotas_per_s=(5.0, 5.0)))
    driver.warm_up(20)
    known = msgspec.structs.replace(export(driver.balancer, NAMES), **change)
    wire = msgspec.json.decode(msgspec.json.encode(known)) | {"invented later": [1, 2, 3]}
    for missing in ("random", "crowding", "paces"):
        wire.pop(missing, None)
    other = Balancer(driver.told, 5)
    assert adopt(other, msgspec.convert(wire, StateSnapshot), NAMES) == [left]
    assert other.routes[0].samples == driver.balancer.routes[0].samples
