"""Payoff, ejection and rest of hosts."""

from __future__ import annotations

from itertools import pairwise

import pytest

from quillroad.balancing.events import (
    Outcome,
)
from quillroad.balancing.outlier_detection import (
    FAILURE_SUSPENSION_US,
    SILENCE_SUSPENSION_US,
    payoff,
    record_failure,
    record_outcome,
)
from tests.balancing.helpers import (
    DEADLINE_US,
    BalancerDriver,
    one_of_many,
    settings,
    three_zones,
)

FAST_FAILURES = [Outcome.CONNECT_FAILED, Outcome.REJECTED, Outcome.ERROR, Outcome.RESET]


@pytest.mark.parametrize("outcome", [*FAST_FAILURES, Outcome.TIMEOUT])
def test_rest_of_a_failing_host_in_a_subset_doubles(outcome: Outcome) -> None:
    """Without the rest, each of forty gateways sent a dozen requests to every host that was down,
    and a host that hung held a permit for 600 ms of every two seconds at each gateway."""
    driver = BalancerDriver(one_of_many(gateway_count=40, gateway_index=3), three_zones(6))
    first_rest_us = FAILURE_SUSPENSION_US if outcome in FAST_FAILURES else SILENCE_SUSPENSION_US
    sent: dict[int, int] = {}
    for _ in range(1500):
        request = driver.arrive()
        for host in driver.sends.get(request, [])[:1]:
            if host == 100:
                sent[request] = driver.now
            if host != 100 or outcome in FAST_FAILURES:
                driver.done(request, outcome if host == 100 else Outcome.SUCCESS, 20_000)
        driver.pass_time(20_000)
        for late in [
            pending
            for pending in driver.balancer.requests.values()
            if pending.in_flight and pending.id not in sent
        ]:
            host = late.attempts[-1].host.endpoint.id  # sent from the queue, or retried
            if host == 100:
                sent[late.id] = driver.now
            if host != 100 or outcome in FAST_FAILURES:
                driver.done(late.id, outcome if host == 100 else Outcome.SUCCESS, 20_000)
        for old in set(sent) & set(driver.balancer.requests):
            if driver.now > sent[old] + DEADLINE_US:
                driver.done(old, Outcome.TIMEOUT, DEADLINE_US)
    first_gap_us, *later_gaps_us = (
        next_us - sent_us for sent_us, next_us in pairwise(sent.values())
    )
    assert (
        first_gap_us >= first_rest_us and min(later_gaps_us) >= 2 * first_rest_us and len(sent) <= 8
    )


def test_outcome_after_a_long_time_has_a_large_weight_and_decays() -> None:
    balancer = BalancerDriver(one_of_many(), three_zones()).balancer
    host = balancer.candidates[0]
    balancer.mean_payoff = 0.9
    balancer.now_us += 10_000_000
    record_outcome(balancer, host, 0.0)
    assert payoff(balancer, host) < 0.1
    balancer.now_us += 10_000_000
    assert payoff(balancer, host) > 0.7


def test_first_ejection_is_longer_when_many_gateways_share_the_host() -> None:
    alone, shared = (
        BalancerDriver(settings(), 4).balancer,
        BalancerDriver(one_of_many(), three_zones()).balancer,
    )
    for balancer in (alone, shared):
        balancer.recent_requests = 30.0
        for _ in range(12):
            record_failure(balancer, balancer.candidates[0])
    durations_us = [one.candidates[0].ejected_until_us - one.now_us for one in (alone, shared)]
    assert durations_us[0] == DEADLINE_US and durations_us[1] > 3 * DEADLINE_US
