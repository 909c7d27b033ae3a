"""Tests of the Consul source with simulated agents, alone and behind a gateway."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

import consul as consul_client
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

GRACE_S = 0.5  # after a change, in which requests may still be sent to a host that leaves
SHORT_PACE = QueryPace(wait_s=0.2, grace_s=0.2)
SHORT_LIMITS = Limits(initial_wait_s=0.02, max_wait_s=0.1, denied_wait_s=0.1)


def health_query(*agents: Agent, **changes: Any) -> HealthQuery:
    return HealthQuery(
        ConsulHosts(tuple(agent.address for agent in agents), SERVICE, **changes),
        SHORT_PACE,
        SHORT_LIMITS,
    )


@dataclass
class RecordingListener:
    """Lists and states that a source has reported."""

    lists: list[Snapshot] = field(default_factory=list)
    states: list[SourceHealth] = field(default_factory=list)

    def listener(self) -> SourceListener:
        return SourceListener(self.lists.append, lambda state: self.states.append(state.health))

    def up(self) -> set[str]:
        last = self.lists[-1].instances if self.lists else ()
        return {
            instance.id.partition("/")[2]
            for instance in last
            if instance.status is InstanceStatus.UP
        }


RunningSource = tuple[Catalogue, list[Agent], RecordingListener, ConsulSource]


@asynccontextmanager
async def running_source(agents: int = 2, **changes: Any) -> AsyncIterator[RunningSource]:
    """Run a catalogue with three instances, agents, and a source that has its first list."""
    catalogue = Catalogue()
    for number in (1, 2, 3):
        catalogue.register(Registered(f"n{number}", f"s{number}", "127.0.0.1", 9000 + number))
    started = [await Agent(catalogue).start() for _ in range(agents)]
    recorded = RecordingListener()
    source = ConsulSource(health_query(*started, **changes), recorded.listener(), 1)
    source.start()
    try:
        await until(lambda: bool(recorded.lists))
        yield catalogue, started, recorded, source
    finally:
        source.stop()
        for agent in started:
            agent.stop()


@on_loop
async def test_source_reports_each_kind_of_change() -> None:
    async with running_source() as (catalogue, _, recorded, _):
        assert recorded.up() == {"s1", "s2", "s3"}
        changes: list[tuple[Callable[[], object], set[str]]] = [
            (lambda: catalogue.change("n1", "s1", maintenance="service"), {"s2", "s3"}),
            (lambda: catalogue.change("n1", "s1", maintenance=""), {"s1", "s2", "s3"}),
            (lambda: catalogue.change("n2", "s2", status="critical"), {"s1", "s3"}),
            (lambda: catalogue.change("n2", "s2", status="warning"), {"s1", "s2", "s3"}),
            (lambda: catalogue.change("n3", "s3", maintenance="node"), {"s1", "s2"}),
            (lambda: catalogue.deregister("n1", "s1"), {"s2"}),
            (lambda: catalogue.register(Registered("n4", "s4", "127.0.0.1", 9004)), {"s2", "s4"}),
            (catalogue.restore, {"s2", "s4"}),  # the index is reset to a lower one
            (lambda: catalogue.change("n3", "s3", maintenance=""), {"s2", "s3", "s4"}),
        ]
        for change, expected in changes:
            change()
            await until(lambda expected=expected: recorded.up() == expected)  # type: ignore[misc]


@on_loop
async def test_unchanged_catalogue_is_queried_with_blocking_queries_only() -> None:
    async with running_source(1) as (_, agents, recorded, _):
        asked = agents[0].asked
        began = monotonic()
        await until(lambda: agents[0].asked >= asked + 4)
        assert (
            monotonic() - began > 2 * SHORT_PACE.wait_s
        )  # four queries blocked for about `wait_s` each
        assert "index=" in agents[0].targets[-1]
        assert len(recorded.lists) == 1  # no further list is reported


@pytest.mark.parametrize(
    "fault", ["silent", "no-leader", "denied", "busy", "half", "endless", "garbage"]
)
@on_loop
async def test_change_is_reported_while_one_agent_fails(fault: str) -> None:
    async with running_source() as (catalogue, agents, recorded, _):
        agents[0].fail(fault)
        catalogue.change("n1", "s1", maintenance="service")
        await until(lambda: recorded.up() == {"s2", "s3"})
        agents[0].fail("")
        catalogue.change("n1", "s1", maintenance="")
        await until(lambda: recorded.up() == {"s1", "s2", "s3"})
        assert SourceHealth.STALE not in recorded.states


@pytest.mark.parametrize("fault", ["silent", "no-leader", "denied", "half", "garbage"])
@on_loop
async def test_last_list_stays_and_state_is_stale_while_all_agents_fail(fault: str) -> None:
    async with running_source() as (catalogue, agents, recorded, _):
        for agent in agents:
            agent.fail(fault)
            agent.drop()
        await until(lambda: recorded.states[-1] is SourceHealth.STALE)
        assert recorded.up() == {"s1", "s2", "s3"}
        catalogue.change("n1", "s1", maintenance="service")
        for agent in agents:
            agent.fail("")
        await until(lambda: recorded.up() == {"s2", "s3"})
        assert recorded.states[-1] is SourceHealth.FRESH


@on_loop
async def test_token_file_is_read_for_each_query(tmp_path: Path) -> None:
    path = tmp_path / "token"
    path.write_text("old\n")
    catalogue = Catalogue()
    agent = await Agent(catalogue, "new").start()
    recorded = RecordingListener()
    source = ConsulSource(health_query(agent, token_file=path), recorded.listener(), 1)
    source.start()
    await until(lambda: agent.asked > 0)
    assert not recorded.lists
    path.write_text("new\n")
    await until(lambda: bool(recorded.lists))
    source.stop()
    agent.stop()


@on_loop
async def test_switched_source_reports_the_new_service_only() -> None:
    async with running_source(1) as (catalogue, agents, recorded, source):
        other = Catalogue()
        other.register(Registered("n9", "s9", "127.0.0.1", 9009))
        agent = await Agent(other).start()
        source.use(health_query(agent))
        catalogue.change("n1", "s1", maintenance="service")
        await until(lambda: recorded.up() == {"s9"})
        lists = len(recorded.lists)
        catalogue.change("n2", "s2", maintenance="service")
        other.change("n9", "s9", status="warning")
        await until(lambda: len(agent.targets) > 2)
        assert all(snapshot.instances[0].id == "n9/s9" for snapshot in recorded.lists[lists - 1 :])
        assert agents[0].asked <= 3
        agent.stop()


@on_loop
async def test_change_among_two_thousand_instances_is_reported() -> None:
    async with running_source() as (catalogue, _, recorded, _):
        for number in range(4, 2001):
            catalogue.instances[f"n{number}", f"s{number}"] = Registered(
                f"n{number}", f"s{number}", "127.0.0.1", 9000 + number
            )
        catalogue.change("n1", "s1", maintenance="node")
        await until(lambda: len(recorded.up()) == 1999)


@on_loop
async def test_public_client_library_reads_the_simulated_agent() -> None:
    """The simulated agent implements Consul's API, not only what this project's source needs."""
    async with running_source(1) as (catalogue, agents, _, _):
        client = consul_client.Consul(host="127.0.0.1", port=agents[0].port)
        index, nodes = await asyncio.to_thread(client.health.service, SERVICE)
        assert int(index) == catalogue.index
        assert [node["Service"]["ID"] for node in nodes] == ["s1", "s2", "s3"]
        pending_query = asyncio.ensure_future(
            asyncio.to_thread(client.health.service, SERVICE, index=index, wait="10s")
        )
        await until(lambda: any("wait=10s" in target for target in agents[0].targets))
        catalogue.deregister("n2", "s2")
        index, nodes = await pending_query
        assert [node["Service"]["ID"] for node in nodes] == ["s1", "s3"]


# A gateway whose hosts come from the Consul source.


@asynccontextmanager
async def gateway_with_consul(
    count: int,
) -> AsyncIterator[tuple[Catalogue, list[Agent], list[FakeHost], Gateway]]:
    hosts = [await FakeHost(f"s{i}", serve_ok).start() for i in range(count)]
    catalogue = Catalogue()
    for host in hosts:
        catalogue.register(Registered(f"n-{host.name}", host.name, *host.address))
    agents = [await Agent(catalogue).start() for _ in range(2)]
    gateway = Gateway(
        make_config(1), asyncio.get_running_loop()
    )  # nothing listens at the platform's discovery address
    gateway.listen(open_listener("127.0.0.1", 0))
    feed = Feed(gateway.config.zones, gateway.config.machine_types, gateway.engine.update_endpoints)
    source = ConsulSource(health_query(*agents), feed.listener(), 1)
    source.start()
    try:
        await until(lambda: len(gateway.engine.hosts) == count)
        yield catalogue, agents, hosts, gateway
    finally:
        source.stop()
        gateway.stop()
        for agent in agents:
            agent.stop()


@pytest.mark.parametrize("agent_lost", [False, True])
@pytest.mark.parametrize("change", ["service", "node", "critical", "deregister"])
@on_loop
async def test_no_request_is_sent_to_a_leaving_host_after_the_grace_period(
    change: str, agent_lost: bool
) -> None:
    """Guards against a dead agent whose last list, with the host in service, stays in use: one of
    the two agents stops answering just before the change.
    """
    async with gateway_with_consul(3) as (catalogue, agents, hosts, gateway):
        leaving = hosts[0]
        node = f"n-{leaving.name}"
        sends: list[tuple[float, int]] = []
        async with Client(gateway.port) as client:

            async def send_requests_until(condition: Callable[[], bool]) -> None:
                while not condition():
                    before = len(leaving.seen)
                    assert (await client.ask()).status == 200
                    if len(leaving.seen) > before:
                        sends.append((monotonic(), len(leaving.seen)))

            await send_requests_until(lambda: len(leaving.seen) > 3)
            if agent_lost:
                agents[0].fail("silent")
            if change == "deregister":
                at = catalogue.deregister(node, leaving.name)
            elif change == "critical":
                at = catalogue.change(node, leaving.name, status="critical")
            else:
                at = catalogue.change(node, leaving.name, maintenance=change)
            total = sum(len(host.seen) for host in hosts)
            end = at + GRACE_S + 0.2
            await send_requests_until(
                lambda: monotonic() > end and sum(len(h.seen) for h in hosts) > total + 50
            )
        assert [time for time, _ in sends if time > at + GRACE_S] == []


@on_loop
async def test_empty_list_removes_all_hosts_and_requests_are_rejected() -> None:
    async with (
        gateway_with_consul(1) as (catalogue, _, hosts, gateway),
        Client(gateway.port) as client,
    ):
        assert (await client.ask()).status == 200
        catalogue.deregister(f"n-{hosts[0].name}", hosts[0].name)
        await until(lambda: not gateway.engine.hosts)
        seen = len(hosts[0].seen)
        assert (await client.ask("/status-check/k", Request_Timeout_Ms="300")).status == 503
        assert len(hosts[0].seen) == seen
