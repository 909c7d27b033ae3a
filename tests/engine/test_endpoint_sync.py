"""Tests of how an endpoint update changes the hosts that attempts are sent to."""

from __future__ import annotations

import asyncio

import pytest

from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, Outcome, UpdateKind
from quillroad.config import RESERVED, Address, Descriptors
from quillroad.engine.endpoint_sync import apply_endpoint_update
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.upstream.pool import Host, Upstream
from tests.net import FakeHost, UnacceptingHost, on_loop, until

NAMES = {1: "s-1", 2: "s-2"}
ADDRESSES: dict[int, Address] = {1: ("127.0.0.1", 1), 2: ("127.0.0.1", 2)}


class HostTable:
    """An upstream and the hosts that endpoint updates created in it, by endpoint id."""

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
async def test_full_update_removes_unlisted_hosts() -> None:
    host_table = HostTable()
    host_table.update(Endpoint(1), Endpoint(2, zone=3))
    host_1, host_2 = host_table.by_id[1], host_table.by_id[2]
    assert (host_2.name, host_2.address, host_2.zone) == ("s-2", ADDRESSES[2], 3)
    host_table.update(Endpoint(2))
    assert host_table.by_id == {2: host_2}
    assert not host_1.ready and host_2.ready


@on_loop
async def test_incremental_update_keeps_unlisted_hosts() -> None:
    host_table = HostTable()
    host_table.update(Endpoint(1), Endpoint(2))
    host_1 = host_table.by_id[1]
    host_table.update(Endpoint(2, EndpointStatus.REMOVED), kind=UpdateKind.INCREMENTAL)
    assert host_table.by_id == {1: host_1}
    assert host_1.ready


@on_loop
async def test_moved_host_is_replaced() -> None:
    """Another service may use the old address by now, so no connection to it may be reused."""
    host_table = HostTable()
    host_table.update(Endpoint(1))
    old_host = host_table.by_id[1]
    moved: dict[int, Address] = {1: ("127.0.0.1", 9)}
    host_table.update(Endpoint(1), addresses=moved)
    assert host_table.by_id[1] is not old_host
    assert host_table.by_id[1].address == moved[1]
    assert not old_host.ready


@on_loop
async def test_draining_host_is_not_ready_until_it_is_listed_as_ready() -> None:
    host_table = HostTable()
    host_table.update(Endpoint(1))
    host = host_table.by_id[1]
    host_table.update(Endpoint(1, EndpointStatus.DRAINING))
    assert host_table.by_id == {1: host}
    assert not host.ready
    host_table.update(Endpoint(1))
    assert host.ready


@pytest.mark.parametrize(("started_us", "kept"), [(7, True), (8, False)])
@on_loop
async def test_restarted_host_loses_its_idle_connections(started_us: int, kept: bool) -> None:
    """If the machine went down with the previous process, connections to that process would hang
    forever.
    """
    fake_host = await FakeHost().start()
    host_table = HostTable()
    addresses = {1: fake_host.address}
    host_table.update(Endpoint(1, started_us=7), addresses=addresses)
    host = host_table.by_id[1]
    outcomes: list[object] = []
    host_table.upstream.start(
        host, b"GET / HTTP/1.1\r\n\r\n", 5.0, lambda *outcome: outcomes.append(outcome)
    )
    await until(lambda: bool(host.idle))
    host_table.update(Endpoint(1, started_us=started_us), addresses=addresses)
    assert [connection.is_closing() for connection in host.idle] == [not kept]
    assert host.started_us == started_us


@on_loop
async def test_a_connect_that_began_before_a_restart_sends_nothing() -> None:
    """It would reach the new process, although it was allowed for the one before."""
    unaccepting = UnacceptingHost()
    host_table = HostTable()
    host_table.update(Endpoint(1, started_us=7), addresses={1: unaccepting.address})
    outcomes: list[Outcome] = []
    host_table.upstream.start(
        host_table.by_id[1], b"x", 5.0, lambda outcome, answer, at: outcomes.append(outcome)
    )
    await asyncio.sleep(0.05)
    host_table.update(Endpoint(1, started_us=8), addresses={1: unaccepting.address})
    await until(lambda: outcomes == [Outcome.NOT_SENT])
    unaccepting.close()
