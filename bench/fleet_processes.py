"""Many processes of the program through faults at once: `python -m bench.fleet_processes [--gateways 60]`.

They talk through the relay, by one datagram to all where `--aloud` is given. One after the other under load:
all start, seven in ten are killed, these start again, a partition two to three, its heal. Each row says after
how many seconds all views agreed, how often one held another wrongly for gone, and what a gateway sent a
second. At the end the account of every request. The more processes share a core, the later their timers: it
measures this machine with them.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import uvloop

from quillroad.membership.report import Report, read_report
from testbed.account import RequestClass, count_outcomes, total
from testbed.environment import Environment
from testbed.schedule import steady

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
MOST_S = 60.0
LOOK_S = 0.1
RATE, LOADED = 5.0, 6  # requests a second of each gateway that has load, and how many have


def _view(environment: Environment, number: int) -> Report | None:
    try:
        return read_report(environment.gateways[number].view_file.read_bytes())
    except Exception:  # it is just being written, or there is none yet
        return None


def _agreed(environment: Environment, among: set[int]) -> bool:
    for number in among:
        view = _view(environment, number)
        if view is None:
            return False
        alive = {line.number for line in view.members if line.standing == "alive"}
        if alive != among - {number} or any(line.standing == "suspect" for line in view.members):
            return False
    return True


def _wrong(environment: Environment, among: set[int], since: float) -> int:
    """How many of these held how many of these for gone since then, by their own clock."""
    found = 0
    for number in among:
        for line in environment.gateways[number].changes_file.read_text().splitlines():
            if '"event": "gone"' in line and any(f'"member": {m},' in line for m in among):
                found += float(line.split('"clock": ')[1].split(",")[0].rstrip("}")) >= since
    return found


async def _until(condition: Callable[[], bool]) -> float | None:
    began = time.monotonic()
    while not condition():
        if time.monotonic() - began > MOST_S:
            return None
        await asyncio.sleep(LOOK_S)
    return time.monotonic() - began


async def play(told: argparse.Namespace) -> None:
    count = told.gateways
    everybody, dead = set(range(count)), set(range(7 * count // 10))
    left = everybody - dead
    one, other = set(range(2 * count // 5)), set(range(2 * count // 5, count))
    with tempfile.TemporaryDirectory() as folder:
        environment = Environment(
            Path(folder),
            REQUEST_CLASSES,
            6,
            delay=0.01,
            gateways=count,
            fleet='[use]\nhold = "5 s"',
            broadcast=told.aloud,
        )
        began = time.monotonic()
        async with environment:
            await _row(environment, "all start", [everybody], began)
            loads = [environment.load(number) for number in sorted(left)[:LOADED]]
            running = [
                asyncio.ensure_future(load.open_loop(steady(RATE, told.seconds))) for load in loads
            ]
            began = time.monotonic()
            for number in dead:
                environment.gateways[number].kill()
            await _row(environment, "seven in ten killed", [left], began)
            await asyncio.gather(*(environment.gateways[n].stop() for n in dead))
            began = time.monotonic()
            await asyncio.gather(*(environment.gateways[n].start() for n in dead))
            # Who started sooner held the others for gone until they had, and rightly so.
            await _row(environment, "these start again", [everybody], began, time.monotonic())
            began = time.monotonic()
            await environment.relay.apart(sorted(one), sorted(other))
            await _row(environment, "partition", [one, other], began)
            began = time.monotonic()
            await environment.relay.rule()
            await _row(environment, "heal", [everybody], began)
            await asyncio.gather(*running)
            for load in loads:
                await load.settle()
            rows: list[Any] = [
                total(count_outcomes(load.records, REQUEST_CLASSES).values()) for load in loads
            ]
            sent, served = (
                sum(r.sent for r in rows),
                sum(r.within_objective + r.served for r in rows),
            )
            refused, failed = sum(r.rejected for r in rows), sum(r.failed for r in rows)
            print(
                f"sent {sent}, served {served}, refused {refused}, failed {failed}, "
                f"unanswered {sent - served - refused - failed}, "
                f"rules broken {len(environment.broken(*loads))}"
            )


async def _row(
    environment: Environment,
    event: str,
    parts: Iterable[set[int]],
    began: float,
    judged: float = 0.0,
) -> None:
    """Wait until the parts agree; who is held for gone from `judged` on, else from `began`, is so wrongly."""
    parts = list(parts)
    before: dict[str, int] = (await environment.relay.send_command())["bytes"]
    took = await _until(lambda: all(_agreed(environment, part) for part in parts))
    after: dict[str, int] = (await environment.relay.send_command())["bytes"]
    spent = max(LOOK_S, time.monotonic() - began)
    rates = [(after[n] - before.get(n, 0)) / spent for n in after]
    wrong = sum(_wrong(environment, part, max(began, judged)) for part in parts)
    agreed = "never" if took is None else f"{time.monotonic() - began:.1f}"
    print(f"| {event} | {agreed} | {wrong} | {sum(rates) / max(1, len(rates)):.0f} |", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--gateways", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=60.0, help="of load")
    parser.add_argument("--aloud", action="store_true")
    told = parser.parse_args()
    print(
        "| event | agreed after s | wrongly gone | bytes/s a gateway |\n| --- | --- | --- | --- |"
    )
    uvloop.run(play(told))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
