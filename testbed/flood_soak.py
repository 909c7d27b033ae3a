"""A seeded soak of short runs: floods, a crowd, signals in series, kills at the earliest time.

In each run a gateway with little memory serves clients while floods come one after another. It is
upgraded or ended meanwhile, and killed as early as the platform may do so. Clients use their open
connections until then. Every request that did not meet a closed door has to be answered in time.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from testbed.account import (
    OutcomeCounts,
    Record,
    RequestClass,
    count_outcomes,
    percentile,
    rule_violations,
    total,
)
from testbed.clients import Load
from testbed.floods import FLOOD_PREFIX, FULL_SPEED, FloodKind
from testbed.gateway import settings
from testbed.hosts import Discovery, Host
from testbed.processes import start_part
from testbed.schedule import poisson
from testbed.sibling import SiblingGateway

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
HOST_COUNT = 9
ANSWER_S = 0.05
LONG_ANSWER_BYTES = 1_000_000
REQUESTS_PER_S = 100.0
MEMORY_MB = 96
SOCKET_LIMITS = (512, 1024)
FLOOD_S = 1.5
FLOOD_COUNT = 3  # in a run, before its signals
CROWD_FRACTION = 0.4  # of the runs
CROWD_CONNECTIONS = 700
# Connections of floods: of those that one client sends at full speed, and of the others.
FULL_SPEED_CONNECTIONS = (1, 8)
HELD_CONNECTIONS = (100, 600)
# SIGKILL comes so long after SIGTERM at the earliest.
KILL_S = max(request_class.deadline for request_class in REQUEST_CLASSES) + 0.7
# The front sends new connections for so long after SIGTERM.
FRONT_S = 0.4
AFTER_S = 1.0  # load after the last signal
SAMPLE_S = 0.02


@dataclass(slots=True)
class FloodSoakResult:
    """What one run showed."""

    seed: int
    sockets: int
    faults: list[str]
    peak_memory_mb: float = 0.0  # of all processes of the gateway together
    outcomes: OutcomeCounts = field(default_factory=OutcomeCounts)
    refused: int = 0  # requests that met a closed door, while no process served
    p99_s: float = 0.0
    killed: int = 0  # processes that had not ended at the earliest time of SIGKILL
    ejections: int = 0  # in the log of the last process
    violations: list[str] = field(default_factory=list)

    def report(self) -> dict[str, Any]:
        """The result as plain values for JSON, without the durations of all requests."""
        values = asdict(self)
        for durations in ("took", "rejection_took"):
            del values["outcomes"][durations]
        return values


class FloodSoak:
    """One run; `seed` draws everything that happens in it."""

    def __init__(self, folder: Path, seed: int) -> None:
        self._draw = random.Random(seed)
        self._seed = seed
        self._result = FloodSoakResult(seed, self._draw.choice(SOCKET_LIMITS), [])
        self._hosts = [Host(f"s-{number}", ANSWER_S) for number in range(HOST_COUNT)]
        for host in self._hosts:
            host.long_answer_bytes = LONG_ANSWER_BYTES
        self._folder = folder
        self._restarts = False  # the gateway is ended and started again, not upgraded
        self._ended_at = 0.0  # when the first process was told to end, monotonic (s)

    async def run(self) -> FloodSoakResult:
        """Run it; the result's `violations` are empty where everything held."""
        for host in self._hosts:
            await host.start()
        discovery = await Discovery(self._hosts).start()
        self._gateway = SiblingGateway(
            self._folder, discovery.port, settings(REQUEST_CLASSES), self._result.sockets
        )
        self._gateway.limit_memory(MEMORY_MB)
        await self._gateway.start()
        load = Load(self._gateway.address, REQUEST_CLASSES, (3, 1), seed=self._seed)
        sampling = asyncio.ensure_future(self._sample_memory())
        sending = asyncio.ensure_future(load.open_loop(poisson(REQUESTS_PER_S, 60.0, self._seed)))
        try:
            await self._faults()
            await asyncio.sleep(AFTER_S)
        finally:
            sending.cancel()
            await load.settle()
            sampling.cancel()
            log = await self._gateway.stop()
            discovery.stop()
            for host in self._hosts:
                host.stop()
        self._judge(load, log)
        return self._result

    async def _faults(self) -> None:
        crowd = self._draw.random() < CROWD_FRACTION
        floods = [asyncio.ensure_future(self._flood(FloodKind.IDLE, 60.0))] if crowd else []
        for _ in range(FLOOD_COUNT):
            await self._flood(self._draw.choice(list(FloodKind)), FLOOD_S)
        kind = self._draw.choice(list(FloodKind))
        floods.append(asyncio.ensure_future(self._flood(kind, KILL_S)))
        await asyncio.sleep(self._draw.uniform(0.0, 0.5))
        await self._signals()
        for flood in floods:
            flood.cancel()
        await asyncio.gather(*floods, return_exceptions=True)

    async def _flood(self, kind: FloodKind, seconds: float) -> None:
        """Run one flood in a process of its own."""
        if kind is FloodKind.IDLE:
            connections = CROWD_CONNECTIONS
        else:
            span = FULL_SPEED_CONNECTIONS if kind in FULL_SPEED else HELD_CONNECTIONS
            connections = self._draw.randint(*span)
        self._result.faults.append(f"{kind} {connections}")
        host, port = self._gateway.address
        options = {"host": host, "port": port, "kind": kind, "connections": connections}
        process = await start_part("flood", json.dumps(options | {"seconds": seconds}))
        try:
            await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def _signals(self) -> None:
        """Reload a few times, then upgrade, or end and start again."""
        for _ in range(self._draw.randint(0, 3)):
            self._gateway.reload()
            await asyncio.sleep(self._draw.uniform(0.0, 0.1))
        if self._draw.random() < 0.5:
            await self._upgrade()
        else:
            self._result.faults.append("restart")
            self._restarts = True
            before = self._gateway.process
            assert before is not None
            await self._end(before)
            await self._gateway.start()

    async def _upgrade(self) -> None:
        self._result.faults.append("upgrade")
        before = self._gateway.process
        assert before is not None
        process, admin = await self._gateway.start_sibling()
        if not await self._gateway.wait_until_ready(process, admin):
            self._result.violations.append("the new process was not ready in time")
            process.kill()
            await process.wait()
            return
        self._gateway.process, self._gateway.admin = process, admin
        await self._end(before)

    async def _end(self, process: asyncio.subprocess.Process) -> None:
        """End a process by a series of signals, and kill it at the earliest time."""
        self._ended_at = time.monotonic()
        for _ in range(self._draw.randint(1, 3)):
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), KILL_S)
        except TimeoutError:
            self._result.killed += 1
            process.kill()
        await process.communicate()

    async def _sample_memory(self) -> None:
        """Note the largest resident memory of all processes together, until cancelled."""
        seen: set[int] = set()
        page_mb = os.sysconf("SC_PAGE_SIZE") / 2**20
        while True:
            if self._gateway.process is not None:
                seen.add(self._gateway.pid)
            memory_mb = 0.0
            for pid in seen:
                with contextlib.suppress(OSError):  # it has ended
                    pages = Path(f"/proc/{pid}/statm").read_text().split()[1]
                    memory_mb += int(pages) * page_mb
            self._result.peak_memory_mb = max(self._result.peak_memory_mb, memory_mb)
            await asyncio.sleep(SAMPLE_S)

    def _turned_back(self, record: Record) -> bool:
        """Whether a request met a closed door, or one that was closing when nobody may come.

        After a restart begins the front sends no new connections; clients of this load do.
        """
        if record.refused:
            return True
        late_s = record.sent - self._ended_at
        return (
            not record.status
            and record.first_on_connection
            and self._restarts
            and FRONT_S < late_s < KILL_S
        )

    def _judge(self, load: Load, log: str) -> None:
        result = self._result
        records = [
            record for record in load.records if record.sent and not self._turned_back(record)
        ]
        result.refused = len(load.records) - len(records)
        result.outcomes = total(count_outcomes(records, REQUEST_CLASSES).values())
        result.p99_s = percentile(result.outcomes.took, 0.99)
        result.ejections = log.count("eject server")
        receipts = [
            receipt
            for host in self._hosts
            for receipt in host.receipts
            if not receipt.id.startswith(FLOOD_PREFIX)
        ]
        result.violations += rule_violations(load.records, receipts, REQUEST_CLASSES)
        result.violations += _unanswered(records, self._ended_at)
        if result.outcomes.failed:
            result.violations.append(f"{result.outcomes.failed} requests failed")
        if result.peak_memory_mb > MEMORY_MB:
            result.violations.append(f"{result.peak_memory_mb:.0f} MB of memory")
        if result.ejections:
            result.violations.append(f"{result.ejections} ejections of healthy hosts")


def _unanswered(records: Sequence[Record], ended_at: float) -> list[str]:
    """Requests without an answer, and when they were sent, counted from SIGTERM."""
    return [
        f"{record.id}: no answer, sent at {record.sent - ended_at:.3f} s"
        f" {'on a new connection' if record.first_on_connection else ''}"
        f" {'again' if record.resent else ''}"
        for record in records
        if not record.status
    ]


async def flood_soak(folder: Path, seeds: Sequence[int]) -> list[FloodSoakResult]:
    """Run one soak after another, with a folder for the files of each."""
    results = []
    for seed in seeds:
        own_folder = folder / str(seed)
        own_folder.mkdir()
        results.append(await FloodSoak(own_folder, seed).run())
    return results
