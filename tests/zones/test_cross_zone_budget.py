"""The cross-zone budget by itself and in the balancer."""

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


def make_limits(share: float = 0.1, *classes: RouteAllowance, **changes: float) -> CrossZoneLimits:
    return CrossZoneLimits(
        share, classes or (SPENDS, REFUSES), window_us=1_000_000, hold_us=100_000, **changes
    )


step_lists = st.lists(
    st.tuples(
        st.integers(0, 30_000),  # microseconds since the previous step
        st.sampled_from(["first", "cross", "cross", "look"]),
        st.integers(0, 1),
        st.sampled_from(list(CrossZoneReason)),
        st.integers(0, 4),
    ),
    max_size=300,
)


@given(step_lists, st.floats(0.0, 1.0), st.sampled_from([0.0, 5.0]))
def test_attempts_counted_within_the_budget_never_exceed_it(
    steps: list[tuple[int, str, int, CrossZoneReason, int]], share: float, per_s: float
) -> None:
    cross_zone_budget = CrossZoneBudget(make_limits(share, per_s=per_s))
    now, first_attempt_times, within_budget_times, over_budget_attempts, lost = 1, [], [], 0, False
    for elapsed_us, step_kind, route_number, reason, healthy_hosts in steps:
        now += elapsed_us
        if step_kind == "first":
            cross_zone_budget.note_first_attempt(now)
            first_attempt_times.append(now)
        elif step_kind == "look":
            cross_zone_budget.update_local_zone(now, healthy_hosts, 4)
            lost = cross_zone_budget.local_zone_lost
            assert lost or healthy_hosts >= 2
        elif cross_zone_budget.allows(now, route_number, reason):
            over_budget_before = cross_zone_budget.counts[route_number].over_budget
            cross_zone_budget.spend(now, route_number, reason)
            if cross_zone_budget.counts[route_number].over_budget == over_budget_before:
                within_budget_times.append(now)
            else:  # only allowed if the zone is lost and the route may spend, or for a bound retry
                over_budget_attempts += 1
                assert reason is CrossZoneReason.BOUND or (
                    lost and route_number == 0 and reason is not CrossZoneReason.COPY
                )
        decayed_counts = [
            sum(math.exp((at - now) / 1e6) for at in times)
            for times in (first_attempt_times, within_budget_times)
        ]
        max_cross_zone_attempts = (
            share * decayed_counts[0] + FREE_CROSS_ZONE_ATTEMPTS if share else 0.0
        )
        # Both counts decay at the same rate, so attempts within the budget stay within it.
        assert (
            decayed_counts[1]
            <= (min(max_cross_zone_attempts, per_s) if per_s else max_cross_zone_attempts) + 1e-6
        )
    assert sum(s.over_budget for s in cross_zone_budget.counts) == over_budget_attempts
    assert sum(s.total for s in cross_zone_budget.counts) == over_budget_attempts + len(
        within_budget_times
    )
    # The whole budget is available again.
    assert cross_zone_budget.used(now + 60_000_000) < 1e-6


def test_route_leaves_its_reserve_and_hedges_leave_half_of_the_budget() -> None:
    cross_zone_budget = CrossZoneBudget(make_limits(0.1))
    for _ in range(1000):
        cross_zone_budget.note_first_attempt(1)
    allowed_attempts = {}
    for route_number, reason in (
        (1, CrossZoneReason.SPILL),
        (0, CrossZoneReason.COPY),
        (0, CrossZoneReason.SPILL),
    ):
        allowed_attempts[route_number, reason] = 0
        while cross_zone_budget.allows(1, route_number, reason):
            cross_zone_budget.spend(1, route_number, reason)
            allowed_attempts[route_number, reason] += 1
    assert list(allowed_attempts.values()) == [51, 0, 52]  # the budget allows 103 attempts
    assert cross_zone_budget.wait_us(1, 0) > 0 and cross_zone_budget.wait_us(
        1, 1
    ) > cross_zone_budget.wait_us(1, 0)


def test_the_next_attempt_is_allowed_after_the_wait() -> None:
    cross_zone_budget = CrossZoneBudget(make_limits(0.0, REFUSES, per_s=10.0))
    assert cross_zone_budget.wait_us(1, 0) == math.inf  # the share is 0
    cross_zone_budget = CrossZoneBudget(
        CrossZoneLimits(1.0, (REFUSES,), window_us=1_000_000, per_s=20.0)
    )
    for _ in range(100):
        cross_zone_budget.note_first_attempt(1)
    while cross_zone_budget.allows(1, 0, CrossZoneReason.SPILL):
        cross_zone_budget.spend(1, 0, CrossZoneReason.SPILL)
    wait = int(cross_zone_budget.wait_us(1, 0))
    assert not cross_zone_budget.allows(wait - 1000, 0, CrossZoneReason.SPILL)
    assert cross_zone_budget.allows(wait + 10, 0, CrossZoneReason.SPILL)


def test_bytes_are_limited_to_their_rate() -> None:
    cross_zone_budget = CrossZoneBudget(make_limits(1.0, SPENDS, bytes_per_s=1000.0))
    cross_zone_budget.note_first_attempt(1)
    assert cross_zone_budget.allows(1, 0, CrossZoneReason.SPILL)
    cross_zone_budget.note_bytes(1, 5000)
    assert not cross_zone_budget.allows(1, 0, CrossZoneReason.SPILL) and cross_zone_budget.allows(
        1, 0, CrossZoneReason.BOUND
    )
    assert cross_zone_budget.used(1) == pytest.approx(5.0)
    assert not cross_zone_budget.allows(
        1_500_000, 0, CrossZoneReason.SPILL
    ) and cross_zone_budget.allows(1_700_000, 0, CrossZoneReason.SPILL)


def test_lost_zone_stays_lost_for_the_hold_time_and_changes_are_logged_once() -> None:
    cross_zone_budget = CrossZoneBudget(make_limits())
    lines = [
        cross_zone_budget.update_local_zone(at * 50_000, healthy_hosts, 4)
        for at, healthy_hosts in enumerate((4, 2, 1, 0, 4, 4, 4), 1)
    ]
    assert lines == ["", "", "zone lost: well=1 of=4", "", "", "zone regained: well=4 of=4", ""]
    # A zone without hosts is lost, too.
    assert cross_zone_budget.update_local_zone(1_000_000, 0, 0).startswith("zone lost")


def balancer_with(
    *classes: RouteAllowance, share: float = 0.05
) -> tuple[BalancerDriver, CrossZoneBudget]:
    """Return a balancer with four local and four remote hosts and a route for each allowance."""
    cross_zone_budget = CrossZoneBudget(make_limits(share, *classes))
    routes = [route(priority_weight=1.0 + i) for i in range(len(classes))]
    endpoints = [Endpoint(100 + i, zone=i % 2) for i in range(8)]
    return BalancerDriver(
        settings(*routes, max_attempts=4), endpoints, crossing=cross_zone_budget
    ), cross_zone_budget


def zones_of(driver: BalancerDriver) -> list[int]:
    return [action.endpoint % 2 for action in driver.log if isinstance(action, SendAttempt)]


def test_no_attempt_leaves_a_zone_with_free_capacity() -> None:
    driver, cross_zone_budget = balancer_with(SPENDS)
    for _ in range(300):
        request_number = driver.arrive()
        driver.pass_time(2_000)
        driver.done(request_number, Outcome.SUCCESS)
    assert set(zones_of(driver)) == {LOCAL} and cross_zone_budget.counts[0].total == 0


def test_full_zone_spills_within_the_budget_and_queues_the_rest() -> None:
    driver, cross_zone_budget = balancer_with(REFUSES, share=0.0)
    for _ in range(100):
        driver.arrive()
    assert set(zones_of(driver)) == {LOCAL} and driver.balancer.queued > 0
    driver, cross_zone_budget = balancer_with(REFUSES, share=0.5)
    for _ in range(100):
        driver.arrive()
    assert (
        0
        < zones_of(driver).count(REMOTE)
        == cross_zone_budget.counts[0].by_reason[CrossZoneReason.SPILL]
    )
    assert cross_zone_budget.counts[0].over_budget == 0


@pytest.mark.parametrize("outage", ["drained", "gone"])
def test_lost_local_zone_makes_each_route_spend_or_reject_by_its_settings(outage: str) -> None:
    """All local hosts are draining or removed, and only the remote zone is healthy.

    Each request of the route that may spend exceeds the budget. Requests of the other route must be
    rejected immediately: queued for a lost zone, they would only run into the client's deadline.
    """
    driver, cross_zone_budget = balancer_with(SPENDS, RouteAllowance(spends=False), share=0.0)
    status = EndpointStatus.DRAINING if outage == "drained" else EndpointStatus.REMOVED
    driver.feed(
        EndpointUpdate(
            UpdateKind.INCREMENTAL, tuple(Endpoint(100 + i, status) for i in range(0, 8, 2))
        )
    )
    for _ in range(20):
        request_number = driver.arrive(0)
        driver.arrive(1)
        driver.pass_time(2_000)
        driver.done(request_number, Outcome.SUCCESS)
    rejects = [action for action in driver.log if isinstance(action, Reject)]
    assert (zones_of(driver).count(REMOTE), len(rejects)) == (20, 20)
    assert (cross_zone_budget.counts[0].over_budget, cross_zone_budget.counts[1].rejected) == (
        20,
        20,
    )
    assert driver.balancer.queued == 0
    log_texts = [action.text for action in driver.log if isinstance(action, LogMessage)]
    assert log_texts[0].startswith("zone lost: well=0") and log_texts[1].startswith(
        "zone budget passed: lost"
    )


def test_retry_bound_to_the_remote_zone_ignores_the_budget() -> None:
    cross_zone_budget = CrossZoneBudget(make_limits(0.0, SPENDS))
    balancer_settings = settings(
        route(Idempotency.KEYED, deduplication_scope=DeduplicationScope.ZONE), max_attempts=4
    )
    endpoints = [
        Endpoint(100, EndpointStatus.DRAINING, LOCAL),
        Endpoint(101, zone=REMOTE),
        Endpoint(103, zone=REMOTE),
    ]
    driver = BalancerDriver(balancer_settings, endpoints, crossing=cross_zone_budget)
    request_number = driver.arrive()
    # The local host is up again, but must not get the retry: its zone cannot deduplicate it.
    driver.feed(EndpointUpdate(UpdateKind.INCREMENTAL, (Endpoint(100, zone=LOCAL),)))
    driver.balancer.routes[0].retry_budget.tokens = 5.0
    driver.done(request_number, Outcome.ERROR)
    driver.pass_time(100_000)
    assert [endpoint_id % 2 for endpoint_id in driver.sends[request_number]] == [REMOTE, REMOTE]
    assert cross_zone_budget.counts[0].by_reason[CrossZoneReason.BOUND] == 1
