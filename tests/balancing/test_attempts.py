"""Attempts: their start, their outcome, and the end of their request."""

from __future__ import annotations

from quillroad.balancing.actions import (
    Fail,
    Reject,
    SendAttempt,
    SetTimer,
)
from quillroad.balancing.events import (
    AttemptFinished,
    EndpointUpdate,
    Outcome,
    UpdateKind,
)
from quillroad.balancing.settings import Settings
from tests.balancing.helpers import (
    BalancerDriver,
    settings,
)


def test_without_configured_routes_all_requests_are_non_idempotent() -> None:
    driver = BalancerDriver(Settings(), 3)
    request = driver.arrive()
    driver.done(request, Outcome.ERROR)
    assert len(driver.sends[request]) == 1
    assert driver.log[-1] == Fail(request)


def test_events_of_finished_requests_are_ignored() -> None:
    driver = BalancerDriver(settings(), 2)
    request = driver.arrive()
    driver.done(request, Outcome.SUCCESS)
    assert driver.feed(AttemptFinished(request, 0, Outcome.SUCCESS, 1, True)) == []
    assert driver.feed(AttemptFinished(999, 0, Outcome.ERROR, 1)) == []
    other = driver.arrive()
    driver.feed(EndpointUpdate(UpdateKind.FULL, ()))
    assert isinstance(driver.done(other, Outcome.ERROR)[0], SetTimer)
    assert Reject(other) in driver.pass_time(1_000_000)


def test_no_attempt_starts_after_final_answer() -> None:
    driver = BalancerDriver(settings(), 1)
    request = driver.arrive()
    while request in driver.balancer.requests:
        driver.done(request, Outcome.ERROR)
        driver.pass_time(300_000)
    final_answers = [a for a in driver.log if isinstance(a, Reject | Fail)]
    assert len(final_answers) == 1
    assert not any(
        isinstance(a, SendAttempt) for a in driver.log[driver.log.index(final_answers[0]) :]
    )
