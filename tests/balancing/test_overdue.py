"""Attempts in flight for longer than the attempt timeout."""

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


def test_a_silent_host_is_left_alone_before_its_attempts_time_out() -> None:
    driver = BalancerDriver(settings(route(Idempotency.NON_IDEMPOTENT)), 3)
    driver.warm_up(100)
    silent = 101
    for _ in range(200):
        request = driver.arrive()
        driver.pass_time(10_000)
        if driver.sends[request] != [silent]:
            driver.done(request, Outcome.SUCCESS, 10_000)
    late = list(driver.sends.values())[-150:]
    assert sum(s == [silent] for s in late) <= 2
