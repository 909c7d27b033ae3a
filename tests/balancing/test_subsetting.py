"""Which hosts a gateway draws from, and how many attempts it has in flight."""

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


def test_with_little_traffic_a_gateway_keeps_to_its_subset() -> None:
    """66 gateways that knew nothing of most hosts overloaded three of them."""
    used: list[set[int]] = []
    for number in (0, 200):
        driver = BalancerDriver(one_of_many(gateway_index=number), three_zones())
        for _ in range(100):
            request = driver.arrive()
            driver.pass_time(150_000)
            driver.done(request, Outcome.SUCCESS, 10_000)
        used.append({s for sent in driver.sends.values() for s in sent})
    assert all(len(hosts) <= 16 for hosts in used)
    assert not used[0] & used[1]


def test_subsets_cover_the_hosts_evenly() -> None:
    counts: Counter[int] = Counter()
    for number in range(120):
        balancer = BalancerDriver(
            one_of_many(gateway_count=120, gateway_index=number), three_zones()
        ).balancer
        counts.update(s.endpoint.id for s in update_subset(balancer) or [])
    assert len(counts) == 60 and max(counts.values()) == min(counts.values())


def test_a_gateway_with_all_the_traffic_draws_from_all_hosts() -> None:
    driver = BalancerDriver(one_of_many(), three_zones())
    for _ in range(5000):
        driver.arrive()
        driver.pass_time(250)
    assert update_subset(driver.balancer) is None
    assert driver.balancer.permits_per_host > 1.0  # and has more than one place at each host


@given(st.integers(4, 80), st.integers(3, 60), st.data())
def test_subsets_of_many_gateways_fill_no_host_beyond_its_limit(
    hosts: int, balancers: int, data: st.DataObject
) -> None:
    """Forty gateways with one request each at every host put 600 on sixty hosts that bear 180."""
    bad = data.draw(st.sets(st.integers(0, hosts - 1), max_size=hosts // 4))
    together: Counter[int] = Counter()
    for number in range(balancers):
        driver = BalancerDriver(settings(gateway_count=balancers, gateway_index=number), hosts)
        for s in driver.balancer.candidates:
            if s.endpoint.id - 100 in bad:
                s.ejected_until_us = 10**9
        for _ in range(hosts):  # nothing is answered
            driver.arrive()
        out = [s for sent in driver.sends.values() for s in sent]
        assert out and not {s - 100 for s in out} & bad
        assert (
            len(out) <= driver.balancer.subset_size * driver.balancer.permits_per_host
            or update_subset(driver.balancer) is None
        )
        together.update(out)
    most = max(hosts * MANY_GATEWAYS_LIMIT + balancers, balancers * MIN_SUBSET_HOSTS)
    assert balancers <= FEW_GATEWAYS_LIMIT or sum(together.values()) <= most


@given(st.integers(4, 48))
def test_permits_are_dealt_out_in_whole_ones_that_add_up(balancers: int) -> None:
    """Rounded up by every gateway they were 3.3 a host where 3 were meant."""
    told = [settings(gateway_count=balancers, gateway_index=number) for number in range(balancers)]
    widths = [len(update_subset(BalancerDriver(one, 2 * balancers).balancer) or ()) for one in told]
    assert abs(sum(widths) / (2 * balancers) - MANY_GATEWAYS_LIMIT) < 0.5
    assert max(widths) - min(widths) <= 1


def test_a_subset_that_passes_over_unhealthy_hosts_does_not_fill_one_after_another() -> None:
    """Large fleet: every gateway passed over what it took for bad, and 14 requests each were out
    where 5 may be."""
    driver = BalancerDriver(one_of_many(gateway_count=40, gateway_index=3), three_zones())
    for _ in range(60):
        driver.arrive()
        for s in driver.balancer.candidates:
            if s.in_flight:
                s.ejected_until_us = driver.now + 10_000_000
    assert len(driver.sends) == driver.balancer.subset_size < 12


def test_a_subset_holds_no_warming_hosts_while_others_are_warm() -> None:
    """16 of 55 hosts were warming up, and some subsets held little else."""
    hosts = tuple(Endpoint(100 + i, started_us=STARTED if i % 3 == 0 else None) for i in range(60))
    covered: Counter[int] = Counter()
    for number in range(40):
        covered.update(s.endpoint.id for s in update_subset(gateway_of_40(number, hosts)) or [])
    assert set(covered) == {s.id for s in hosts if not s.started_us}
    assert max(covered.values()) <= 4  # and no warm one has more gateways than it bears
    assert (
        len(update_subset(gateway_of_40(3, hosts[::3])) or []) >= MIN_SUBSET_HOSTS
    )  # where none is warm


def test_a_subset_keeps_to_its_local_hosts_while_they_serve_as_well() -> None:
    """Eight points of the result were lost to crossings that no state of a host called for."""
    driver = BalancerDriver(one_of_many(cross_zone_cost=0.1), three_zones())
    for _ in range(80):
        request = driver.arrive()
        driver.pass_time(150_000)
        if request in driver.sends:
            driver.done(request, Outcome.SUCCESS, 10_000)
    zones = Counter((sent[0] - 100) % 3 for sent in list(driver.sends.values())[-60:])
    assert zones[0] > 45


def test_dear_crossings_bring_local_hosts_into_the_subset_and_cheap_ones_do_not() -> None:
    """Subsets with no local host paid five points of the result for crossings."""
    dear, cheap = (
        BalancerDriver(one_of_many(cross_zone_cost=p), three_zones()).balancer for p in (0.3, 0.01)
    )
    shares = []
    for balancer in (dear, cheap):
        balancer.recent_requests = 12.0
        balancer.concurrency_limit = 0.2
        window = update_subset(balancer) or []
        assert len(window) == len({s.endpoint.id for s in window}) == 12
        shares.append(sum(s.endpoint.zone == 0 for s in window))
    assert shares[0] >= 6 and shares[0] > shares[1]


def test_a_subset_of_three_hosts_is_no_right_to_three_permits_in_a_crowd() -> None:
    """When a zone was lost, 182 gateways with three permits each held 9 requests at each of the 83
    hosts left: answers went from 77 to 448 ms, and of 2,000 requests a second 700 were served."""
    driver = warm_gateway_of_200(150)
    assert burst_in_flight(driver) == 2
    driver.warm_up(12, 60_000)
    assert driver.balancer.permit_quota == 1.0
    assert burst_in_flight(driver) == 1
    driver.warm_up(60)
    assert burst_in_flight(driver) == 2


@pytest.mark.parametrize(("balancers", "hosts"), [(32, 12), (200, 119), (200, 48), (40, 60)])
def test_quick_answers_give_no_right_to_more_than_hosts_bear_from_all(
    balancers: int, hosts: int
) -> None:
    """32 gateways with a subset of three hosts each held 8 requests at each of 12 hosts, before any
    answer told of a crowd."""
    together = 0
    for number in range(balancers):
        driver = BalancerDriver(
            one_of_many(gateway_count=balancers, gateway_index=number), three_zones(hosts)
        )
        driver.warm_up(20)
        driver.pass_time(3_000_000)
        assert driver.balancer.congestion_window == 1.0
        together += burst_in_flight(driver)
    # Who has under one place has one for a part of the time: `max(1.0, ...)` in `pick`.
    assert together <= max(balancers, (MAX_PERMITS_PER_HOST + 0.5) * hosts)


def test_a_gateway_with_the_traffic_of_others_has_their_permits_too() -> None:
    """Seven gateways in ten had gone, nobody told of it, and the others kept to their own part."""
    driver = BalancerDriver(one_of_many(gateway_count=32, gateway_index=0), three_zones(12))
    for _ in range(4000):  # 500 a second of 10 ms each are nearly five at work at once
        driver.arrive()
        driver.pass_time(2_000)
        for waiting in [r for r in driver.balancer.requests.values() if r.in_flight]:
            if driver.now - waiting.attempts[-1].sent_us >= 10_000:
                driver.done(waiting.id, Outcome.SUCCESS, 10_000)
    assert permits(driver.balancer) == 4.0


@given(st.lists(st.booleans(), max_size=200), st.integers(4, 300))
def test_permits_lie_between_the_quota_and_the_size_of_the_subset(
    crowded: list[bool], balancers: int
) -> None:
    balancer = BalancerDriver(
        one_of_many(gateway_count=balancers, gateway_index=0), three_zones(30)
    ).balancer
    update_subset(balancer)
    least = max(MIN_PERMITS, balancer.permit_quota)
    for one in crowded:
        note_congestion(balancer, one)
        assert least <= permits(balancer) <= max(least, balancer.subset_size)
    for _ in range(30):
        note_congestion(balancer, True)
    assert permits(balancer) == least


def test_half_a_permit_is_used_half_of_the_time() -> None:
    """With a permit each, 182 gateways held 4 requests at each of 48 hosts that bore 2.5."""
    driver = BalancerDriver(
        one_of_many(gateway_count=200, gateway_index=0), three_zones(40)
    )  # 40 times 2.5 / 200 of a place
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
