"""The cross-zone budget: alone, and in the balancer."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.balancing.actions import LogMessage, Reject, SendAttempt
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, Outcome, UpdateKind
from quillroad.balancing.settings import DeduplicationScope, Idempotency
from quillroad.balancing.zone_routing import (
    FREE_CROSS_ZONE_ATTEMPTS,
    CrossZoneBudget,
    CrossZoneLimits,
    CrossZoneReason,
    RouteAllowance,
)
from tests.balancing.helpers import BalancerDriver, route, settings

SPENDS, REFUSES = RouteAllowance(), RouteAllowance(spends=False, keep=0.5)
LOCAL, REMOTE = 0, 1


def budget(share: float = 0.1, *classes: RouteAllowance, **changes: float) -> CrossZoneLimits:
    return CrossZoneLimits(
        share, classes or (SPENDS, REFUSES), window_us=1_000_000, hold_us=100_000, **changes
    )


steps = st.lists(
    st.tuples(
        st.integers(0, 30_000),  # microseconds since the step before
        st.sampled_from(["first", "cross", "cross", "look"]),
        st.integers(0, 1),
        st.sampled_from(list(CrossZoneReason)),
        st.integers(0, 4),
    ),
    max_size=300,
)


@given(steps, st.floats(0.0, 1.0), st.sampled_from([0.0, 5.0]))
def test_attempts_within_the_budget_never_exceed_it(
    told: list[tuple[int, str, int, CrossZoneReason, int]], share: float, per_s: float
) -> None:
    crossing = CrossZoneBudget(budget(share, per_s=per_s))
    now, firsts, within, told_past, lost = 1, [], [], 0, False
    for after, what, number, why, well in told:
        now += after
        if what == "first":
            crossing.note_first_attempt(now)
            firsts.append(now)
        elif what == "look":
            crossing.update_local_zone(now, well, 4)
            lost = crossing.local_zone_lost
            assert lost or well >= 2
        elif crossing.allows(now, number, why):
            past = crossing.counts[number].over_budget
            crossing.spend(now, number, why)
            if crossing.counts[number].over_budget == past:
                within.append(now)
            else:  # only where the zone is lost and the route may spend, or the retry is bound
                told_past += 1
                assert why is CrossZoneReason.BOUND or (
                    lost and number == 0 and why is not CrossZoneReason.COPY
                )
        fade = [sum(math.exp((at - now) / 1e6) for at in times) for times in (firsts, within)]
        most = share * fade[0] + FREE_CROSS_ZONE_ATTEMPTS if share else 0.0
        # First sends and crossings fade as fast, so what was within stays within.
        assert fade[1] <= (min(most, per_s) if per_s else most) + 1e-6
    assert sum(s.over_budget for s in crossing.counts) == told_past
    assert sum(s.total for s in crossing.counts) == told_past + len(within)
    assert crossing.used(now + 60_000_000) < 1e-6  # all of it comes back


def test_a_route_leaves_its_reserve_and_hedges_leave_half() -> None:
    crossing = CrossZoneBudget(budget(0.1))
    for _ in range(1000):
        crossing.note_first_attempt(1)
    taken = {}
    for number, why in (
        (1, CrossZoneReason.SPILL),
        (0, CrossZoneReason.COPY),
        (0, CrossZoneReason.SPILL),
    ):
        taken[number, why] = 0
        while crossing.allows(1, number, why):
            crossing.spend(1, number, why)
            taken[number, why] += 1
    assert list(taken.values()) == [51, 0, 52]  # of 103
    assert crossing.wait_us(1, 0) > 0 and crossing.wait_us(1, 1) > crossing.wait_us(1, 0)


def test_the_next_attempt_is_allowed_after_the_wait() -> None:
    crossing = CrossZoneBudget(budget(0.0, REFUSES, per_s=10.0))
    assert crossing.wait_us(1, 0) == math.inf  # no share at all
    crossing = CrossZoneBudget(CrossZoneLimits(1.0, (REFUSES,), window_us=1_000_000, per_s=20.0))
    for _ in range(100):
        crossing.note_first_attempt(1)
    while crossing.allows(1, 0, CrossZoneReason.SPILL):
        crossing.spend(1, 0, CrossZoneReason.SPILL)
    wait = int(crossing.wait_us(1, 0))
    assert not crossing.allows(wait - 1000, 0, CrossZoneReason.SPILL)
    assert crossing.allows(wait + 10, 0, CrossZoneReason.SPILL)


def test_bytes_are_limited_to_their_rate() -> None:
    crossing = CrossZoneBudget(budget(1.0, SPENDS, bytes_per_s=1000.0))
    crossing.note_first_attempt(1)
    assert crossing.allows(1, 0, CrossZoneReason.SPILL)
    crossing.note_bytes(1, 5000)
    assert not crossing.allows(1, 0, CrossZoneReason.SPILL) and crossing.allows(
        1, 0, CrossZoneReason.BOUND
    )
    assert crossing.used(1) == pytest.approx(5.0)
    assert not crossing.allows(1_500_000, 0, CrossZoneReason.SPILL) and crossing.allows(
        1_700_000, 0, CrossZoneReason.SPILL
    )


def test_a_lost_zone_stays_lost_for_the_hold_time_and_each_change_is_logged_once() -> None:
    crossing = CrossZoneBudget(budget())
    lines = [
        crossing.update_local_zone(at * 50_000, well, 4)
        for at, well in enumerate((4, 2, 1, 0, 4, 4, 4), 1)
    ]
    assert lines == ["", "", "zone lost: well=1 of=4", "", "", "zone regained: well=4 of=4", ""]
    assert crossing.update_local_zone(1_000_000, 0, 0).startswith(
        "zone lost"
    )  # no host at all is lost, too


def balancer_with(
    *classes: RouteAllowance, share: float = 0.05
) -> tuple[BalancerDriver, CrossZoneBudget]:
    """A balancer with four local and four remote hosts, and a route for each allowance."""
    crossing = CrossZoneBudget(budget(share, *classes))
    routes = [route(priority_weight=1.0 + i) for i in range(len(classes))]
    listed = [Endpoint(100 + i, zone=i % 2) for i in range(8)]
    return BalancerDriver(settings(*routes, max_attempts=4), listed, crossing=crossing), crossing


def zones_of(stage: BalancerDriver) -> list[int]:
    return [action.endpoint % 2 for action in stage.log if isinstance(action, SendAttempt)]


def test_nothing_leaves_a_zone_with_free_capacity() -> None:
    stage, crossing = balancer_with(SPENDS)
    for _ in range(300):
        number = stage.arrive()
        stage.pass_time(2_000)
        stage.done(number, Outcome.SUCCESS)
    assert set(zones_of(stage)) == {LOCAL} and crossing.counts[0].total == 0


def test_a_full_zone_spills_within_the_budget_and_the_rest_is_queued() -> None:
    stage, crossing = balancer_with(REFUSES, share=0.0)
    for _ in range(100):
        stage.arrive()
    assert set(zones_of(stage)) == {LOCAL} and stage.balancer.queued > 0
    stage, crossing = balancer_with(REFUSES, share=0.5)
    for _ in range(100):
        stage.arrive()
    assert 0 < zones_of(stage).count(REMOTE) == crossing.counts[0].by_reason[CrossZoneReason.SPILL]
    assert crossing.counts[0].over_budget == 0


@pytest.mark.parametrize("how", ["drained", "gone"])
def test_with_the_local_zone_lost_each_route_spends_or_rejects_by_its_settings(how: str) -> None:
    """All local hosts drain or are removed, and only the remote zone is healthy.

    The route that may spend goes past the budget with each request; the other one's requests are
    rejected at once, since a wait for a zone that is lost only costs the client its deadline.
    """
    stage, crossing = balancer_with(SPENDS, RouteAllowance(spends=False), share=0.0)
    state = EndpointStatus.DRAINING if how == "drained" else EndpointStatus.REMOVED
    stage.feed(
        EndpointUpdate(
            UpdateKind.INCREMENTAL, tuple(Endpoint(100 + i, state) for i in range(0, 8, 2))
        )
    )
    for _ in range(20):
        number = stage.arrive(0)
        stage.arrive(1)
        stage.pass_time(2_000)
        stage.done(number, Outcome.SUCCESS)
    refusals = [action for action in stage.log if isinstance(action, Reject)]
    assert (zones_of(stage).count(REMOTE), len(refusals)) == (20, 20)
    assert (crossing.counts[0].over_budget, crossing.counts[1].rejected) == (20, 20)
    assert stage.balancer.queued == 0
    told = [action.text for action in stage.log if isinstance(action, LogMessage)]
    assert told[0].startswith("zone lost: well=0") and told[1].startswith(
        "zone budget passed: lost"
    )


def test_a_retry_bound_to_the_remote_zone_ignores_the_budget() -> None:
    crossing = CrossZoneBudget(budget(0.0, SPENDS))
    told = settings(
        route(Idempotency.KEYED, deduplication_scope=DeduplicationScope.ZONE), max_attempts=4
    )
    listed = [
        Endpoint(100, EndpointStatus.DRAINING, LOCAL),
        Endpoint(101, zone=REMOTE),
        Endpoint(103, zone=REMOTE),
    ]
    stage = BalancerDriver(told, listed, crossing=crossing)
    number = stage.arrive()
    stage.feed(
        EndpointUpdate(UpdateKind.INCREMENTAL, (Endpoint(100, zone=LOCAL),))
    )  # the local host is back, but may not get the retry
    stage.balancer.routes[0].retry_budget.tokens = 5.0
    stage.done(number, Outcome.ERROR)
    stage.pass_time(100_000)
    assert [server % 2 for server in stage.sends[number]] == [REMOTE, REMOTE]
    assert crossing.counts[0].by_reason[CrossZoneReason.BOUND] == 1
