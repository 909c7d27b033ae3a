"""The retry policy: backoff, budget, idempotency."""

from __future__ import annotations

from quillroad.balancing.actions import (
    Fail,
    Reject,
    SetTimer,
)
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    Outcome,
)
from quillroad.balancing.load_shedding import MIN_ADMITTED_RATIO
from quillroad.balancing.retry import TOKENS_EARNED
from quillroad.balancing.settings import DeduplicationScope, Idempotency
from tests.balancing.helpers import (
    BalancerDriver,
    one_of_many,
    route,
    settings,
    three_zones,
)


def test_backoff_grows_between_retry_groups() -> None:
    driver = BalancerDriver(settings(route(latency_objective_us=900_000), max_attempts=4), 6)
    request = driver.arrive()
    driver.balancer.routes[0].retry_budget.tokens = 9.0
    waits = []
    for _ in range(3):
        actions = driver.done(request, Outcome.ERROR, 1000)
        waits += [a.delay_us for a in actions if isinstance(a, SetTimer)]
        driver.pass_time(300_000)
    assert len(driver.sends[request]) == len(set(driver.sends[request])) == 4
    assert waits[0] * 1.2 < waits[2]


def test_retries_are_limited_by_budget_when_all_hosts_fail() -> None:
    driver = BalancerDriver(settings(), 5)
    for _ in range(400):
        request = driver.arrive()
        for _ in range(4):
            if len(driver.sends.get(request, [])) and request in driver.balancer.requests:
                driver.done(request, Outcome.ERROR, 1000)
            driver.pass_time(10_000)
    for request in list(driver.balancer.requests):  # retried after the last check above
        driver.done(request, Outcome.ERROR, 1000)
    attempts = sum(map(len, driver.sends.values()))
    driver.pass_time(2_000_000)
    assert not driver.balancer.requests
    # While no host is healthy `pick` considers all hosts, so requests are still sent.
    assert len(driver.sends) >= 400 * MIN_ADMITTED_RATIO / 2
    assert attempts <= len(driver.sends) * (1 + TOKENS_EARNED) + 2


def test_non_idempotent_request_is_retried_only_if_it_never_ran() -> None:
    for outcome, is_retried in [
        (Outcome.REJECTED, True),
        (Outcome.CONNECT_FAILED, True),
        (Outcome.ERROR, False),
        (Outcome.RESET, False),
        (Outcome.TIMEOUT, False),
    ]:
        driver = BalancerDriver(settings(route(Idempotency.NON_IDEMPOTENT)), 4)
        request = driver.arrive()
        driver.done(request, outcome, 1000)
        driver.pass_time(100_000)
        assert len(driver.sends[request]) == (2 if is_retried else 1)
        assert (Fail(request) in driver.log) is not is_retried


def test_keyed_request_stays_in_deduplication_scope_and_window() -> None:
    hosts = [Endpoint(100 + i, cell=i % 2) for i in range(6)]
    keyed = route(
        Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        latency_objective_us=900_000,
        deduplication_window_us=300_000,
    )
    driver = BalancerDriver(settings(keyed), hosts)
    request = driver.arrive()
    driver.balancer.routes[0].retry_budget.tokens = 9.0
    driver.done(request, Outcome.ERROR, 1000)
    driver.pass_time(60_000)
    first, second = driver.sends[request]
    assert first != second and first % 2 == second % 2
    driver.pass_time(400_000)
    driver.done(request, Outcome.ERROR, 1000)
    assert Fail(request) in driver.pass_time(600_000)
    assert len(driver.sends[request]) == 2


def test_retry_budget_is_enough_for_a_quarter_of_lost_answers() -> None:
    """While a quarter of the answers got lost, 26 requests per second were rejected because the
    retry budget had no tokens left."""
    driver = BalancerDriver(settings(), 9)
    driver.warm_up(200)
    for number in range(1000):
        driver.balancer.admitted_ratio = 1.0  # disable load shedding
        request = driver.arrive()
        if number % 4 == 0:
            assert not any(
                isinstance(a, Reject | Fail) for a in driver.done(request, Outcome.RESET)
            ), number
        driver.pass_time(20_000)
        if request in driver.balancer.requests:
            driver.done(request, Outcome.SUCCESS)


def test_retry_budget_of_gateway_with_little_traffic_stays_small() -> None:
    """441 gateways with full retry budgets sent 981 attempts to one full host of two within 5 s."""
    driver = BalancerDriver(one_of_many(), three_zones())
    for _ in range(50):
        request = driver.arrive()
        driver.pass_time(150_000)
        driver.done(request, Outcome.SUCCESS)
    assert driver.balancer.routes[0].retry_budget.tokens < 4
