"""Learning from the outcomes of attempts."""

from __future__ import annotations

from quillroad.balancing.events import (
    Outcome,
)
from tests.balancing.helpers import (
    DEADLINE_US,
    OBJECTIVE_US,
    BalancerDriver,
    route,
    settings,
)


def test_uncrowded_latency_stays_low_under_congestion() -> None:
    """If congestion raised the uncrowded latency, the limit that is measured against it would grow
    to many times its initial value."""
    driver = BalancerDriver(settings(), 3)
    driver.warm_up(300, 10_000)
    route_state = driver.balancer.routes[0]
    before = route_state.uncrowded_latency_us
    driver.warm_up(60, 100_000)
    assert route_state.uncrowded_latency_us < 3 * before


def test_slow_answers_on_a_route_without_objective_neither_shed_load_nor_eject() -> None:
    """Half of all answers are slower than the median. If these counted as failures on a route
    without an objective, new hosts would be ejected and load shed."""
    driver = BalancerDriver(settings(route(latency_objective_us=None)), 3)
    for number in range(400):
        request = driver.arrive()
        driver.pass_time(1000)
        assert len(driver.sends[request]) == 1
        driver.done(request, Outcome.SUCCESS, 1000 + 37 * (number * 61 % 100))
    assert driver.balancer.admitted_ratio == 1.0
    assert not any(host.ejections for host in driver.balancer.hosts.values())


def test_long_body_does_not_affect_health_or_limits_and_is_not_hedged() -> None:
    driver = BalancerDriver(settings(), hosts=2)
    driver.warm_up()
    latencies, limit = (
        [each_route.uncrowded_latency_us for each_route in driver.balancer.routes],
        driver.balancer.concurrency_limit,
    )
    request = driver.arrive(long_body=True)
    driver.pass_time(4 * OBJECTIVE_US)
    assert len(driver.sends[request]) == 1
    assert all(
        not candidate.overdue and candidate.is_healthy(driver.now)
        for candidate in driver.balancer.candidates
    )
    assert driver.balancer.in_flight == 1
    driver.done(request, Outcome.SUCCESS, 4 * OBJECTIVE_US)
    assert (driver.balancer.in_flight, driver.balancer.concurrency_limit) == (0, limit)
    assert [each_route.uncrowded_latency_us for each_route in driver.balancer.routes] == latencies
    late = driver.arrive(long_body=True)
    payoffs = [candidate.payoff for candidate in driver.balancer.candidates]
    driver.done(late, Outcome.TIMEOUT, DEADLINE_US)
    assert [candidate.payoff for candidate in driver.balancer.candidates] == payoffs
