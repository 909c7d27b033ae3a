"""More work than the core has time for, on sockets; each request accounted for."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from testbed.account import OutcomeCounts, RequestClass, count_outcomes, total
from testbed.clients import Load
from testbed.environment import Environment
from testbed.ration import ration, used_s
from testbed.schedule import steady, steps
from tests.net import Client, Message, on_loop, serve_ok, told_settings, until, world

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
MIX = (0.56, 0.44)
QUOTAS = [{"name": "greedy", "quota_per_s": 1.0}, {"name": "modest", "quota_per_s": 600.0}]
SHARE = 0.15  # of a core, so that the clients here can send several times what it serves


async def capacity(environment: Environment) -> tuple[float, Load]:
    """Requests a second answered within their objective, and the load that measured it."""
    load = environment.load(weights=MIX, prefix="w")
    await load.closed_loop(64, 1.0)
    whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
    return whole.within_objective / 1.0, load


def account(environment: Environment, load: Load, *others: Load) -> dict[str, OutcomeCounts]:
    """What became of all of `load`, with what must hold whatever the load."""
    rows = count_outcomes(load.records, REQUEST_CLASSES)
    whole = total(rows.values())
    assert (whole.late, whole.unanswered) == (0, 0)
    assert (
        whole.sent == whole.within_objective + whole.after_objective + whole.rejected + whole.failed
    )
    assert environment.violations(load, *others) == []
    return rows


@contextlib.asynccontextmanager
async def rationed(tmp_path: Path) -> AsyncIterator[tuple[Environment, float, Load]]:
    """A gateway with `SHARE` of a core, the requests a second that it serves, and their load."""
    async with Environment(
        tmp_path, REQUEST_CLASSES, hosts=9, delay=0.005, sockets=1024
    ) as environment:
        await environment.ration(SHARE)
        served, first = await capacity(environment)
        yield environment, served, first


def test_the_cpu_ration_of_the_testbed_is_kept() -> None:
    with subprocess.Popen([sys.executable, "-c", "while True: pass"]) as busy:
        before = used_s(busy.pid)
        assert ration(busy.pid, 0.3, 0.02, 0.6) > 10
        assert used_s(busy.pid) - before < 0.6 * 0.6
        busy.kill()
    assert ration(busy.pid, 0.3, 0.02, 5.0) == 0  # it has ended: nothing to wait for


@pytest.mark.parametrize("load_of", [2.0, 4.0])
@on_loop
async def test_a_core_with_a_cpu_quota_serves_what_it_can(tmp_path: Path, load_of: float) -> None:
    """Two and four times the capacity of a gateway that has 0.15 of a core.

    It used to read everything late and serve a twentieth of it; connections ended with no answer.
    How much is answered within its objective depends on the machine, and `bench.overload` measures
    it: here it must not come to nothing."""
    async with rationed(tmp_path) as (environment, served, first):
        load = environment.load(weights=MIX, most=900)
        await load.open_loop(steady(load_of * served, 2.5))
        rows = account(environment, load, first)
        whole = total(rows.values())
        assert whole.within_objective + whole.after_objective > 0.1 * 2.5 * served


@pytest.mark.parametrize(
    ("kinds", "tenants"),
    [
        (("status-check", "seat-checkout"), ("modest",) * 2),
        (("seat-checkout",) * 2, ("greedy", "modest")),
    ],
    ids=["class", "share"],
)
@on_loop
async def test_requests_of_least_weight_are_rejected_first(
    kinds: tuple[str, str], tenants: tuple[str, str]
) -> None:
    """Requests of two weights, or within and beyond a tenant's quota, ask in turn, as many of each.

    Hosts that hold every answer fill the gateway one request at a time, so that who is rejected
    does not depend on how fast the machine is."""
    free = asyncio.Event()

    async def hold(message: Message, writer: asyncio.StreamWriter) -> None:
        await free.wait()
        await serve_ok(message, writer)

    changes = {"orgs": QUOTAS, "over_share_worth": 0.05}
    async with world(*[hold] * 16, limits={"sockets": 256}, settings=told_settings(**changes)) as w:
        server, clients, taken = w.gateway.server, list[Client](), [0, 0]
        replies: list[list[asyncio.Task[Message]]] = [[], []]
        for turn in range(4 * server.connection_limit.most_connections):
            kind, refused, busy = turn % 2, server.admission.rejected, server.connection_limit.busy
            clients.append(await w.client().__aenter__())
            asking = clients[-1].ask(f"/{kinds[kind]}/k", Tenant=tenants[kind])
            replies[kind].append(asyncio.ensure_future(asking))
            await until(
                lambda r=refused, b=busy: (  # type: ignore[misc]
                    server.admission.rejected > r or server.connection_limit.busy > b
                )
            )
            taken[kind] += server.connection_limit.busy > busy
        assert (
            server.connection_limit.busy == sum(taken) == server.connection_limit.most_connections
        )
        # With no worth in it both would have as many. How many more is a matter of pace: less is
        # kept for them the longer ago the last one was in need. 10 and more here.
        assert taken[1] > taken[0] + 2
        free.set()
        for kind in (0, 1):
            got = Counter([(await reply).status for reply in replies[kind]])
            assert got == {200: taken[kind], 503: len(replies[kind]) - taken[kind]}
        for client in clients:
            await client.__aexit__()


@on_loop
async def test_service_recovers_when_the_cpu_quota_is_lifted(tmp_path: Path) -> None:
    """A gateway with 0.15 of a core gets twice what it serves, then as much, then a whole core.

    Every request has one answer in time meanwhile, and in the end all are served."""
    async with rationed(tmp_path) as (environment, served, first):
        load = environment.load(weights=MIX, most=900)
        sending = asyncio.ensure_future(load.open_loop(steps((2.0 * served, 2.0), (served, 2.0))))
        await until(lambda: len(load.records) > 3.5 * served)
        await environment.end_rations()
        await sending
        account(environment, load, first)
        last = [record for record in load.records if record.sent > load.records[-1].sent - 0.5]
        assert {record.status for record in last} == {200}


@on_loop
async def test_core_and_hosts_overloaded_together(tmp_path: Path) -> None:
    """A third of the hosts hang; then the core has part of its time, too.

    What hosts can do is still done: two controllers that fought would each reject for the other's
    sake."""
    async with Environment(
        tmp_path, REQUEST_CLASSES, hosts=9, delay=0.03, sockets=1024
    ) as environment:
        served, first = await capacity(environment)
        for host in environment.hosts[:3]:
            host.hangs = True
        hosts_alone = environment.load(weights=MIX, most=900, prefix="h")
        await hosts_alone.open_loop(steady(0.3 * served, 2.0))
        account(environment, hosts_alone, first)
        await environment.ration(2 * SHARE)
        both = environment.load(weights=MIX, most=900, prefix="b")
        await both.open_loop(steady(0.5 * served, 2.0))
        rows = account(environment, both, first, hosts_alone)
        alone = total(count_outcomes(hosts_alone.records, REQUEST_CLASSES).values())
        assert total(rows.values()).within_objective > 0.5 * alone.within_objective


@on_loop
async def test_one_tenant_far_beyond_its_quota_does_not_crowd_out_another(tmp_path: Path) -> None:
    """One tenant sends 1.5 times what the gateway serves, another a fifth of it.

    The quotas are one request a second, and 600 that the other stays within.

    The second one has the larger part of its requests answered within their objective."""
    async with Environment(
        tmp_path,
        REQUEST_CLASSES,
        hosts=9,
        delay=0.005,
        sockets=1024,
        orgs=QUOTAS,
        over_share_worth=0.05,
    ) as environment:
        await environment.ration(SHARE)
        served, first = await capacity(environment)
        greedy = environment.load(weights=MIX, most=400, tenants=("greedy",), prefix="g")
        modest = environment.load(weights=MIX, most=400, tenants=("modest",), prefix="m")
        await asyncio.gather(
            greedy.open_loop(steady(1.5 * served, 2.5)), modest.open_loop(steady(0.2 * served, 2.5))
        )
        rows = [
            total(count_outcomes(load.records, REQUEST_CLASSES).values())
            for load in (greedy, modest)
        ]
        assert all((row.late, row.unanswered) == (0, 0) for row in rows)
        greedy_part, modest_part = (row.within_objective / row.sent for row in rows)
        assert modest_part > 1.5 * greedy_part
        assert environment.violations(greedy, modest, first) == []
