"""What outcomes say."""

from __future__ import annotations

from quillroad.balancing.events import (
    Outcome,
)
from tests.balancing.helpers import (
    AIM_US,
    DEADLINE_US,
    BalancerDriver,
    route,
    settings,
)


def test_a_jam_does_not_become_the_uncrowded_latency() -> None:
    """Limits grew to many times the start, because the latency of the jam itself became the
    yardstick."""
    driver = BalancerDriver(settings(), 3)
    driver.warm_up(300, 10_000)
    route_state = driver.balancer.routes[0]
    before = route_state.uncrowded_latency_us
    driver.warm_up(60, 100_000)
    assert route_state.uncrowded_latency_us < 3 * before


def test_without_an_objective_slow_answers_neither_shed_load_nor_eject() -> None:
    """Half of all answers are slower than the median: they used to eject new hosts and to shed."""
    driver = BalancerDriver(settings(route(latency_objective_us=None)), 3)
    for number in range(400):
        request = driver.arrive()
        driver.pass_time(1000)
        assert len(driver.sends[request]) == 1
        driver.done(request, Outcome.SUCCESS, 1000 + 37 * (number * 61 % 100))
    assert driver.balancer.admitted_ratio == 1.0
    assert not any(host.ejections for host in driver.balancer.hosts.values())


def test_a_long_body_says_nothing_of_silence_or_crowding_and_is_not_hedged() -> None:
    driver = BalancerDriver(settings(), hosts=2)
    driver.warm_up()
    costs, limit = (
        [r.uncrowded_latency_us for r in driver.balancer.routes],
        driver.balancer.concurrency_limit,
    )
    request = driver.arrive(long_body=True)
    driver.pass_time(4 * AIM_US)
    assert len(driver.sends[request]) == 1
    assert all(not s.overdue and s.is_healthy(driver.now) for s in driver.balancer.candidates)
    assert driver.balancer.in_flight == 1
    driver.done(request, Outcome.SUCCESS, 4 * AIM_US)
    assert (driver.balancer.in_flight, driver.balancer.concurrency_limit) == (0, limit)
    assert [r.uncrowded_latency_us for r in driver.balancer.routes] == costs
    late = driver.arrive(long_body=True)
    payoffs = [s.payoff for s in driver.balancer.candidates]
    driver.done(late, Outcome.TIMEOUT, DEADLINE_US)
    assert [s.payoff for s in driver.balancer.candidates] == payoffs
