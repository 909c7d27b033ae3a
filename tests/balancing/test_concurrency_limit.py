"""The concurrency limit, and finished attempts that keep their permit."""

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
    OBJECTIVE_US,
    BalancerDriver,
    settings,
    warm_gateway_of_200,
)


def test_limit_follows_the_number_of_requests_waiting_in_a_full_host() -> None:
    """The limit may rise only while requests are queued in the gateway and a full host is as fast
    as an idle one. When it rose with every answer in time, hosts with two cores held six requests
    each, and 4 of 100 requests were rejected."""
    balancer = BalancerDriver(settings(), 3).balancer
    initial_limit = balancer.concurrency_limit
    for _ in range(500):
        adjust_limit(balancer, 1.0)
    assert balancer.concurrency_limit == initial_limit
    balancer.queued = 1
    for _ in range(500):
        adjust_limit(balancer, 1.0)
    raised_limit = balancer.concurrency_limit
    assert raised_limit > 1.5 * initial_limit
    for _ in range(5000):
        adjust_limit(balancer, 3.0)
    assert 1.0 <= balancer.concurrency_limit < initial_limit


def test_cancelled_attempt_keeps_its_permit_only_in_a_crowded_fleet() -> None:
    """Hosts continue to work on attempts whose client disconnected (150 clients a second). If these
    released their permit in a crowded fleet, no gateway would count that work."""
    driver = warm_gateway_of_200(60)
    for congestion_window, permits_held in ((1.0, 0), (0.0, 1)):  # only in a crowded fleet
        driver.balancer.congestion_window = congestion_window
        request = driver.arrive()
        driver.feed(
            ClientDisconnected(request), AttemptFinished(request, 0, Outcome.CANCELLED, 1000, True)
        )
        assert driver.balancer.in_flight == permits_held
        driver.pass_time(100_000)
        assert driver.balancer.in_flight == 0
        assert not driver.balancer.requests


def test_overdue_attempt_keeps_its_permit_only_in_a_crowded_fleet() -> None:
    """If an attempt released its permit when it became overdue, gateways would send more while its
    host still works on it: 250 attempts a second at 48 hosts ended after their deadline."""
    driver = warm_gateway_of_200(60)
    for congestion_window, permits_held in ((1.0, 0), (0.0, 1)):
        driver.balancer.congestion_window = congestion_window
        request = driver.arrive()
        host = driver.balancer.hosts[driver.sends[request][0]]
        host.newest_answered_sent_us = driver.now + 1  # a later attempt was answered
        driver.pass_time(OBJECTIVE_US + 1000)
        driver.feed()
        assert (driver.balancer.in_flight, host.overdue) == (permits_held, 1)
        driver.done(request, Outcome.TIMEOUT, OBJECTIVE_US + 1000)
        driver.pass_time(2_000_000)
        assert (driver.balancer.in_flight, host.overdue, host.in_flight) == (0, 0, 0)
