"""The queue of requests that wait for a host with a free permit."""

from __future__ import annotations

import pytest

from quillroad.balancing import request_queue
from quillroad.balancing.actions import (
    Reject,
)
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    EndpointUpdate,
    Outcome,
    UpdateKind,
)
from quillroad.balancing.settings import Idempotency
from tests.balancing.helpers import (
    OBJECTIVE_US,
    BalancerDriver,
    route,
    settings,
    warm_gateway_of_200,
)


def test_request_without_hosts_is_queued_and_then_rejected() -> None:
    driver = BalancerDriver(settings(route(Idempotency.NON_IDEMPOTENT)), 0)
    request = driver.arrive()
    assert not driver.sends
    assert Reject(request) in driver.pass_time(OBJECTIVE_US)
    queued_request = driver.arrive()
    driver.feed(EndpointUpdate(UpdateKind.FULL, (Endpoint(7),)))
    assert driver.sends[queued_request] == [7]


def test_marked_retries_are_sent_after_first_requests() -> None:
    """In an overload most retries have lost their objective. Sent before first requests they took
    the permits that these needed.
    """
    driver = BalancerDriver(settings(), 1)
    while not driver.balancer.queued:
        blocking = driver.arrive()
    retries = [driver.arrive(is_retry=True) for _ in range(3)]
    first = driver.arrive()
    for request in [r for r in driver.sends if r < blocking]:
        driver.done(request, Outcome.SUCCESS)
    sent = list(driver.sends)
    assert sent.index(first) < min(sent.index(r) for r in retries if r in sent)


@pytest.mark.plain  # replaces a function
def test_request_with_too_long_predicted_wait_is_rejected_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """2,764 requests per second were queued for half a second and then rejected. Rejecting them at
    once must not reduce the number of requests that are served."""
    served = []
    for predicts_wait in (True, False):
        driver = warm_gateway_of_200(60)
        if not predicts_wait:
            monkeypatch.setattr(request_queue, "predicted_wait_us", lambda state, request: 0.0)
        rejected_at_once = rejected_later = served_count = 0
        # 100 requests per second: more than three permits at 50 ms each can serve.
        for tick in range(4000):
            if tick % 10 == 0:
                request = driver.arrive()
                rejected_at_once += driver.log[-1] == Reject(request)
            for waiting in [r for r in driver.balancer.requests.values() if r.in_flight]:
                if driver.now - waiting.attempts[-1].sent_us >= 50_000:
                    driver.done(waiting.id, Outcome.SUCCESS, 50_000)
                    served_count += 1
            rejected_later += sum(isinstance(action, Reject) for action in driver.pass_time(1_000))
        served.append(served_count)
        assert (rejected_later < rejected_at_once / 2) is predicts_wait
    assert served[0] >= served[1]
