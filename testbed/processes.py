"""Starts the testbed's own processes and joins what they tell."""

from __future__ import annotations

import asyncio
import json
import sys
from asyncio.subprocess import DEVNULL, PIPE
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from testbed.account import Tally, Work
from testbed.gateway import ROOT

PERIOD_S = (
    0.05  # of a ration: the kernel counts a running process's time every few milliseconds only
)


async def start_part(*command: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "testbed",
        *command,
        cwd=ROOT,
        stdin=PIPE,
        stdout=PIPE,
        stderr=DEVNULL,
        limit=2**27,
    )


async def hold(pid: int, share: float, core: int | None = None) -> asyncio.subprocess.Process:
    """Hold a process to a part of its core (0 to 1) for as long as it lives, ten minutes at the most. In a
    process of its own: a busy one could not stop another in time."""
    told: dict[str, Any] = {"pid": pid, "share": share, "period": PERIOD_S, "seconds": 600.0}
    if core is not None:
        told["core"] = core
    process = await start_part("ration", json.dumps(told))
    assert process.stdout is not None
    await process.stdout.readline()
    return process


class HostsProcess:
    """Stand-in hosts and their discovery, in a process of their own."""

    def __init__(self, count: int, delay: float = 0.0, core: int | None = None) -> None:
        self._told: dict[str, Any] = {"count": count, "delay": delay}
        if core is not None:
            self._told["core"] = core
        self.discovery_port, self.ports = 0, list[int]()

    async def start(self) -> HostsProcess:
        self._process = await start_part("hosts", json.dumps(self._told))
        assert self._process.stdout is not None
        told = json.loads(await self._process.stdout.readline())
        self.discovery_port, self.ports = told["discovery"], told["hosts"]
        return self

    async def stop(self) -> dict[str, int]:
        """Requests received by each host."""
        out, _ = await self._process.communicate(b"")  # closes its input, which is its sign to end
        received: dict[str, int] = json.loads(out)
        return received


@dataclass
class Result:
    """What all workers of one load saw together."""

    rows: dict[str, Tally] = field(default_factory=dict)
    unsent: int = 0
    lag: float = 0.0
    slots: dict[int, tuple[int, float]] = field(default_factory=dict)
    firsts: list[float] = field(default_factory=list)


async def run_load(
    address: tuple[str, int],
    works: Sequence[Work],
    shares: Sequence[float],
    cores: Sequence[int | None],
    kind: str,
    seconds: float,
    **more: Any,
) -> Result:
    """One worker a core. `rate`, `connections` and the rates of `parts` are for all together."""
    workers = []
    for i, core in enumerate(cores):
        told: dict[str, Any] = {
            "host": address[0],
            "port": address[1],
            "works": [asdict(work) for work in works],
            "shares": list(shares),
            "kind": kind,
            "seconds": seconds,
            "seed": i + 1,
            "prefix": f"c{i}-",
        }
        if core is not None:
            told["core"] = core
        for name, value in more.items():
            if name in ("rate", "connections"):
                told[name] = value / len(cores) if name == "rate" else max(1, value // len(cores))
            elif name == "parts":
                told[name] = [(rate / len(cores), length) for rate, length in value]
            else:
                told[name] = value
        workers.append(await start_part("load", json.dumps(told)))
    result = Result()
    for worker in workers:
        out, _ = await worker.communicate()
        seen = json.loads(out)
        result.unsent += seen["unsent"]
        result.lag = max(result.lag, seen["lag"])
        result.firsts += seen["firsts"]
        for slot, (sent, worth) in seen["slots"]:
            before = result.slots.get(slot, (0, 0.0))
            result.slots[slot] = (before[0] + sent, before[1] + worth)
        for name, row in seen["rows"].items():
            whole = result.rows.setdefault(name, Tally())
            for part, value in row.items():
                setattr(whole, part, getattr(whole, part) + value)
    return result
