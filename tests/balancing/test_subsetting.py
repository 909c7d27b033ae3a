"""Subsets of hosts, and the permits of a gateway."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.balancing.concurrency_limit import (
    FEW_GATEWAYS_LIMIT,
    MANY_GATEWAYS_LIMIT,
)
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    Outcome,
)
from quillroad.balancing.subsetting import (
    MAX_PERMITS_PER_HOST,
    MIN_PERMITS,
    MIN_SUBSET_HOSTS,
    note_congestion,
    permits,
    update_subset,
)
from tests.balancing.helpers import (
    STARTED,
    BalancerDriver,
    burst_in_flight,
    gateway_of_40,
    one_of_many,
    settings,
    three_zones,
    warm_gateway_of_200,
)


def test_gateway_with_little_traffic_uses_only_its_subset() -> None:
    """Gateways with little traffic know nothing of most hosts: without subsets 66 of them
    overloaded three hosts."""
    hosts_used: list[set[int]] = []
    for number in (0, 200):
        driver = BalancerDriver(one_of_many(gateway_index=number), three_zones())
        for _ in range(100):
            request = driver.arrive()
            driver.pass_time(150_000)
            driver.done(request, Outcome.SUCCESS, 10_000)
        hosts_used.append({host for sent in driver.sends.values() for host in sent})
    assert all(len(hosts) <= 16 for hosts in hosts_used)
    assert not hosts_used[0] & hosts_used[1]


def test_subsets_cover_the_hosts_evenly() -> None:
    counts: Counter[int] = Counter()
    for number in range(120):
        balancer = BalancerDriver(
            one_of_many(gateway_count=120, gateway_index=number), three_zones()
        ).balancer
        counts.update(member.endpoint.id for member in update_subset(balancer) or [])
    assert len(counts) == 60 and max(counts.values()) == min(counts.values())


def test_gateway_with_all_the_traffic_draws_from_all_hosts() -> None:
    driver = BalancerDriver(one_of_many(), three_zones())
    for _ in range(5000):
        driver.arrive()
        driver.pass_time(250)
    assert update_subset(driver.balancer) is None
    assert driver.balancer.permits_per_host > 1.0  # more than one permit at each host


@given(st.integers(4, 80), st.integers(3, 60), st.data())
def test_attempts_of_many_gateways_stay_within_the_limit_of_the_hosts(
    hosts: int, gateway_total: int, data: st.DataObject
) -> None:
    """Without subsets forty gateways, each with one request at every host, had 600 requests in
    flight at sixty hosts that can handle 180."""
    bad = data.draw(st.sets(st.integers(0, hosts - 1), max_size=hosts // 4))
    total_in_flight: Counter[int] = Counter()
    for number in range(gateway_total):
        driver = BalancerDriver(settings(gateway_count=gateway_total, gateway_index=number), hosts)
        for candidate in driver.balancer.candidates:
            if candidate.endpoint.id - 100 in bad:
                candidate.ejected_until_us = 10**9
        for _ in range(hosts):  # without answers
            driver.arrive()
        sent_to = [host for sent in driver.sends.values() for host in sent]
        assert sent_to and not {host - 100 for host in sent_to} & bad
        assert (
            len(sent_to) <= driver.balancer.subset_size * driver.balancer.permits_per_host
            or update_subset(driver.balancer) is None
        )
        total_in_flight.update(sent_to)
    max_in_flight = max(
        hosts * MANY_GATEWAYS_LIMIT + gateway_total, gateway_total * MIN_SUBSET_HOSTS
    )
    assert gateway_total <= FEW_GATEWAYS_LIMIT or sum(total_in_flight.values()) <= max_in_flight


@given(st.integers(4, 48))
def test_rounded_permits_of_all_gateways_add_up_to_the_limit(gateway_total: int) -> None:
    """If every gateway rounded its permits up there would be 3.3 per host instead of 3."""
    gateways = [
        settings(gateway_count=gateway_total, gateway_index=number)
        for number in range(gateway_total)
    ]
    subset_sizes = [
        len(update_subset(BalancerDriver(one, 2 * gateway_total).balancer) or ())
        for one in gateways
    ]
    assert abs(sum(subset_sizes) / (2 * gateway_total) - MANY_GATEWAYS_LIMIT) < 0.5
    assert max(subset_sizes) - min(subset_sizes) <= 1


def test_permits_hold_when_a_subset_skips_unhealthy_hosts() -> None:
    """In a large fleet every gateway skipped hosts that it considered unhealthy and had 14 requests
    in flight instead of at most 5."""
    driver = BalancerDriver(one_of_many(gateway_count=40, gateway_index=3), three_zones())
    for _ in range(60):
        driver.arrive()
        for candidate in driver.balancer.candidates:
            if candidate.in_flight:
                candidate.ejected_until_us = driver.now + 10_000_000
    assert len(driver.sends) == driver.balancer.subset_size < 12


def test_subset_contains_no_warming_hosts_while_others_are_warm() -> None:
    """Warming hosts serve only the owner of their slot. When 16 of 55 hosts were warming up, some
    subsets contained little else."""
    hosts = tuple(Endpoint(100 + i, started_us=STARTED if i % 3 == 0 else None) for i in range(60))
    covered: Counter[int] = Counter()
    for number in range(40):
        covered.update(
            member.endpoint.id for member in update_subset(gateway_of_40(number, hosts)) or []
        )
    assert set(covered) == {listed.id for listed in hosts if not listed.started_us}
    assert max(covered.values()) <= 4  # no warm host is in the subsets of too many gateways
    assert (
        len(update_subset(gateway_of_40(3, hosts[::3])) or []) >= MIN_SUBSET_HOSTS
    )  # where every host is warming up


def test_subset_prefers_local_hosts_that_perform_equally_well() -> None:
    """Cross-zone attempts cost part of an answer's value: attempts that the state of the hosts did
    not require cost eight points of the overall result."""
    driver = BalancerDriver(one_of_many(cross_zone_cost=0.1), three_zones())
    for _ in range(80):
        request = driver.arrive()
        driver.pass_time(150_000)
        if request in driver.sends:
            driver.done(request, Outcome.SUCCESS, 10_000)
    zones = Counter((sent[0] - 100) % 3 for sent in list(driver.sends.values())[-60:])
    assert zones[0] > 45


def test_subset_has_more_local_hosts_when_cross_zone_traffic_is_expensive() -> None:
    """Subsets without local hosts lost five points of the overall result to cross-zone costs."""
    expensive, inexpensive = (
        BalancerDriver(one_of_many(cross_zone_cost=cost), three_zones()).balancer
        for cost in (0.3, 0.01)
    )
    local_counts = []
    for balancer in (expensive, inexpensive):
        balancer.recent_requests = 12.0
        balancer.concurrency_limit = 0.2
        subset = update_subset(balancer) or []
        assert len(subset) == len({member.endpoint.id for member in subset}) == 12
        local_counts.append(sum(member.endpoint.zone == 0 for member in subset))
    assert local_counts[0] >= 6 and local_counts[0] > local_counts[1]


def test_slow_answers_reduce_permits_below_the_subset_size() -> None:
    """If the minimum subset of three hosts gave three permits, a fleet that lost a zone would stay
    overloaded: 182 gateways had 9 requests in flight at each of the 83 remaining hosts, latency
    rose from 77 to 448 ms, and 700 of 2,000 requests a second were served."""
    driver = warm_gateway_of_200(150)
    assert burst_in_flight(driver) == 2
    driver.warm_up(12, 60_000)
    assert driver.balancer.permit_quota == 1.0
    assert burst_in_flight(driver) == 1
    driver.warm_up(60)
    assert burst_in_flight(driver) == 2


@pytest.mark.parametrize(("gateway_total", "hosts"), [(32, 12), (200, 119), (200, 48), (40, 60)])
def test_fast_answers_do_not_raise_permits_above_what_hosts_can_handle(
    gateway_total: int, hosts: int
) -> None:
    """The cap must hold before any slow answer shows congestion: 32 gateways with a subset of three
    hosts each had 8 requests in flight at each of 12 hosts."""
    total_in_flight = 0
    for number in range(gateway_total):
        driver = BalancerDriver(
            one_of_many(gateway_count=gateway_total, gateway_index=number), three_zones(hosts)
        )
        driver.warm_up(20)
        driver.pass_time(3_000_000)
        assert driver.balancer.congestion_window == 1.0
        total_in_flight += burst_in_flight(driver)
    # A gateway with less than one permit uses a whole one part of the time: `max(1.0, ...)` in
    # `must_not_start_attempt`.
    assert total_in_flight <= max(gateway_total, (MAX_PERMITS_PER_HOST + 0.5) * hosts)


def test_gateway_with_the_traffic_of_others_also_gets_their_permits() -> None:
    """When seven of ten gateways are gone and the gateway count was not updated, the others must
    not stay limited to their old share: their own traffic raises their permits."""
    driver = BalancerDriver(one_of_many(gateway_count=32, gateway_index=0), three_zones(12))
    for _ in range(4000):  # 500 a second of 10 ms each: nearly five in flight
        driver.arrive()
        driver.pass_time(2_000)
        for waiting in [r for r in driver.balancer.requests.values() if r.in_flight]:
            if driver.now - waiting.attempts[-1].sent_us >= 10_000:
                driver.done(waiting.id, Outcome.SUCCESS, 10_000)
    assert permits(driver.balancer) == 4.0


@given(st.lists(st.booleans(), max_size=200), st.integers(4, 300))
def test_permits_lie_between_the_quota_and_the_size_of_the_subset(
    crowded: list[bool], gateway_total: int
) -> None:
    balancer = BalancerDriver(
        one_of_many(gateway_count=gateway_total, gateway_index=0), three_zones(30)
    ).balancer
    update_subset(balancer)
    min_permits = max(MIN_PERMITS, balancer.permit_quota)
    for is_slow in crowded:
        note_congestion(balancer, is_slow)
        assert min_permits <= permits(balancer) <= max(min_permits, balancer.subset_size)
    for _ in range(30):
        note_congestion(balancer, True)
    assert permits(balancer) == min_permits


def test_half_a_permit_is_in_use_half_of_the_time() -> None:
    """With a whole permit each, 182 gateways had 4 requests in flight at each of 48 hosts that can
    handle 2.5."""
    driver = BalancerDriver(
        one_of_many(gateway_count=200, gateway_index=0), three_zones(40)
    )  # 40 * 2.5 / 200 = 0.5 permits
    driver.warm_up(60)
    driver.balancer.congestion_window = 0.0
    busy = sent = 0
    for _ in range(4000):
        driver.balancer.congestion_window = 0.0
        for waiting in [r for r in driver.balancer.requests.values() if r.in_flight]:
            if driver.now - waiting.attempts[-1].sent_us >= 10_000:
                driver.done(waiting.id, Outcome.SUCCESS, 10_000)
        if driver.balancer.queued < 2:
            driver.arrive()
        sent = driver.balancer.in_flight
        assert sent <= 1
        busy += sent
        driver.pass_time(1_000)
    assert 0.4 < busy / 4000 < 0.55
