"""How many attempts one host gets, and which keep a permit after their end."""

from __future__ import annotations

from quillroad.balancing.concurrency_limit import (
    adjust_limit,
)
from quillroad.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    Outcome,
)
from tests.balancing.helpers import (
    AIM_US,
    BalancerDriver,
    settings,
    warm_gateway_of_200,
)


def test_the_limit_follows_the_requests_that_wait_in_a_full_host() -> None:
    """The limit used to grow with every answer in time: hosts of two cores held six requests each,
    and four of a hundred were rejected. It grows only while requests are queued here and a full
    host is as quick as an idle one."""
    balancer = BalancerDriver(settings(), 3).balancer
    start = balancer.concurrency_limit
    for _ in range(500):
        adjust_limit(balancer, 1.0)
    assert balancer.concurrency_limit == start
    balancer.queued = 1
    for _ in range(500):
        adjust_limit(balancer, 1.0)
    grown = balancer.concurrency_limit
    assert grown > 1.5 * start
    for _ in range(5000):
        adjust_limit(balancer, 3.0)
    assert 1.0 <= balancer.concurrency_limit < start


def test_a_cancelled_attempt_keeps_its_permit_while_its_host_may_work_on() -> None:
    """150 clients a second gave up early, and hosts went on working for them where no gateway saw
    it."""
    driver = warm_gateway_of_200(60)
    for congestion_window, places in ((1.0, 0), (0.0, 1)):  # in a crowd only
        driver.balancer.congestion_window = congestion_window
        request = driver.arrive()
        driver.feed(
            ClientDisconnected(request), AttemptFinished(request, 0, Outcome.CANCELLED, 1000, True)
        )
        assert driver.balancer.in_flight == places
        driver.pass_time(100_000)
        assert driver.balancer.in_flight == 0
        assert not driver.balancer.requests


def test_in_a_crowd_an_overdue_attempt_keeps_its_permit() -> None:
    """250 attempts a second at 48 hosts ended past their deadline, and held no permit from their
    objective on, so that gateways sent more."""
    driver = warm_gateway_of_200(60)
    for congestion_window, places in ((1.0, 0), (0.0, 1)):
        driver.balancer.congestion_window = congestion_window
        request = driver.arrive()
        host = driver.balancer.hosts[driver.sends[request][0]]
        host.newest_answered_sent_us = driver.now + 1  # what was sent later was answered
        driver.pass_time(AIM_US + 1000)
        driver.feed()
        assert (driver.balancer.in_flight, host.overdue) == (places, 1)
        driver.done(request, Outcome.TIMEOUT, AIM_US + 1000)
        driver.pass_time(2_000_000)
        assert (driver.balancer.in_flight, host.overdue, host.in_flight) == (0, 0, 0)
