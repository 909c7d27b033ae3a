"""Overdue attempts: in flight for longer than the attempt timeout."""

from __future__ import annotations

from quillroad.balancing.events import (
    Outcome,
)
from quillroad.balancing.settings import Idempotency
from tests.balancing.helpers import (
    BalancerDriver,
    route,
    settings,
)


def test_silent_host_gets_no_attempts_before_its_attempts_time_out() -> None:
    driver = BalancerDriver(settings(route(Idempotency.NON_IDEMPOTENT)), 3)
    driver.warm_up(100)
    silent_host = 101
    for _ in range(200):
        request = driver.arrive()
        driver.pass_time(10_000)
        if driver.sends[request] != [silent_host]:
            driver.done(request, Outcome.SUCCESS, 10_000)
    last_sends = list(driver.sends.values())[-150:]
    assert sum(s == [silent_host] for s in last_sends) <= 2
