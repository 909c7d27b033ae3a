"""Hosts that drain, leave, change address or warm up while requests are in flight."""

from __future__ import annotations

import time

import pytest

from quillroad.discovery.reducer import endpoint_id
from tests.net import (
    FakeHost,
    UnacceptingHost,
    answer,
    hang,
    on_loop,
    serve_ok,
    told_settings,
    until,
    world,
)


@pytest.mark.parametrize("lifecycle", ["draining", "removed"])
@on_loop
async def test_a_drained_host_gets_no_new_requests(lifecycle: str) -> None:
    """A drained or removed host must get no request after the gateway has read the change."""
    async with world(serve_ok, serve_ok) as w, w.client() as client:
        leaving = w.hosts[0]
        while not leaving.seen:
            await client.ask()
        w.discovery.tell(leaving.entry(lifecycle=lifecycle))
        hosts, number = w.gateway.engine.hosts, endpoint_id(leaving.name)
        await until(lambda: number not in hosts or not hosts[number].ready)
        await client.ask()  # requests in flight have arrived by now
        before = len(leaving.seen)
        for _ in range(30):
            assert (await client.ask()).status == 200
        assert len(leaving.seen) == before


@on_loop
async def test_requests_at_a_drained_host_are_still_answered() -> None:
    """A drain must not abort requests that the host has begun."""
    async with world(hang) as w, w.client() as client:
        client.send()
        await w.hosts[0].came.get()
        w.discovery.tell(w.hosts[0].entry(lifecycle="draining"))
        await until(lambda: not next(iter(w.gateway.engine.hosts.values())).ready)
        w.hosts[0].writers[0].write(answer(b"finished"))
        assert (await client.receive()).body == b"finished"


@on_loop
async def test_a_drain_during_a_connect_moves_the_request() -> None:
    """The connection to the drained host is never established: another host gets the request."""
    dead = UnacceptingHost()
    async with world() as w, w.client() as client:
        stuck = FakeHost("s-stuck")
        stuck.address = dead.address
        w.discovery.tell(stuck.entry())
        await until(lambda: len(w.gateway.engine.hosts) == 1)
        client.send()
        await until(lambda: any(h.connecting for h in w.gateway.engine.hosts.values()))
        good = await FakeHost("s-good").start()
        w.discovery.tell(stuck.entry(lifecycle="draining"), good.entry())
        assert (await client.receive()).status == 200
        assert len(good.seen) == 1
    dead.close()


@on_loop
async def test_a_host_is_reached_at_its_new_address() -> None:
    """Connections to the old address are closed: another service may use that address now."""
    async with world(serve_ok) as w, w.client() as client:
        await client.ask()
        moved = await FakeHost("s-0").start()
        w.discovery.tell(moved.entry())
        await w.hosts[0].closed.get()
        assert (await client.ask()).status == 200
        assert len(moved.seen) == 1


@on_loop
async def test_start_times_before_this_process_began_count() -> None:
    """A host started a second ago warms up, one started an hour ago does not, even if both started
    before this process.
    """
    rules = {"cold": 60_000_000, "cold_from": 0.3, "fall_multiple": 3.0}
    async with world(serve_ok, settings=told_settings(guarantees=rules)) as w:
        now_ms = time.time_ns() // 1_000_000
        assert abs(w.gateway.engine.now_us() / 1000 - now_ms) < 60_000
        started_recently, started_long_ago = (
            await FakeHost("s-young").start(),
            await FakeHost("s-old").start(),
        )
        w.discovery.tell(
            started_recently.entry(startedAtMs=now_ms - 1000),
            started_long_ago.entry(startedAtMs=now_ms - 3_600_000),
        )
        await until(lambda: len(w.gateway.engine.hosts) == 3)
        balancer = w.gateway.engine._balancer
        assert [s.endpoint.id for s in balancer.warming] == [endpoint_id("s-young")]


@on_loop
async def test_a_warming_host_is_not_overloaded() -> None:
    """Of fifty simultaneous requests a warming host gets no more than its slow-start share."""
    rules = {"cold": 60_000_000, "cold_from": 0.3, "fall_multiple": 1.0}
    async with world(hang, hang, settings=told_settings(guarantees=rules)) as w:
        cold = await FakeHost("s-cold", hang).start()
        w.discovery.tell(cold.entry(startedAtMs=time.time_ns() // 1_000_000))
        await until(lambda: len(w.gateway.engine.hosts) == 3)
        clients = [await w.client().__aenter__() for _ in range(50)]
        for client in clients:
            client.send()
        await until(lambda: len(w.hosts[0].seen) + len(w.hosts[1].seen) >= 6)
        assert len(cold.seen) <= 1
        for client in clients:
            client.writer.close()
