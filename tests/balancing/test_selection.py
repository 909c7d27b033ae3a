"""Which host an attempt goes to."""

from __future__ import annotations

from collections import Counter

from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    Outcome,
)
from quillroad.balancing.selection import score
from quillroad.balancing.settings import Idempotency
from tests.balancing.helpers import (
    BalancerDriver,
    one_of_many,
    route,
    settings,
    three_zones,
)


def test_a_better_payoff_wins_and_the_other_host_is_still_explored() -> None:
    driver = BalancerDriver(settings(), 2)
    driver.warm_up(50)
    good, bad = driver.balancer.candidates
    good.payoff, bad.payoff = 1.0, 0.4
    for _ in range(300):
        request = driver.arrive()
        bad.payoff = 0.4
        driver.done(request, Outcome.SUCCESS)
    counts = Counter(hosts[0] for hosts in list(driver.sends.values())[-300:])
    assert 3 <= counts[bad.endpoint.id] <= 40


def test_in_a_subset_hosts_of_a_slow_machine_type_are_drawn_less() -> None:
    """At even parts the hosts of a slow machine type were overloaded while those of a fast one
    idled."""
    driver = BalancerDriver(
        one_of_many(), [s._replace(machine_type=s.id % 2) for s in three_zones()]
    )
    for _ in range(150):
        request = driver.arrive()
        driver.pass_time(150_000)
        if request in driver.sends:
            driver.done(
                request, Outcome.SUCCESS, 90_000 if driver.sends[request][0] % 2 else 10_000
            )
    late = Counter(sent[0] % 2 for sent in list(driver.sends.values())[-100:])
    assert late[1] < late[0] / 2


def test_a_remote_host_is_scored_less_by_the_price_of_crossing_zones() -> None:
    driver = BalancerDriver(one_of_many(cross_zone_cost=0.1), three_zones())
    here, there = (
        next(s for s in driver.balancer.candidates if s.endpoint.zone == z) for z in (0, 1)
    )
    assert score(driver.balancer, here) > score(driver.balancer, there)
    here.payoff, here.heard_us = 0.3, driver.now
    assert score(driver.balancer, here) < score(driver.balancer, there)


def test_no_host_of_a_zone_in_which_all_are_ejected_is_picked() -> None:
    """Where one zone is ejected as a whole its hosts are not taken for healthy: the other zone
    serves."""
    here = [Endpoint(i, zone=0) for i in range(1, 4)]
    there = [Endpoint(i, zone=1) for i in range(11, 14)]
    driver = BalancerDriver(settings(route(Idempotency.NON_IDEMPOTENT)), here + there)
    driver.warm_up(60)
    for s in driver.balancer.hosts.values():
        if s.endpoint.zone == 0:
            s.ejected_until_us = driver.now + 60_000_000
    for _ in range(40):
        request = driver.arrive()
        assert driver.sends[request][0] > 10
        driver.done(request, Outcome.SUCCESS)
