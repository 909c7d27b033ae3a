"""The Consul source against the stand-in agents, and a gateway that serves by it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

import consul as public
import pytest

from quillroad.config import ConsulHosts
from quillroad.discovery.consul.agents import Limits
from quillroad.discovery.consul.index import QueryPace
from quillroad.discovery.consul.source import ConsulSource, HealthQuery
from quillroad.discovery.feed import Feed
from quillroad.discovery.instance import InstanceStatus, Snapshot, SourceHealth, SourceListener
from quillroad.gateway import Gateway
from quillroad.overload.acceptor import open_listener
from testbed.consul import SERVICE, Agent, Catalogue, Registered
from tests.net import Client, FakeHost, make_config, on_loop, serve_ok, until

GRACE_S = 0.5  # rule 3
QUICK = QueryPace(wait_s=0.2, grace_s=0.2)
SOON = Limits(initial_wait_s=0.02, max_wait_s=0.1, denied_wait_s=0.1)


def told(*agents: Agent, **changes: Any) -> HealthQuery:
    return HealthQuery(
        ConsulHosts(tuple(agent.address for agent in agents), SERVICE, **changes), QUICK, SOON
    )


@dataclass
class Heard:
    """What a source has said."""

    lists: list[Snapshot] = field(default_factory=list)
    states: list[SourceHealth] = field(default_factory=list)

    def listener(self) -> SourceListener:
        return SourceListener(self.lists.append, lambda state: self.states.append(state.health))

    def up(self) -> set[str]:
        last = self.lists[-1].instances if self.lists else ()
        return {one.id.partition("/")[2] for one in last if one.status is InstanceStatus.UP}


Watched = tuple[Catalogue, list[Agent], Heard, ConsulSource]


@asynccontextmanager
async def consul(agents: int = 2, **changes: Any) -> AsyncIterator[Watched]:
    """A catalogue with three instances, agents, and a source that has its first list."""
    catalogue = Catalogue()
    for number in (1, 2, 3):
        catalogue.register(Registered(f"n{number}", f"s{number}", "127.0.0.1", 9000 + number))
    started = [await Agent(catalogue).start() for _ in range(agents)]
    heard = Heard()
    source = ConsulSource(told(*started, **changes), heard.listener(), 1)
    source.start()
    try:
        await until(lambda: bool(heard.lists))
        yield catalogue, started, heard, source
    finally:
        source.stop()
        for agent in started:
            agent.stop()


@on_loop
async def test_every_kind_of_change_is_heard() -> None:
    async with consul() as (catalogue, _, heard, _):
        assert heard.up() == {"s1", "s2", "s3"}
        changes: list[tuple[Callable[[], object], set[str]]] = [
            (lambda: catalogue.change("n1", "s1", maintenance="service"), {"s2", "s3"}),
            (lambda: catalogue.change("n1", "s1", maintenance=""), {"s1", "s2", "s3"}),
            (lambda: catalogue.change("n2", "s2", status="critical"), {"s1", "s3"}),
            (lambda: catalogue.change("n2", "s2", status="warning"), {"s1", "s2", "s3"}),
            (lambda: catalogue.change("n3", "s3", maintenance="node"), {"s1", "s2"}),
            (lambda: catalogue.deregister("n1", "s1"), {"s2"}),
            (lambda: catalogue.register(Registered("n4", "s4", "127.0.0.1", 9004)), {"s2", "s4"}),
            (catalogue.restore, {"s2", "s4"}),  # the index goes back
            (lambda: catalogue.change("n3", "s3", maintenance=""), {"s2", "s3", "s4"}),
        ]
        for change, wanted in changes:
            change()
            await until(lambda wanted=wanted: heard.up() == wanted)  # type: ignore[misc]


@on_loop
async def test_a_quiet_catalogue_is_not_asked_in_a_loop() -> None:
    async with consul(1) as (_, agents, heard, _):
        asked = agents[0].asked
        began = monotonic()
        await until(lambda: agents[0].asked >= asked + 4)
        assert monotonic() - began > 2 * QUICK.wait_s  # blocked for about four waits
        assert "index=" in agents[0].targets[-1]
        assert len(heard.lists) == 1  # and told nothing new


@pytest.mark.parametrize(
    "fault", ["silent", "no-leader", "denied", "busy", "half", "endless", "garbage"]
)
@on_loop
async def test_whatever_one_agent_does_the_other_is_heard(fault: str) -> None:
    async with consul() as (catalogue, agents, heard, _):
        agents[0].fail(fault)
        catalogue.change("n1", "s1", maintenance="service")
        await until(lambda: heard.up() == {"s2", "s3"})
        agents[0].fail("")
        catalogue.change("n1", "s1", maintenance="")
        await until(lambda: heard.up() == {"s1", "s2", "s3"})
        assert SourceHealth.STALE not in heard.states


@pytest.mark.parametrize("fault", ["silent", "no-leader", "denied", "half", "garbage"])
@on_loop
async def test_with_no_agent_the_last_list_stands_and_its_age_is_told(fault: str) -> None:
    async with consul() as (catalogue, agents, heard, _):
        for agent in agents:
            agent.fail(fault)
            agent.drop()
        await until(lambda: heard.states[-1] is SourceHealth.STALE)
        assert heard.up() == {"s1", "s2", "s3"}
        catalogue.change("n1", "s1", maintenance="service")
        for agent in agents:
            agent.fail("")
        await until(lambda: heard.up() == {"s2", "s3"})
        assert heard.states[-1] is SourceHealth.FRESH


@on_loop
async def test_a_token_is_read_anew_with_each_query(tmp_path: Path) -> None:
    path = tmp_path / "token"
    path.write_text("old\n")
    catalogue = Catalogue()
    agent = await Agent(catalogue, "new").start()
    heard = Heard()
    source = ConsulSource(told(agent, token_file=path), heard.listener(), 1)
    source.start()
    await until(lambda: agent.asked > 0)
    assert not heard.lists
    path.write_text("new\n")
    await until(lambda: bool(heard.lists))
    source.stop()
    agent.stop()


@on_loop
async def test_a_reload_moves_the_watch_and_the_old_one_says_nothing_more() -> None:
    async with consul(1) as (catalogue, agents, heard, source):
        other = Catalogue()
        other.register(Registered("n9", "s9", "127.0.0.1", 9009))
        agent = await Agent(other).start()
        source.use(told(agent))
        catalogue.change("n1", "s1", maintenance="service")
        await until(lambda: heard.up() == {"s9"})
        lists = len(heard.lists)
        catalogue.change("n2", "s2", maintenance="service")
        other.change("n9", "s9", status="warning")
        await until(lambda: len(agent.targets) > 2)
        assert all(one.instances[0].id == "n9/s9" for one in heard.lists[lists - 1 :])
        assert agents[0].asked <= 3
        agent.stop()


@on_loop
async def test_two_thousand_instances() -> None:
    async with consul() as (catalogue, _, heard, _):
        for number in range(4, 2001):
            catalogue.instances[f"n{number}", f"s{number}"] = Registered(
                f"n{number}", f"s{number}", "127.0.0.1", 9000 + number
            )
        catalogue.change("n1", "s1", maintenance="node")
        await until(lambda: len(heard.up()) == 1999)


@on_loop
async def test_a_public_client_library_reads_the_stand_in() -> None:
    """The stand-in speaks Consul's API and not only what our own source asks for."""
    async with consul(1) as (catalogue, agents, _, _):
        client = public.Consul(host="127.0.0.1", port=agents[0].port)
        index, nodes = await asyncio.to_thread(client.health.service, SERVICE)
        assert int(index) == catalogue.index
        assert [node["Service"]["ID"] for node in nodes] == ["s1", "s2", "s3"]
        asking = asyncio.ensure_future(
            asyncio.to_thread(client.health.service, SERVICE, index=index, wait="10s")
        )
        await until(lambda: any("wait=10s" in target for target in agents[0].targets))
        catalogue.deregister("n2", "s2")
        index, nodes = await asking
        assert [node["Service"]["ID"] for node in nodes] == ["s1", "s3"]


# Behind a gateway.


@asynccontextmanager
async def behind(
    count: int,
) -> AsyncIterator[tuple[Catalogue, list[Agent], list[FakeHost], Gateway]]:
    hosts = [await FakeHost(f"s{i}", serve_ok).start() for i in range(count)]
    catalogue = Catalogue()
    for host in hosts:
        catalogue.register(Registered(f"n-{host.name}", host.name, *host.address))
    agents = [await Agent(catalogue).start() for _ in range(2)]
    gateway = Gateway(
        make_config(1), asyncio.get_running_loop()
    )  # the platform's discovery is not there
    gateway.listen(open_listener("127.0.0.1", 0))
    feed = Feed(gateway.config.zones, gateway.config.machine_types, gateway.engine.update_endpoints)
    source = ConsulSource(told(*agents), feed.listener(), 1)
    source.start()
    try:
        await until(lambda: len(gateway.engine.hosts) == count)
        yield catalogue, agents, hosts, gateway
    finally:
        source.stop()
        gateway.stop()
        for agent in agents:
            agent.stop()


@pytest.mark.parametrize("lost", [False, True])
@pytest.mark.parametrize("change", ["service", "node", "critical", "deregister"])
@on_loop
async def test_new_work_stops_within_the_grace(change: str, lost: bool) -> None:
    """Also where one of the two agents has just died without a word: it still says that all is
    well.
    """
    async with behind(3) as (catalogue, agents, hosts, gateway):
        leaving = hosts[0]
        node = f"n-{leaving.name}"
        sent: list[tuple[float, int]] = []
        async with Client(gateway.port) as client:

            async def ask_until(condition: Callable[[], bool]) -> None:
                while not condition():
                    before = len(leaving.seen)
                    assert (await client.ask()).status == 200
                    if len(leaving.seen) > before:
                        sent.append((monotonic(), len(leaving.seen)))

            await ask_until(lambda: len(leaving.seen) > 3)
            if lost:
                agents[0].fail("silent")
            if change == "deregister":
                at = catalogue.deregister(node, leaving.name)
            elif change == "critical":
                at = catalogue.change(node, leaving.name, status="critical")
            else:
                at = catalogue.change(node, leaving.name, maintenance=change)
            total = sum(len(host.seen) for host in hosts)
            end = at + GRACE_S + 0.2
            await ask_until(
                lambda: monotonic() > end and sum(len(h.seen) for h in hosts) > total + 50
            )
        assert [time for time, _ in sent if time > at + GRACE_S] == []


@on_loop
async def test_an_empty_list_is_obeyed_and_requests_are_refused_at_once() -> None:
    async with behind(1) as (catalogue, _, hosts, gateway), Client(gateway.port) as client:
        assert (await client.ask()).status == 200
        catalogue.deregister(f"n-{hosts[0].name}", hosts[0].name)
        await until(lambda: not gateway.engine.hosts)
        seen = len(hosts[0].seen)
        assert (await client.ask("/status-check/k", Request_Timeout_Ms="300")).status == 503
        assert len(hosts[0].seen) == seen
