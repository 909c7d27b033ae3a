"""Hedged attempts."""

from __future__ import annotations

import pytest

from quillroad.balancing.actions import (
    CancelAttempt,
)
from quillroad.balancing.events import (
    AttemptFinished,
    Outcome,
)
from quillroad.balancing.settings import Idempotency, Settings
from tests.balancing.helpers import (
    BalancerDriver,
    route,
    settings,
)


def test_hedge_is_sent_once_and_slower_attempt_is_cancelled() -> None:
    driver = BalancerDriver(settings(hedging_allowed=True), 4)
    for elapsed_us in range(4000, 6000, 20):
        driver.done(driver.arrive(), Outcome.SUCCESS, elapsed_us)
    request = driver.arrive()
    driver.pass_time(50_000)
    assert len(driver.sends[request]) == 2
    actions = driver.done(request, Outcome.SUCCESS, 50_000, attempt=1)
    assert CancelAttempt(request, 0) in actions
    driver.feed(AttemptFinished(request, 0, Outcome.CANCELLED, 50_000, True))
    assert request not in driver.balancer.requests


@pytest.mark.parametrize(
    "told", [settings(route(Idempotency.NON_IDEMPOTENT), hedging_allowed=True), settings(route())]
)
def test_no_hedge_of_non_idempotent_route_or_without_permission(told: Settings) -> None:
    driver = BalancerDriver(told, 4)
    driver.warm_up(100, 5000)
    request = driver.arrive()
    driver.pass_time(150_000)
    assert len(driver.sends[request]) == 1
