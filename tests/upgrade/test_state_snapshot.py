"""State snapshots: a balancer restored from one makes the same decisions on the same events."""

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
from tests.balancing.helpers import settings as make_settings
from tests.balancing.test_property import World

NAMES = Names(("acme", "zeta"), ("two-core", "three-core"))


def restored(balancer: Balancer, seed: int, work: bool = True) -> Balancer:
    """Return a new balancer that has adopted the encoded and decoded snapshot of `balancer`."""
    encoded = msgspec.msgpack.encode(export(balancer, NAMES, work))
    other = Balancer(balancer.settings, seed)
    assert adopt(other, msgspec.msgpack.decode(encoded, type=StateSnapshot), NAMES) == []
    return other


class RestoredWorld(World):
    """A simulation that restores its balancer every `every` steps, beside one never restored."""

    def __init__(self, seed: int, parallel: bool, every: int) -> None:
        super().__init__(seed, parallel, 6_000_000, 0.3)
        self.reference = Balancer(self.told, seed)
        self.every, self.steps = every, 0
        self.compared: list[tuple[list[Action], list[Action]]] = []

    def step(self, events: list[Event]) -> None:
        self.steps += 1
        if self.steps % self.every == 0:
            self.balancer = restored(self.balancer, self.steps)
        handle = self.balancer.handle

        def handle_in_both(now_us: int, new_events: list[Event]) -> list[Action]:
            actions = handle(now_us, list(new_events))
            self.compared.append(
                (list(actions), list(self.reference.handle(now_us, list(new_events))))
            )
            return actions

        self.balancer.handle = handle_in_both  # type: ignore[assignment, method-assign]
        try:
            super().step(events)
        finally:
            del self.balancer.handle


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10_000), st.booleans(), st.integers(1, 60))
def test_restored_balancer_makes_same_decisions(seed: int, parallel: bool, every: int) -> None:
    """A snapshot that misses part of the state would lead to other decisions after a restore."""
    world = RestoredWorld(seed, parallel, every)
    world.play(400)
    assert len(world.compared) > 100
    for after_restore, reference in world.compared:
        assert after_restore == reference


def test_ages_and_ejections_survive_restore() -> None:
    """Neither an ejection nor the age of learned state may be lost in a new process."""
    driver = BalancerDriver(make_settings(route()))
    driver.warm_up(60)
    bad = next(iter(driver.balancer.hosts))
    for _ in range(200):
        request = driver.arrive()
        driver.pass_time(10_000)
        if request in driver.sends:
            server = driver.sends[request][-1]
            driver.done(request, Outcome.ERROR if server == bad else Outcome.SUCCESS)
    before = driver.balancer
    after = restored(before, 99, work=False)
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


def test_attempts_of_open_requests_reported_without_double_counting() -> None:
    """Open requests stay with their process; the other counts their attempts as a sibling's only.

    Counting them as its own and reporting them back would occupy permits twice.
    """
    driver = BalancerDriver(make_settings(route()))
    requests = [driver.arrive() for _ in range(3)]
    before = driver.balancer
    tokens = before.routes[0].retry_budget.tokens
    halve_retry_budgets(before)
    after = restored(before, 1, work=False)
    assert not after.requests and all(s.in_flight == 0 for s in after.hosts.values())
    assert after.routes[0].retry_budget.tokens == tokens / 2 == before.routes[0].retry_budget.tokens
    reported = attempts_in_flight(before)
    assert sum(count for count, _ in reported.values()) == 3
    after.handle(driver.now, [SiblingAttempts(reported)])
    assert {n: s.in_flight for n, s in after.hosts.items() if s.in_flight} == {
        n: count for n, (count, _) in reported.items()
    }
    assert attempts_in_flight(after) == {}  # the sibling's are not reported back
    for request in requests:
        driver.done(request, Outcome.SUCCESS)
    after.handle(driver.now, [SiblingAttempts(attempts_in_flight(before))])
    assert all(s.in_flight == s.overdue == 0 for s in after.hosts.values())


def test_subset_limit_survives_restore_and_counts_sibling_attempts() -> None:
    """With subsetting, two processes together must not send more than the limit of one gateway."""
    driver = BalancerDriver(make_settings(route(), gateway_count=40, gateway_index=3), hosts=60)
    while driver.arrive() in driver.sends:
        pass
    before = driver.balancer
    with_work = restored(before, 1)
    assert (with_work.concurrency_limit, with_work.in_flight) == (
        before.concurrency_limit,
        before.in_flight,
    )
    after = restored(before, 1, work=False)
    actions = after.handle(
        driver.now,
        [
            SiblingAttempts(attempts_in_flight(before)),
            RequestArrived(10**6, 0, driver.now + 900_000),
        ],
    )
    assert not any(isinstance(a, SendAttempt) for a in actions)


def test_sibling_attempts_take_permits_of_host() -> None:
    """A host that is full with the sibling's attempts must get none until they end."""
    driver = BalancerDriver(make_settings(route()), hosts=1)
    limit = int(driver.balancer.concurrency_limit)
    driver.feed(SiblingAttempts({100: (limit, 0)}))
    assert driver.arrive() not in driver.sends
    assert any(isinstance(a, SendAttempt) for a in driver.feed(SiblingAttempts({100: (0, 0)})))


def test_slow_start_slots_used_by_owner_only() -> None:
    """Two processes that both use the slots would send a cold host twice its load."""
    balancer_settings = make_settings(
        route(),
        warm_up_us=5_000_000,
        initial_capacity=0.5,
        overload_multiple=3.0,
        overload_window_us=1_000_000,
    )
    # The host starts after the balancer, so that its slots belong to this gateway.
    driver = BalancerDriver(balancer_settings, [Endpoint(100, started_us=1_000_000)])
    driver.feed(SiblingAttempts({}, owns_slow_start=False))
    assert driver.arrive(work_estimate_us=5_000) not in driver.sends
    assert any(
        isinstance(a, SendAttempt) for a in driver.feed(SiblingAttempts({}, owns_slow_start=True))
    )


def test_newer_endpoint_list_kept_on_adoption() -> None:
    """A snapshot must not undo a drain, a restart or a removal that the new process knows of."""
    driver = BalancerDriver(make_settings(route()), [Endpoint(n) for n in (1, 2, 3, 4)])
    driver.warm_up(80)
    snapshot = export(driver.balancer, NAMES)
    other = Balancer(driver.told, 5)
    listed = (Endpoint(1), Endpoint(2, EndpointStatus.DRAINING), Endpoint(3, started_us=7))
    other.handle(driver.now, [EndpointUpdate(UpdateKind.FULL, listed)])
    assert adopt(other, snapshot, NAMES) == [
        "2 servers: not in the list held"
    ]  # 3 restarted, 4 is gone
    assert {s.endpoint.id for s in other.candidates} == {1, 3}
    assert other.hosts[1].payoff == driver.balancer.hosts[1].payoff
    assert other.hosts[3].heard_us == 0


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (
            {"version": VERSION + 1},
            f"state snapshot of version {VERSION + 1}: read as version {VERSION}",
        ),
        ({"quotas": {"nobody": (1.0, 0)}}, "tenant 'nobody': not configured"),
    ],
)
def test_snapshot_of_other_version_adopted(change: dict[str, object], expected: str) -> None:
    """Unknown and missing fields must not prevent the adoption of the others."""
    driver = BalancerDriver(make_settings(route(), tenant_quotas_per_s=(5.0, 5.0)))
    driver.warm_up(20)
    snapshot = msgspec.structs.replace(export(driver.balancer, NAMES), **change)
    document = msgspec.json.decode(msgspec.json.encode(snapshot)) | {"invented later": [1, 2, 3]}
    for missing in ("random", "crowding", "paces"):
        document.pop(missing, None)
    other = Balancer(driver.told, 5)
    assert adopt(other, msgspec.convert(document, StateSnapshot), NAMES) == [expected]
    assert other.routes[0].samples == driver.balancer.routes[0].samples
