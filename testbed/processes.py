"""Starts the processes of the testbed and joins their accounts."""

from __future__ import annotations

import asyncio
import json
import sys
from asyncio.subprocess import DEVNULL, PIPE
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from testbed.account import OutcomeCounts, RequestClass
from testbed.gateway import ROOT

# Period of a ration: the kernel counts a running process's time every few milliseconds only, so
# that a shorter one would be held to its share too coarsely.
PERIOD_S = 0.05
RATION_LIFETIME_S = 600.0  # after which a forgotten ration ends by itself
MOST_LINE_BYTES = 2**27  # of the one line in which a worker gives its account


async def start_part(*command: str) -> asyncio.subprocess.Process:
    """Start `python -m testbed` with these arguments, its input and output as pipes."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "testbed",
        *command,
        cwd=ROOT,
        stdin=PIPE,
        stdout=PIPE,
        stderr=DEVNULL,
        limit=MOST_LINE_BYTES,
    )


async def hold(pid: int, fraction: float, core: int | None = None) -> asyncio.subprocess.Process:
    """Hold a process to a part of its core (0 to 1) while it lives, ten minutes at the most.

    Runs in a process of its own: a busy one could not stop another in time.
    """
    options: dict[str, Any] = {
        "pid": pid,
        "share": fraction,
        "period": PERIOD_S,
        "seconds": RATION_LIFETIME_S,
    }
    if core is not None:
        options["core"] = core
    process = await start_part("ration", json.dumps(options))
    assert process.stdout is not None
    await process.stdout.readline()
    return process


class HostsProcess:
    """Stand-in hosts and their discovery, in a process of their own."""

    def __init__(
        self, count: int, delay: float = 0.0, core: int | None = None, answer_bytes: int = 0
    ) -> None:
        self._options: dict[str, Any] = {
            "count": count,
            "delay": delay,
            "answer_bytes": answer_bytes,
        }
        if core is not None:
            self._options["core"] = core
        self.discovery_port = 0
        self.ports: list[int] = []

    async def start(self) -> HostsProcess:
        """Start them; returns once the ports are known."""
        self._process = await start_part("hosts", json.dumps(self._options))
        assert self._process.stdout is not None
        ports = json.loads(await self._process.stdout.readline())
        self.discovery_port = ports["discovery"]
        self.ports = ports["hosts"]
        return self

    async def stop(self) -> dict[str, int]:
        """End them; returns how many requests each host received, by name."""
        out, _ = await self._process.communicate(b"")  # closes its input, which is its sign to end
        received: dict[str, int] = json.loads(out)
        return received


@dataclass
class Result:
    """The accounts of all workers of one load, joined.

    `slots` are requests sent and value of answers in time, by tenths of a second; `firsts` are the
    seconds that the first answer of each connection took.
    """

    rows: dict[str, OutcomeCounts] = field(default_factory=dict)
    unsent: int = 0
    lag: float = 0.0
    slots: dict[int, tuple[int, float]] = field(default_factory=dict)
    firsts: list[float] = field(default_factory=list)

    def add(self, report: dict[str, Any]) -> None:
        """Add one worker's account, in the form in which `python -m testbed load` prints it."""
        self.unsent += report["unsent"]
        self.lag = max(self.lag, report["lag"])
        self.firsts += report["firsts"]
        for slot, (sent, value) in report["slots"]:
            before = self.slots.get(slot, (0, 0.0))
            self.slots[slot] = (before[0] + sent, before[1] + value)
        for name, row in report["rows"].items():
            whole = self.rows.setdefault(name, OutcomeCounts())
            for column, value in row.items():
                setattr(whole, column, getattr(whole, column) + value)


async def run_load(
    address: tuple[str, int],
    request_classes: Sequence[RequestClass],
    weights: Sequence[float],
    cores: Sequence[int | None],
    kind: str,
    seconds: float,
    **more: Any,
) -> Result:
    """Run a load with one worker process for each of `cores` (None: not pinned).

    `more` are options of `python -m testbed load`; `rate`, `connections` and the rates of `parts`
    are for all workers together.
    """
    workers = []
    for number, core in enumerate(cores):
        options: dict[str, Any] = {
            "host": address[0],
            "port": address[1],
            "request_classes": [asdict(request_class) for request_class in request_classes],
            "weights": list(weights),
            "kind": kind,
            "seconds": seconds,
            "seed": number + 1,
            "prefix": f"c{number}-",
        }
        if core is not None:
            options["core"] = core
        options |= _part_of_worker(more, len(cores))
        workers.append(await start_part("load", json.dumps(options)))
    result = Result()
    for worker in workers:
        out, _ = await worker.communicate()
        result.add(json.loads(out))
    return result


def _part_of_worker(options: dict[str, Any], workers: int) -> dict[str, Any]:
    """The options of one worker of so many: rates and connections are divided among them."""
    part: dict[str, Any] = {}
    for name, value in options.items():
        if name == "rate":
            part[name] = value / workers
        elif name == "connections":
            part[name] = max(1, value // workers)
        elif name == "parts":
            part[name] = [(rate / workers, length) for rate, length in value]
        else:
            part[name] = value
    return part
