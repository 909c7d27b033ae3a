"""Many clients at once against the whole program, with hosts in trouble, drains and restarts.

Each request is accounted for; judged by order and counts.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from testbed.account import RequestClass, count_outcomes, total
from testbed.environment import Environment
from testbed.schedule import steady, steps
from tests.net import on_loop, until

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
SHORT_DEADLINES = [
    RequestClass("status-check", 0.58, 0.9, 2.0),
    RequestClass("seat-checkout", 0.75, 0.9, 8.0, keyed=True, body_bytes=200),
]
GRACE_S = 0.5  # rule 3


@on_loop
async def test_1000_clients_connect_at_once_to_a_busy_gateway(tmp_path: Path) -> None:
    """A gateway serves 200 requests a second when a thousand clients connect in one instant.

    Those who were there keep being served, and each of the thousand gets one answer in time."""
    async with Environment(tmp_path, REQUEST_CLASSES, hosts=12) as environment:
        busy, storm = environment.load(seed=1, keys=50), environment.load(seed=2, prefix="storm-")
        busy_task = asyncio.ensure_future(busy.open_loop(steady(200, 3.0)))
        await until(lambda: len(busy.records) > 100)
        await storm.burst(1000)
        await busy_task
        whole = total(count_outcomes(storm.records, REQUEST_CLASSES).values())
        assert (whole.sent, whole.late, whole.unanswered) == (1000, 0, 0)
        assert (
            whole.within_objective + whole.after_objective + whole.rejected + whole.failed == 1000
        )
        calm = total(count_outcomes(busy.records, REQUEST_CLASSES).values())
        assert (calm.late, calm.unanswered) == (0, 0)
        assert calm.within_objective > calm.sent / 2
        assert environment.violations(busy, storm) == []


@on_loop
async def test_300_clients_while_half_of_the_hosts_hang_and_one_drains(tmp_path: Path) -> None:
    """Six of twelve hosts hang, 300 clients ask again and again, and one host is told to drain.

    Nobody is left without an answer or gets one late, and the draining host gets nothing after its
    grace."""
    async with Environment(tmp_path, REQUEST_CLASSES, hosts=12) as environment:
        for host in environment.hosts[:6]:
            host.hangs = True
        load = environment.load()
        task = asyncio.ensure_future(load.closed_loop(300, 2.0))
        await until(lambda: len(environment.hosts[-1].receipts) > 0)
        told = environment.tell(environment.hosts[-1], lifecycle="draining")
        await task
        whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        assert (whole.late, whole.unanswered) == (0, 0)
        assert whole.within_objective > 0
        assert environment.violations(load) == []
        assert [r for r in environment.hosts[-1].receipts if r.at > told + GRACE_S] == []


@on_loop
async def test_connects_to_a_draining_gateway_are_answered(tmp_path: Path) -> None:
    """SIGTERM, and the front still sends for a moment: whoever got a connection gets an answer."""
    async with Environment(tmp_path, REQUEST_CLASSES, hosts=6, delay=0.01) as environment:
        load = environment.load()
        await load.burst(50)
        environment.gateway.drain()
        await load.burst(250)
        whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        assert (whole.sent, whole.late, whole.unanswered) == (300, 0, 0)
        assert environment.violations(load) == []
        process = environment.gateway.process
        assert process is not None
        assert await process.wait() == 0


@on_loop
async def test_waves_of_overload_leave_nothing_behind(tmp_path: Path) -> None:
    """Three waves of more than the core can serve, twice.

    Rejections while they last, then service as if nothing had been; connections and memory go back
    to where they were."""
    async with Environment(tmp_path, REQUEST_CLASSES, hosts=12) as environment:
        load = environment.load(most=600)
        await load.open_loop(steady(150, 0.5))
        descriptors = environment.gateway.descriptors()
        waves = [(4500.0, 0.7), (0.0, 0.7)] * 3
        await load.open_loop(steps(*waves))
        memory = environment.gateway.memory_mb()
        overload = len(load.records)
        await load.open_loop(steps(*waves))
        assert environment.gateway.memory_mb() < memory + 6
        last = len(load.records)
        await load.open_loop(steady(100, 2.0))
        whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        assert (whole.late, whole.unanswered) == (0, 0)
        assert {record.status for record in load.records[last + 100 :]} == {
            200
        }  # back within a second
        assert overload > 1000
        assert environment.violations(load) == []
        await until(lambda: environment.gateway.descriptors() <= descriptors + 12 * 4)


@on_loop
async def test_two_gateways_do_not_overload_a_warming_host(tmp_path: Path) -> None:
    """Two gateways start, the clients of both reconnect, and one host is warming up.

    What both send it within any window of a second stays under the budget that both are told of."""
    guarantees = {
        "drain_grace": 500_000,
        "cold": 8_000_000,
        "cold_from": 0.3,
        "fall_multiple": 3.0,
        "tip_after": 1_000_000,
    }
    async with Environment(
        tmp_path, REQUEST_CLASSES, hosts=6, delay=0.03, gateways=2, guarantees=guarantees
    ) as environment:
        cold = environment.hosts[0]
        started = time.time()
        environment.tell(cold, startedAtMs=int(started * 1000))
        loads = [environment.load(0), environment.load(1)]
        before = len(cold.receipts)
        await asyncio.gather(*(load.closed_loop(150, 3.0) for load in loads))
        assert environment.violations(*loads) == []
        for load in loads:
            whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
            assert (whole.late, whole.unanswered) == (0, 0)
            assert whole.within_objective > 0
        times = [receipt.at for receipt in cold.receipts[before:]]
        # A request's work as the gateways first guess it: a quarter of the aim. Capacity is one
        # second of work a second; at the coldest that is 0.3, and the multiple of it 0.9 s of work
        # in any 1 s.
        dearest = max(request_class.latency_objective for request_class in REQUEST_CLASSES) / 4
        warmest = 0.3 + 0.7 * 3.5 / 8.0  # by the end of the run
        for at in times:
            window = [t for t in times if at <= t < at + 1.0]
            assert len(window) * min(dearest, 0.03) <= 3.0 * warmest
        rates = [sum(1 for r in host.receipts) for host in environment.hosts[1:]]
        assert len(times) < sum(rates) / len(rates)


@on_loop
async def test_300_clients_that_reconnect_are_answered_in_time(tmp_path: Path) -> None:
    """300 clients connect in one instant, send at once, and ask again and again.

    Half of the first requests used to be served after their deadline."""
    async with Environment(tmp_path, SHORT_DEADLINES, hosts=12) as environment:
        load = environment.load()
        await load.closed_loop(300, 2.0)
        whole = total(count_outcomes(load.records, SHORT_DEADLINES).values())
        assert (whole.late, whole.unanswered) == (0, 0)
        # All of it is in aim, and whoever is refused only asks again: none is, but where the core
        # (of a busy machine) serves fewer than 300 within an aim.
        assert (
            whole.rejected == 0
            or whole.within_objective / 2.0 * SHORT_DEADLINES[0].latency_objective < 1.3 * 300
        )
        assert sum(record.first_on_connection for record in load.records) == 300
        assert whole.within_objective > 300
        assert environment.violations(load) == []


@on_loop
async def test_silent_clients_with_few_descriptors_cost_nobody_an_answer(tmp_path: Path) -> None:
    """Descriptors for 200, 300 clients at once, and 150 more that connect and say nothing.

    Half of those that asked used to get a close, which nobody can tell from a crash. Each of them
    gets one answer in time."""
    async with Environment(tmp_path, SHORT_DEADLINES, hosts=12, sockets=200) as environment:
        load = environment.load()
        await load.burst(300, silent=150)
        whole = total(count_outcomes(load.records, SHORT_DEADLINES).values())
        assert whole.sent == 300
        assert (whole.late, whole.unanswered) == (0, 0)
        assert whole.within_objective + whole.after_objective + whole.rejected + whole.failed == 300
        assert whole.within_objective >= 90
        assert environment.violations(load) == []
        await until(lambda: environment.gateway.descriptors() < 200)
