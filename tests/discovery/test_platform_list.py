"""The platform's endpoint list: a new process at the address of one that has gone."""

from __future__ import annotations

import json
from typing import Any

import pytest

from quillroad.balancing.endpoint import EndpointStatus
from quillroad.discovery.platform_list import ListChange, PlatformList
from quillroad.discovery.reducer import endpoint_id
from tests.net import FakeHost, on_loop, until, world

ADDRESS = "127.0.0.1:9000"


def entry(name: str, **changes: Any) -> dict[str, Any]:
    return {"instanceId": name, "hostPort": ADDRESS, "lifecycle": "up", "startedAtMs": 0} | changes


def document(generation: int, reset: bool, *entries: dict[str, Any]) -> bytes:
    return json.dumps(
        {"generation": generation, "reset": reset, "instances": list(entries)}
    ).encode()


def statuses(change: ListChange | None) -> dict[int, EndpointStatus]:
    assert change is not None
    return {endpoint.id: endpoint.status for endpoint in change.update.endpoints}


NEW = {"startedAtMs": 1_700_000_000_000}


def test_an_instance_is_removed_when_a_later_one_has_its_address() -> None:
    endpoints = PlatformList((), ())
    endpoints.read_document(document(1, True, entry("old"), entry("other", hostPort="h:1")))
    change = endpoints.read_document(document(2, False, entry("new", **NEW)))
    assert statuses(change) == {
        endpoint_id("new"): EndpointStatus.READY,
        endpoint_id("old"): EndpointStatus.REMOVED,
    }
    # What is told of the old one afterwards does not bring it back.
    change = endpoints.read_document(document(3, False, entry("old", lifecycle="draining")))
    assert statuses(change) == {endpoint_id("old"): EndpointStatus.REMOVED}


@pytest.mark.parametrize("order", [1, -1])
def test_a_full_list_with_both_keeps_the_later_one(order: int) -> None:
    both = [entry("old"), entry("new", **NEW)][::order]
    change = PlatformList((), ()).read_document(document(1, True, *both))
    assert statuses(change) == {
        endpoint_id("new"): EndpointStatus.READY,
        endpoint_id("old"): EndpointStatus.REMOVED,
    }


def test_of_two_instances_without_start_time_the_draining_one_is_replaced() -> None:
    endpoints = PlatformList((), ())
    change = endpoints.read_document(
        document(1, True, entry("old", lifecycle="draining"), entry("new"))
    )
    assert statuses(change)[endpoint_id("old")] is EndpointStatus.REMOVED
    change = endpoints.read_document(document(2, True, entry("a"), entry("b")))
    assert set(statuses(change).values()) == {EndpointStatus.READY}


@on_loop
async def test_a_new_process_at_an_address_gets_no_requests_of_the_old_one() -> None:
    """It got the share of both, and those of the old one without regard to its warm-up."""
    async with world(FakeHost().behave) as w:
        known = w.hosts[0].entry(instanceId="new", **NEW)
        w.discovery.tell(known)
        await until(lambda: endpoint_id("new") in w.gateway.engine.hosts)
        assert list(w.gateway.engine.hosts) == [endpoint_id("new")]
        async with w.client() as client:
            assert (await client.ask()).status == 200
