"""Payoff, ejection and rest."""

from __future__ import annotations

from itertools import pairwise

import pytest

from quillroad.balancing.events import (
    Outcome,
)
from quillroad.balancing.outlier_detection import (
    FAILURE_REST_US,
    SILENCE_REST_US,
    blame,
    credit,
    payoff,
)
from tests.balancing.helpers import (
    DEADLINE_US,
    BalancerDriver,
    one_of_many,
    settings,
    three_zones,
)

QUICK = [Outcome.CONNECT_FAILED, Outcome.REJECTED, Outcome.ERROR, Outcome.RESET]


@pytest.mark.parametrize("outcome", [*QUICK, Outcome.TIMEOUT])
def test_in_a_subset_a_host_that_fails_rests_longer_each_time(outcome: Outcome) -> None:
    """Forty gateways each sent a dozen requests to every host that had gone, and hosts that hung
    took a permit for 600 ms of every two seconds at each gateway."""
    driver = BalancerDriver(one_of_many(gateway_count=40, gateway_index=3), three_zones(6))
    first_us = FAILURE_REST_US if outcome in QUICK else SILENCE_REST_US
    sent: dict[int, int] = {}
    for _ in range(1500):
        request = driver.arrive()
        for host in driver.sends.get(request, [])[:1]:
            if host == 100:
                sent[request] = driver.now
            if host != 100 or outcome in QUICK:
                driver.done(request, outcome if host == 100 else Outcome.SUCCESS, 20_000)
        driver.pass_time(20_000)
        for late in [
            r for r in driver.balancer.requests.values() if r.in_flight and r.id not in sent
        ]:
            host = late.attempts[-1].host.endpoint.id  # sent from the queue, or again
            if host == 100:
                sent[late.id] = driver.now
            if host != 100 or outcome in QUICK:
                driver.done(late.id, outcome if host == 100 else Outcome.SUCCESS, 20_000)
        for old in set(sent) & set(driver.balancer.requests):
            if driver.now > sent[old] + DEADLINE_US:
                driver.done(old, Outcome.TIMEOUT, DEADLINE_US)
    first, *later = (b - a for a, b in pairwise(sent.values()))
    assert first >= first_us and min(later) >= 2 * first_us and len(sent) <= 8


def test_one_outcome_of_a_host_seldom_heard_of_says_much_and_fades() -> None:
    balancer = BalancerDriver(one_of_many(), three_zones()).balancer
    host = balancer.candidates[0]
    balancer.mean_payoff = 0.9
    balancer.now_us += 10_000_000
    credit(balancer, host, 0.0)
    assert payoff(balancer, host) < 0.1
    balancer.now_us += 10_000_000
    assert payoff(balancer, host) > 0.7


def test_the_first_ejection_lasts_for_the_trials_of_all_gateways_that_share_the_host() -> None:
    alone, shared = (
        BalancerDriver(settings(), 4).balancer,
        BalancerDriver(one_of_many(), three_zones()).balancer,
    )
    for balancer in (alone, shared):
        balancer.recent_requests = 30.0
        for _ in range(12):
            blame(balancer, balancer.candidates[0])
    lasts = [b.candidates[0].ejected_until_us - b.now_us for b in (alone, shared)]
    assert lasts[0] == DEADLINE_US and lasts[1] > 3 * DEADLINE_US
