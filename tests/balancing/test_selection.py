"""Host selection."""

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


def test_host_with_better_payoff_is_preferred_and_the_other_explored() -> None:
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


def test_hosts_of_slow_machine_type_are_picked_less_in_a_subset() -> None:
    """With equal shares the hosts of a slow machine type were overloaded while those of a fast one
    were idle."""
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
    last_sends = Counter(sent[0] % 2 for sent in list(driver.sends.values())[-100:])
    assert last_sends[1] < last_sends[0] / 2


def test_cross_zone_cost_lowers_score_of_remote_host() -> None:
    driver = BalancerDriver(one_of_many(cross_zone_cost=0.1), three_zones())
    local, remote = (
        next(s for s in driver.balancer.candidates if s.endpoint.zone == z) for z in (0, 1)
    )
    assert score(driver.balancer, local) > score(driver.balancer, remote)
    local.payoff, local.heard_us = 0.3, driver.now
    assert score(driver.balancer, local) < score(driver.balancer, remote)


def test_no_host_is_picked_in_a_zone_whose_hosts_are_all_ejected() -> None:
    """If all hosts of one zone are ejected they do not count as healthy, and the other zone gets
    the requests."""
    local = [Endpoint(i, zone=0) for i in range(1, 4)]
    remote = [Endpoint(i, zone=1) for i in range(11, 14)]
    driver = BalancerDriver(settings(route(Idempotency.NON_IDEMPOTENT)), local + remote)
    driver.warm_up(60)
    for s in driver.balancer.hosts.values():
        if s.endpoint.zone == 0:
            s.ejected_until_us = driver.now + 60_000_000
    for _ in range(40):
        request = driver.arrive()
        assert driver.sends[request][0] > 10
        driver.done(request, Outcome.SUCCESS)
