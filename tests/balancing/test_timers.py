"""Timers: their stored values, and what happens when they fire."""

from __future__ import annotations

import pytest

from quillroad.balancing.events import Outcome, TimerFired
from quillroad.balancing.timers import Timer, TimerPurpose, set_timer
from tests.balancing.helpers import BalancerDriver, settings


def test_timer_purposes_keep_their_stored_values() -> None:
    """A new version adopts the stored timers of the old one; a renamed value would lose them."""
    assert {purpose.value for purpose in TimerPurpose} == {
        "hedge",
        "shed",
        "send_again",
        "watch",
        "go_on",
        "laid",
    }


def test_negative_delay_counts_as_zero() -> None:
    driver = BalancerDriver(settings())
    driver.balancer.actions = []
    set_timer(driver.balancer, -5.0, TimerPurpose.RESUME_QUEUE)
    (action,) = driver.balancer.actions
    assert action == (0, driver.balancer.last_timer_id)
    assert driver.balancer.timers[driver.balancer.last_timer_id] == Timer(
        TimerPurpose.RESUME_QUEUE, None
    )


def test_unknown_timer_is_ignored() -> None:
    driver = BalancerDriver(settings())
    assert driver.feed(TimerFired(999)) == []


@pytest.mark.parametrize("purpose", TimerPurpose)
def test_timer_of_ended_request_is_ignored(purpose: TimerPurpose) -> None:
    """A request can end while its timers are set. They must not start an attempt or answer it
    again.
    """
    driver = BalancerDriver(settings(hedging_allowed=True))
    request = driver.arrive()
    ended_request = driver.balancer.requests[request]
    driver.done(request, Outcome.SUCCESS)
    driver.balancer.timers[7_000] = Timer(purpose, ended_request)
    assert driver.feed(TimerFired(7_000)) == []
    assert 7_000 not in driver.balancer.timers
