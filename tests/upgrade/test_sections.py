"""What one process tells another, and what that one believes of it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from quillroad.balancing.endpoint import EndpointStatus
from quillroad.config import ConsulHosts
from quillroad.discovery.instance import Instance, InstanceStatus, Snapshot
from quillroad.gateway import Gateway
from quillroad.upgrade.messages import AttemptsInFlight
from quillroad.upgrade.migration import MigratingServer
from quillroad.upgrade.sections import KNOWN, read, write
from quillroad.upgrade.sibling_engine import SiblingEngine
from tests.net import FakeDiscovery, FakeHost, make_config, on_loop, serve_ok, until


def process(discovery_port: int, **changes: Any) -> Gateway:
    """A gateway that listens nowhere and asks nobody yet."""
    config = make_config(discovery_port, **changes)
    return Gateway(config, asyncio.get_running_loop(), SiblingEngine, MigratingServer)


@asynccontextmanager
async def scene(count: int = 3) -> AsyncIterator[tuple[Gateway, FakeDiscovery, list[FakeHost]]]:
    """A gateway that has a list of `count` hosts from its discovery."""
    hosts = [await FakeHost(f"s-{i}", serve_ok).start() for i in range(count)]
    discovery = await FakeDiscovery(*(host.entry() for host in hosts)).start()
    gateway = process(discovery.port)
    gateway.start_parts()
    try:
        await until(lambda: len(gateway.engine.hosts) == count)
        yield gateway, discovery, hosts
    finally:
        gateway.stop()


def states(gateway: Gateway) -> dict[str, EndpointStatus]:
    engine = gateway.engine
    assert isinstance(engine, SiblingEngine)
    return {
        host.name: engine.balancer.hosts[number].endpoint.status
        for number, host in engine.hosts.items()
    }


@on_loop
async def test_a_process_without_a_list_takes_the_others() -> None:
    """Discovery is out of reach: the new one would have nobody to send to."""
    async with scene() as (old, _, _hosts):
        new = process(1)
        assert read(new, write(old), trial=True) == [] and not new.engine.hosts
        assert read(new, write(old), trial=False) == []
        assert states(new) == states(old) and len(states(new)) == 3


@on_loop
async def test_of_two_lists_of_one_discovery_the_later_counts() -> None:
    async with scene() as (old, discovery, hosts):
        behind = process(discovery.port)
        read(behind, write(old), trial=False)
        discovery.tell(hosts[0].entry(lifecycle="draining"))
        await until(lambda: EndpointStatus.DRAINING in states(old).values())
        ahead = write(old)
        assert read(behind, ahead, trial=False) == []
        assert (
            states(behind)["s-0"] is EndpointStatus.DRAINING
            and behind.source.position == old.source.position
        )
        stale = write(behind)
        discovery.tell(hosts[0].entry(lifecycle="up"), hosts[1].entry(lifecycle="removed"))
        await until(lambda: len(states(old)) == 2)
        read(old, stale, trial=False)  # what is older undoes nothing
        assert states(old) == {"s-0": EndpointStatus.READY, "s-2": EndpointStatus.READY}


@on_loop
async def test_a_host_that_came_back_a_moment_before_stays_cold() -> None:
    """Consul tells of no starts: the first list of a new process would call it warm."""
    instances = [Instance("a", ("127.0.0.1", 9)), Instance("b", ("127.0.0.1", 10))]
    processes = []
    for _ in range(2):
        config = replace(
            make_config(1), discovery=None, hosts=ConsulHosts((("127.0.0.1", 1),), "licences")
        )
        processes.append(
            Gateway(config, asyncio.get_running_loop(), SiblingEngine, MigratingServer)
        )
    old, new = processes
    assert old.feed is not None and new.feed is not None
    take = old.feed.listener().on_snapshot
    take(Snapshot(tuple(instances), 1))
    take(Snapshot((instances[0], replace(instances[1], status=InstanceStatus.UNHEALTHY)), 2))
    take(Snapshot(tuple(instances), 3))
    new.feed.listener().on_snapshot(Snapshot(tuple(instances), 1))
    engine = new.engine
    assert isinstance(engine, SiblingEngine)

    def starts() -> list[int]:
        return sorted((s.endpoint.started_us or 0) for s in engine.balancer.hosts.values())

    assert starts() == [0, 0]
    read(new, write(old), trial=False)
    assert starts()[0] == 0 and starts()[1] > 0


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"invented": b""}, "section 'invented': not known"),
        ({"module": None}, "section 'module': missing"),
        ({"module": b"junk"}, "section 'module': cannot be read"),
        ({"hosts": msgspec.msgpack.encode({"lines": 3})}, "section 'hosts': cannot be read"),
    ],
)
@on_loop
async def test_what_cannot_be_used_is_named_and_the_rest_taken(
    change: dict[str, bytes | None], said: str
) -> None:
    async with scene() as (old, _, _hosts):
        told = {name: body for name, body in (write(old) | change).items() if body is not None}
        new = process(1)
        left = read(new, told, trial=False)
        assert len(left) == 1 and left[0].startswith(said)
        taken = [name for name in KNOWN if name not in change]
        assert ("hosts" in taken) is bool(new.engine.hosts)


@on_loop
async def test_turns_at_cold_hosts_pass_with_the_listener() -> None:
    """Told of the other before it accepted, and of nothing after: it must not leave cold hosts
    for good.
    """
    async with scene() as (gateway, _, _hosts):
        engine = gateway.engine
        assert isinstance(engine, SiblingEngine)
        number = next(iter(engine.hosts))
        engine.learn(AttemptsInFlight([(number, 2, 1)], ["r-1"]), owns_slow_start=False)
        server = engine.balancer.hosts[number]
        assert not engine.balancer.owns_slow_start and (server.in_flight, server.overdue) == (2, 1)
        assert engine.is_unanswered("r-1") and engine.attempts_in_flight() is None
        engine.set_slow_start_owner(True)
        assert engine.balancer.owns_slow_start and (server.in_flight, server.overdue) == (2, 1)
        engine.forget_sibling()
        assert (server.in_flight, server.overdue) == (0, 0) and not engine.is_unanswered("r-1")
