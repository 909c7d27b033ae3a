"""Hosts of their own for long requests."""

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


def test_long_requests_keep_to_the_same_hosts_at_every_gateway() -> None:
    short, long = (
        route(latency_objective_us=100_000),
        route(latency_objective_us=2_000_000, deadline_us=4_000_000),
    )
    used: list[set[int]] = []
    for seed in (1, 2):
        driver = BalancerDriver(settings(short, long), 6, seed)
        lanes: tuple[set[int], set[int]] = (set(), set())
        for turn in range(150):
            for kind, count, elapsed_us in ((0, 30, 10_000), (1, 1, 300_000)):
                driver.warm_up(count, elapsed_us, kind)
                if turn > 100:
                    lanes[kind].update(s[0] for s in list(driver.sends.values())[-count:])
        assert lanes[1] and not lanes[0] & lanes[1]
        used.append(lanes[1])
    assert used[0] & used[1]


def test_in_a_subset_no_hosts_are_kept_for_long_requests() -> None:
    """One host kept for long requests, the same at all gateways, drew 150 of 363 of them within 3
    s."""
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
    assert len({s for sent in driver.sends.values() for s in sent}) >= 2
