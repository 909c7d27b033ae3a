"""The share of arrivals that is admitted."""

from __future__ import annotations

from quillroad.balancing.actions import (
    Reject,
)
from quillroad.balancing.events import (
    Outcome,
)
from quillroad.balancing.load_shedding import MIN_ADMITTED_RATIO
from quillroad.balancing.outlier_detection import (
    credit,
)
from tests.balancing.helpers import (
    BalancerDriver,
    one_of_many,
    settings,
    three_zones,
)


def test_in_a_subset_failing_hosts_do_not_make_it_shed_load() -> None:
    """With errors at most hosts 430 of 520 requests a second were rejected while 30 of 200 permits
    were taken."""
    driver = BalancerDriver(one_of_many(gateway_count=40, gateway_index=3), three_zones())
    driver.balancer.admitted_ratio = 0.1
    for _ in range(50):
        request = driver.arrive()
        assert request in driver.sends
        driver.done(request, Outcome.SUCCESS, 10_000)
        driver.pass_time(30_000)


def test_a_gateway_whose_attempts_fail_sheds_load_and_recovers() -> None:
    """When all hosts slowed down, all requests were sent and none was answered in time."""
    balancer = BalancerDriver(settings(), 3).balancer
    host = balancer.candidates[0]
    for _ in range(20):
        credit(balancer, host, 0.0)
    assert balancer.admitted_ratio == MIN_ADMITTED_RATIO
    for _ in range(20):
        credit(balancer, host, 1.0)
    assert balancer.admitted_ratio == 1.0


def test_shed_requests_are_rejected_before_they_cost_work() -> None:
    driver = BalancerDriver(settings(), 3)
    driver.balancer.admitted_ratio = 0.0
    request = driver.arrive()
    assert request not in driver.sends and driver.log[-1] == Reject(request)
