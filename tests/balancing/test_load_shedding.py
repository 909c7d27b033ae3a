"""Load shedding."""

from __future__ import annotations

from quillroad.balancing.actions import (
    Reject,
)
from quillroad.balancing.events import (
    Outcome,
)
from quillroad.balancing.load_shedding import MIN_ADMITTED_RATIO
from quillroad.balancing.outlier_detection import (
    record_outcome,
)
from tests.balancing.helpers import (
    BalancerDriver,
    one_of_many,
    settings,
    three_zones,
)


def test_gateway_with_subset_sheds_no_load_at_low_admitted_ratio() -> None:
    """While most hosts returned errors, 430 of 520 requests per second were rejected although only
    30 of 200 permits were taken."""
    driver = BalancerDriver(one_of_many(gateway_count=40, gateway_index=3), three_zones())
    driver.balancer.admitted_ratio = 0.1
    for _ in range(50):
        request = driver.arrive()
        assert request in driver.sends
        driver.done(request, Outcome.SUCCESS, 10_000)
        driver.pass_time(30_000)


def test_admitted_ratio_falls_with_failures_and_recovers() -> None:
    """When all hosts slowed down, all requests were sent instead of some being shed, and none was
    answered in time."""
    balancer = BalancerDriver(settings(), 3).balancer
    host = balancer.candidates[0]
    for _ in range(20):
        record_outcome(balancer, host, 0.0)
    assert balancer.admitted_ratio == MIN_ADMITTED_RATIO
    for _ in range(20):
        record_outcome(balancer, host, 1.0)
    assert balancer.admitted_ratio == 1.0


def test_shed_request_is_rejected_without_attempt() -> None:
    driver = BalancerDriver(settings(), 3)
    driver.balancer.admitted_ratio = 0.0
    request = driver.arrive()
    assert request not in driver.sends and driver.log[-1] == Reject(request)
