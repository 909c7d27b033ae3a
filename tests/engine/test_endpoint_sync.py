"""How an endpoint update reaches the hosts that attempts go to."""

from __future__ import annotations

import asyncio

import pytest

from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.config import RESERVED, Address, Descriptors
from quillroad.engine.endpoint_sync import apply_endpoint_update
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.upstream.pool import Host, Upstream
from tests.net import FakeHost, on_loop, until

NAMES = {1: "s-1", 2: "s-2"}
ADDRESSES: dict[int, Address] = {1: ("127.0.0.1", 1), 2: ("127.0.0.1", 2)}


class Hosts:
    """Hosts as updates make them."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        descriptors = Descriptors(RESERVED + 10)
        self.upstream = Upstream(loop, descriptors, 1.0, 15.0, EventLoopMonitor(loop))
        self.by_id: dict[int, Host] = {}

    def update(
        self,
        *endpoints: Endpoint,
        kind: UpdateKind = UpdateKind.FULL,
        addresses: dict[int, Address] = ADDRESSES,
    ) -> None:
        update = EndpointUpdate(kind, endpoints)
        apply_endpoint_update(self.by_id, self.upstream, update, NAMES, addresses)


@on_loop
async def test_a_full_update_takes_out_what_it_does_not_name() -> None:
    hosts = Hosts()
    hosts.update(Endpoint(1), Endpoint(2, zone=3))
    first, second = hosts.by_id[1], hosts.by_id[2]
    assert (second.name, second.address, second.zone) == ("s-2", ADDRESSES[2], 3)
    hosts.update(Endpoint(2))
    assert hosts.by_id == {2: second}
    assert not first.ready and second.ready


@on_loop
async def test_an_incremental_update_leaves_what_it_does_not_name() -> None:
    hosts = Hosts()
    hosts.update(Endpoint(1), Endpoint(2))
    first = hosts.by_id[1]
    hosts.update(Endpoint(2, EndpointStatus.REMOVED), kind=UpdateKind.INCREMENTAL)
    assert hosts.by_id == {1: first}
    assert first.ready


@on_loop
async def test_a_host_that_has_moved_is_another_one() -> None:
    """Its old address may be another service's by now: no connection to it may be used again."""
    hosts = Hosts()
    hosts.update(Endpoint(1))
    before = hosts.by_id[1]
    moved: dict[int, Address] = {1: ("127.0.0.1", 9)}
    hosts.update(Endpoint(1), addresses=moved)
    assert hosts.by_id[1] is not before
    assert hosts.by_id[1].address == moved[1]
    assert not before.ready


@on_loop
async def test_a_draining_host_takes_no_attempts_until_it_is_ready_again() -> None:
    hosts = Hosts()
    hosts.update(Endpoint(1))
    host = hosts.by_id[1]
    hosts.update(Endpoint(1, EndpointStatus.DRAINING))
    assert hosts.by_id == {1: host}
    assert not host.ready
    hosts.update(Endpoint(1))
    assert host.ready


@pytest.mark.parametrize(("started_us", "kept"), [(7, True), (8, False)])
@on_loop
async def test_a_restarted_host_loses_its_idle_connections(started_us: int, kept: bool) -> None:
    """Connections to the process before hang for ever where its machine went down with it."""
    fake = await FakeHost().start()
    hosts = Hosts()
    addresses = {1: fake.address}
    hosts.update(Endpoint(1, started_us=7), addresses=addresses)
    host = hosts.by_id[1]
    ended: list[object] = []
    hosts.upstream.start(host, b"GET / HTTP/1.1\r\n\r\n", 5.0, lambda *end: ended.append(end))
    await until(lambda: bool(host.idle))
    hosts.update(Endpoint(1, started_us=started_us), addresses=addresses)
    assert [connection.is_closing() for connection in host.idle] == [not kept]
    assert host.started_us == started_us
