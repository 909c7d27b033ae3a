"""Endpoint list updates and failed polls."""

from __future__ import annotations

from quillroad.balancing.actions import (
    Reject,
    SetTimer,
    WatchEndpoints,
)
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import (
    EndpointUpdate,
    Outcome,
    UpdateKind,
)
from tests.balancing.helpers import (
    BalancerDriver,
    one_of_many,
    settings,
    three_zones,
)


def test_draining_or_removed_host_gets_no_further_attempt() -> None:
    driver = BalancerDriver(settings(), 3)
    driver.feed(
        EndpointUpdate(
            UpdateKind.INCREMENTAL,
            (Endpoint(100, EndpointStatus.DRAINING), Endpoint(101, EndpointStatus.REMOVED)),
        ),
    )
    for _ in range(20):
        driver.done(driver.arrive(), Outcome.SUCCESS)
    assert {host for hosts in driver.sends.values() for host in hosts} == {102}


def test_failed_polls_are_retried_with_growing_jittered_waits() -> None:
    driver = BalancerDriver(settings(discovery_is_polled=True), 2)
    assert WatchEndpoints(True) in driver.log
    waits = []
    for _ in range(6):
        actions = driver.feed(EndpointUpdate(UpdateKind.FAILED))
        waits += [action.delay_us for action in actions if isinstance(action, SetTimer)]
        assert WatchEndpoints(True) in driver.pass_time(10_000_000)
    assert waits[0] < 500_000 and waits[4] > waits[0] * 3
    assert all(wait <= 10_000_000 / 2 for wait in waits)


def test_request_is_rejected_after_an_empty_list_replaces_two_machine_types() -> None:
    driver = BalancerDriver(
        one_of_many(), [host._replace(machine_type=host.id % 2) for host in three_zones()]
    )
    driver.feed(EndpointUpdate(UpdateKind.FULL, ()))
    request = driver.arrive()
    assert Reject(request) in driver.pass_time(2_000_000)
