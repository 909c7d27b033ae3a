"""Admission of arriving requests."""

from __future__ import annotations

from quillroad.balancing.actions import (
    Reject,
)
from quillroad.balancing.events import (
    Outcome,
)
from tests.balancing.helpers import (
    DEADLINE_US,
    OBJECTIVE_US,
    BalancerDriver,
    settings,
)


def test_unmarked_retry_that_lost_its_objective_is_rejected() -> None:
    driver = BalancerDriver(settings(), 2)
    driver.warm_up(20)
    late_request = driver.arrive(give_up_us=DEADLINE_US - 2 * OBJECTIVE_US)
    assert driver.log[-1] == Reject(late_request)
    marking_driver = BalancerDriver(settings(clients_mark_retries=True), 2)
    marking_driver.warm_up(20)
    assert marking_driver.arrive(give_up_us=DEADLINE_US - 2 * OBJECTIVE_US) in marking_driver.sends


def test_first_request_is_not_taken_for_retry_after_client_with_long_wait() -> None:
    """After one client that waited for its full deadline, first requests of clients with a shorter
    wait were taken for late retries and rejected."""
    driver = BalancerDriver(settings(), 3)
    driver.warm_up(20)
    for has_long_wait in (True, False, False):
        request = driver.arrive(give_up_us=(13 if has_long_wait else 10) * DEADLINE_US // 10)
        assert request in driver.sends
        driver.done(request, Outcome.SUCCESS)
