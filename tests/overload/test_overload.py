"""Overload of the gateway's core, over real sockets, with the outcome of every request checked."""

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
ROUTE_WEIGHTS = (0.56, 0.44)
QUOTAS = [{"name": "greedy", "quota_per_s": 1.0}, {"name": "modest", "quota_per_s": 600.0}]
CPU_FRACTION = 0.15  # of a core, so that the test clients can send several times what it serves


async def measure_capacity(environment: Environment) -> tuple[float, Load]:
    """Return the requests per second answered within their objective, and the load used."""
    load = environment.load(weights=ROUTE_WEIGHTS, prefix="w")
    await load.closed_loop(64, 1.0)
    totals = total(count_outcomes(load.records, REQUEST_CLASSES).values())
    return totals.within_objective / 1.0, load


def check_outcomes(
    environment: Environment, load: Load, *other_loads: Load
) -> dict[str, OutcomeCounts]:
    """Return the outcomes of `load`, after checking the conditions that hold for any load."""
    rows = count_outcomes(load.records, REQUEST_CLASSES)
    totals = total(rows.values())
    assert (totals.late, totals.unanswered) == (0, 0)
    assert (
        totals.sent
        == totals.within_objective + totals.after_objective + totals.rejected + totals.failed
    )
    assert environment.violations(load, *other_loads) == []
    return rows


@contextlib.asynccontextmanager
async def cpu_limited_gateway(tmp_path: Path) -> AsyncIterator[tuple[Environment, float, Load]]:
    """Yield a gateway with `CPU_FRACTION` of a core, its requests per second, and their load."""
    async with Environment(
        tmp_path, REQUEST_CLASSES, hosts=9, delay=0.005, sockets=1024
    ) as environment:
        await environment.ration(CPU_FRACTION)
        served_per_s, first_load = await measure_capacity(environment)
        yield environment, served_per_s, first_load


def test_the_testbed_enforces_the_cpu_limit() -> None:
    with subprocess.Popen([sys.executable, "-c", "while True: pass"]) as busy_process:
        cpu_before_s = used_s(busy_process.pid)
        assert ration(busy_process.pid, 0.3, 0.02, 0.6) > 10
        assert used_s(busy_process.pid) - cpu_before_s < 0.6 * 0.6
        busy_process.kill()
    # The process has ended: returns without waiting.
    assert ration(busy_process.pid, 0.3, 0.02, 5.0) == 0


@pytest.mark.parametrize("load_factor", [2.0, 4.0])
@on_loop
async def test_a_core_with_a_cpu_quota_still_serves_requests_under_overload(
    tmp_path: Path, load_factor: float
) -> None:
    """Two and four times the capacity of a gateway that has 0.15 of a core.

    The gateway read all requests late and served a twentieth of them; connections ended without an
    answer. How many answers meet their objective depends on the machine and is measured by
    `bench.overload`; here only a minimum is checked."""
    async with cpu_limited_gateway(tmp_path) as (environment, served_per_s, first_load):
        load = environment.load(weights=ROUTE_WEIGHTS, most=900)
        await load.open_loop(steady(load_factor * served_per_s, 2.5))
        rows = check_outcomes(environment, load, first_load)
        totals = total(rows.values())
        assert totals.within_objective + totals.after_objective > 0.1 * 2.5 * served_per_s


@pytest.mark.parametrize(
    ("routes", "tenants"),
    [
        (("status-check", "seat-checkout"), ("modest",) * 2),
        (("seat-checkout",) * 2, ("greedy", "modest")),
    ],
    ids=["class", "share"],
)
@on_loop
async def test_requests_of_lowest_weight_are_rejected_first(
    routes: tuple[str, str], tenants: tuple[str, str]
) -> None:
    """Requests of two weights, or within and beyond a tenant's quota, are sent alternately.

    Hosts hold back every answer, so that the gateway fills up one request at a time and the
    rejections do not depend on the speed of the machine."""
    release_answers = asyncio.Event()

    async def hold(message: Message, writer: asyncio.StreamWriter) -> None:
        await release_answers.wait()
        await serve_ok(message, writer)

    setting_changes = {"orgs": QUOTAS, "over_share_worth": 0.05}
    async with world(
        *[hold] * 16, limits={"sockets": 256}, settings=told_settings(**setting_changes)
    ) as w:
        server, clients, admitted_counts = w.gateway.server, list[Client](), [0, 0]
        replies: list[list[asyncio.Task[Message]]] = [[], []]
        for turn in range(4 * server.connection_limit.max_connections):
            kind, rejected_before, busy_before = (
                turn % 2,
                server.admission.rejected,
                server.connection_limit.busy,
            )
            clients.append(await w.client().__aenter__())
            pending_reply = clients[-1].ask(f"/{routes[kind]}/k", Tenant=tenants[kind])
            replies[kind].append(asyncio.ensure_future(pending_reply))
            await until(
                lambda r=rejected_before, b=busy_before: (  # type: ignore[misc]
                    server.admission.rejected > r or server.connection_limit.busy > b
                )
            )
            admitted_counts[kind] += server.connection_limit.busy > busy_before
        assert (
            server.connection_limit.busy
            == sum(admitted_counts)
            == server.connection_limit.max_connections
        )
        # Without priority weights, both kinds would be admitted equally often. The difference
        # depends on the pace, since the squeeze of the lower level decays over time; it was
        # measured as 10 or more.
        assert admitted_counts[1] > admitted_counts[0] + 2
        release_answers.set()
        for kind in (0, 1):
            statuses = Counter([(await reply).status for reply in replies[kind]])
            assert statuses == {
                200: admitted_counts[kind],
                503: len(replies[kind]) - admitted_counts[kind],
            }
        for client in clients:
            await client.__aexit__()


@on_loop
async def test_service_recovers_when_the_cpu_quota_is_lifted(tmp_path: Path) -> None:
    """A gateway with 0.15 of a core gets twice its capacity, then its capacity, then a full core.

    Every request must get one answer in time, and at the end all requests must be served."""
    async with cpu_limited_gateway(tmp_path) as (environment, served_per_s, first_load):
        load = environment.load(weights=ROUTE_WEIGHTS, most=900)
        sending = asyncio.ensure_future(
            load.open_loop(steps((2.0 * served_per_s, 2.0), (served_per_s, 2.0)))
        )
        await until(lambda: len(load.records) > 3.5 * served_per_s)
        await environment.end_rations()
        await sending
        check_outcomes(environment, load, first_load)
        last_records = [
            record for record in load.records if record.sent > load.records[-1].sent - 0.5
        ]
        assert {record.status for record in last_records} == {200}


@on_loop
async def test_core_and_hosts_overloaded_together(tmp_path: Path) -> None:
    """A third of the hosts hang; then the CPU of the gateway is limited as well.

    The remaining capacity must still be used: if load shedding for hosts and admission control
    interfered with each other, both would reject because of the other."""
    async with Environment(
        tmp_path, REQUEST_CLASSES, hosts=9, delay=0.03, sockets=1024
    ) as environment:
        served_per_s, first_load = await measure_capacity(environment)
        for host in environment.hosts[:3]:
            host.hangs = True
        hosts_alone = environment.load(weights=ROUTE_WEIGHTS, most=900, prefix="h")
        await hosts_alone.open_loop(steady(0.3 * served_per_s, 2.0))
        check_outcomes(environment, hosts_alone, first_load)
        await environment.ration(2 * CPU_FRACTION)
        combined_load = environment.load(weights=ROUTE_WEIGHTS, most=900, prefix="b")
        await combined_load.open_loop(steady(0.5 * served_per_s, 2.0))
        rows = check_outcomes(environment, combined_load, first_load, hosts_alone)
        alone = total(count_outcomes(hosts_alone.records, REQUEST_CLASSES).values())
        assert total(rows.values()).within_objective > 0.5 * alone.within_objective


@on_loop
async def test_one_tenant_far_beyond_its_quota_does_not_crowd_out_another(tmp_path: Path) -> None:
    """One tenant sends 1.5 times the capacity of the gateway, another one a fifth of it.

    The quota of the first is one request per second; the second stays within its quota of 600.
    The second tenant must get the larger fraction of its requests answered within their objective.
    """
    async with Environment(
        tmp_path,
        REQUEST_CLASSES,
        hosts=9,
        delay=0.005,
        sockets=1024,
        orgs=QUOTAS,
        over_share_worth=0.05,
    ) as environment:
        await environment.ration(CPU_FRACTION)
        served_per_s, first_load = await measure_capacity(environment)
        greedy = environment.load(weights=ROUTE_WEIGHTS, most=400, tenants=("greedy",), prefix="g")
        modest = environment.load(weights=ROUTE_WEIGHTS, most=400, tenants=("modest",), prefix="m")
        await asyncio.gather(
            greedy.open_loop(steady(1.5 * served_per_s, 2.5)),
            modest.open_loop(steady(0.2 * served_per_s, 2.5)),
        )
        rows = [
            total(count_outcomes(load.records, REQUEST_CLASSES).values())
            for load in (greedy, modest)
        ]
        assert all(
            (tenant_totals.late, tenant_totals.unanswered) == (0, 0) for tenant_totals in rows
        )
        greedy_fraction, modest_fraction = (
            tenant_totals.within_objective / tenant_totals.sent for tenant_totals in rows
        )
        assert modest_fraction > 1.5 * greedy_fraction
        assert environment.violations(greedy, modest, first_load) == []
