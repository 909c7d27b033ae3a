"""Floods against a gateway process with the least memory that operators grant: 96 MB."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from testbed.account import RequestClass, count_outcomes, percentile, total
from testbed.environment import Environment
from testbed.floods import FLOOD_PREFIX, FloodKind
from testbed.gateway import GatewayProcess
from testbed.processes import start_part
from testbed.schedule import poisson
from tests.net import on_loop_within

MEMORY_MB = 96
SOCKETS = 1024
REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
REQUESTS_PER_S = 60.0
FLOOD_S = 3.0
SAMPLE_S = 0.02
LONG_ANSWER_BYTES = 2_000_000


async def peak_memory_mb(gateway: GatewayProcess) -> float:
    """Sample the resident memory until cancelled; return the largest value."""
    peak_mb = 0.0
    try:
        while True:
            peak_mb = max(peak_mb, gateway.memory_mb())
            await asyncio.sleep(SAMPLE_S)
    except asyncio.CancelledError:
        return peak_mb


@pytest.mark.parametrize(
    ("kind", "connections"),
    [
        (FloodKind.STOPPED_HEADS, 800),
        (FloodKind.STOPPED_BODIES, 800),
        (FloodKind.UNREAD_ANSWERS, 200),
        (FloodKind.NEW_NAMES, 200),
        (FloodKind.SHORT_FIELDS, 40),
        (FloodKind.SMALL_CHUNKS, 6),
        (FloodKind.UNSOUND, 100),
    ],
)
@on_loop_within(40.0)
async def test_a_flood_neither_exceeds_the_memory_limit_nor_delays_other_clients(
    tmp_path: Path, kind: FloodKind, connections: int
) -> None:
    async with Environment(
        tmp_path,
        REQUEST_CLASSES,
        10,
        delay=0.03,
        sockets=SOCKETS,
        operators=True,
        memory_mb=MEMORY_MB,
    ) as environment:
        for host in environment.hosts:
            host.long_answer_bytes = LONG_ANSWER_BYTES
        gateway = environment.gateway
        sampling = asyncio.ensure_future(peak_memory_mb(gateway))
        options = {"host": "127.0.0.1", "port": gateway.port, "kind": kind}
        options |= {"connections": connections, "seconds": FLOOD_S}
        flood = await start_part("flood", json.dumps(options))
        load = environment.load()
        await load.open_loop(poisson(REQUESTS_PER_S, FLOOD_S + 1.0, seed=1))
        out, _ = await flood.communicate()
        assert json.loads(out)["connected"] >= connections // 2
        sampling.cancel()
        assert await sampling < MEMORY_MB
        outcomes = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        assert (outcomes.unanswered, outcomes.late, outcomes.failed, load.unsent) == (0, 0, 0, 0)
        assert percentile(outcomes.took, 0.99) < REQUEST_CLASSES[0].latency_objective
        assert percentile(outcomes.rejection_took, 0.99) < REQUEST_CLASSES[0].latency_objective
        receipts = [one for one in environment.receipts() if not one.id.startswith(FLOOD_PREFIX)]
        assert len(receipts) >= outcomes.within_objective
    assert "stalled" not in environment.log
    assert "eject server=" not in environment.log
