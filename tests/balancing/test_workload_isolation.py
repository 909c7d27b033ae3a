"""Separate hosts for long requests."""

from __future__ import annotations

from quillroad.balancing.events import (
    Outcome,
)
from quillroad.balancing.settings import Settings
from tests.balancing.helpers import (
    BalancerDriver,
    route,
    settings,
    three_zones,
)


def test_long_requests_use_separate_hosts_that_are_the_same_at_every_gateway() -> None:
    short, long = (
        route(latency_objective_us=100_000),
        route(latency_objective_us=2_000_000, deadline_us=4_000_000),
    )
    hosts_of_long_route: list[set[int]] = []
    for seed in (1, 2):
        driver = BalancerDriver(settings(short, long), 6, seed)
        hosts_by_route: tuple[set[int], set[int]] = (set(), set())
        for turn in range(150):
            for route_index, count, elapsed_us in ((0, 30, 10_000), (1, 1, 300_000)):
                driver.warm_up(count, elapsed_us, route_index)
                if turn > 100:
                    hosts_by_route[route_index].update(
                        hosts[0] for hosts in list(driver.sends.values())[-count:]
                    )
        assert hosts_by_route[1] and not hosts_by_route[0] & hosts_by_route[1]
        hosts_of_long_route.append(hosts_by_route[1])
    assert hosts_of_long_route[0] & hosts_of_long_route[1]


def test_no_hosts_are_reserved_for_long_requests_in_a_subset() -> None:
    """If gateways with a subset also reserved a host for long requests, it would be the same one at
    every gateway: it received 150 of 363 such requests within 3 s."""
    short, long = (
        route(latency_objective_us=100_000),
        route(latency_objective_us=2_000_000, deadline_us=4_000_000),
    )
    driver = BalancerDriver(
        Settings(routes=(short, long), gateway_count=400, gateway_index=100), three_zones()
    )
    driver.balancer.long_work_ratio = 0.01
    driver.balancer.routes[1].uncrowded_latency_us, driver.balancer.routes[1].samples = 300_000.0, 9
    for _ in range(40):
        request = driver.arrive(1)
        driver.pass_time(200_000)
        driver.done(request, Outcome.SUCCESS, 150_000)
    assert len({host for sent in driver.sends.values() for host in sent}) >= 2
