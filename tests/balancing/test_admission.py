"""What becomes of a request on its arrival."""

from __future__ import annotations

from quillroad.balancing.actions import (
    Reject,
)
from quillroad.balancing.events import (
    Outcome,
)
from tests.balancing.helpers import (
    AIM_US,
    DEADLINE_US,
    BalancerDriver,
    settings,
)


def test_an_unmarked_retry_that_has_lost_its_objective_is_rejected() -> None:
    driver = BalancerDriver(settings(), 2)
    driver.warm_up(20)
    late = driver.arrive(give_up_us=DEADLINE_US - 2 * AIM_US)
    assert driver.log[-1] == Reject(late)
    marking = BalancerDriver(settings(clients_mark_retries=True), 2)
    marking.warm_up(20)
    assert marking.arrive(give_up_us=DEADLINE_US - 2 * AIM_US) in marking.sends


def test_a_few_clients_that_wait_long_do_not_make_retries_of_all_others() -> None:
    """One client that waited for its full deadline had every shorter first request taken for a late
    retry, and rejected."""
    driver = BalancerDriver(settings(), 3)
    driver.warm_up(20)
    for long in (True, False, False):
        request = driver.arrive(give_up_us=(13 if long else 10) * DEADLINE_US // 10)
        assert request in driver.sends
        driver.done(request, Outcome.SUCCESS)
