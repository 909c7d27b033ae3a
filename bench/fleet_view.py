"""How fast views agree, and what that costs: `python -m bench.fleet_view [--seeds 50] [--jobs 8]`.

Each way runs on the same simulated network and seeds: the fleet's own core, without and with an address
that reaches all ("aloud"), SWIM without Lifeguard, heartbeats from all to all, the same with a clock that
learns (phi-accrual), cut detection by many observers. Per event and size: seconds
until all views agree (median and worst of the seeds, and how many never did in 60 s), sound members that
someone held for gone, and bytes and datagrams a second a member. The CPU time of a datagram is this
machine's. `--jobs` runs go side by side. `--json FILE` keeps it, `--plot FILE` draws the times.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial
from itertools import product
from pathlib import Path
from typing import Any

from quillroad.membership.core import Core
from quillroad.membership.roster import Address
from quillroad.membership.timing import Timing
from simulation.cuts import Cuts
from simulation.fleet import EVERYONE, Fleet
from simulation.heartbeats import Heartbeats
from simulation.net import Link, World
from simulation.phi import Phi

MOST_S = 60.0
CALM_S = 5.0
WAYS: dict[str, tuple[Callable[..., Any], Timing, Address | None]] = {
    "own": (Core, Timing(), None),
    "own aloud": (Core, Timing(), EVERYONE),
    "plain SWIM": (Core, replace(Timing(), lifeguard=False), None),
    "heartbeats": (Heartbeats, Timing(), None),
    "phi-accrual": (Phi, Timing(), None),
    "cut detection": (Cuts, Timing(), None),
}


def start(fleet: Fleet) -> float | None:
    size = len(fleet.members)
    return fleet.until(lambda: len(fleet.running()) == size and fleet.agreed(), MOST_S)


def join(fleet: Fleet) -> float | None:
    fleet.members[-1].start()
    return fleet.until(fleet.agreed, MOST_S)


def crash(fleet: Fleet) -> float | None:
    fleet.members[1].kill()
    return fleet.until(fleet.agreed, MOST_S)


def seven_in_ten(fleet: Fleet) -> float | None:
    for member in fleet.members[: int(0.7 * len(fleet.members))]:
        member.kill()
    return fleet.until(fleet.agreed, MOST_S)


def _halves(fleet: Fleet) -> tuple[set[int], set[int]]:
    middle = 2 * len(fleet.members) // 5
    return set(range(middle)), set(range(middle, len(fleet.members)))


def partition(fleet: Fleet) -> float | None:
    one, other = _halves(fleet)
    fleet.world.cut(one, other)
    fleet.world.cut(other, one)
    return fleet.until(lambda: fleet.agreed(one, one) and fleet.agreed(other, other), MOST_S)


def heal(fleet: Fleet) -> float | None:
    partition(fleet)
    fleet.world.run(fleet.world.now + CALM_S)
    one, other = _halves(fleet)
    fleet.world.cut(one, other, on=False)
    fleet.world.cut(other, one, on=False)
    return fleet.until(fleet.agreed, MOST_S)


def slow(fleet: Fleet) -> float | None:
    """One in ten is late with each step by up to 0.6 s, for half a minute."""
    random = fleet.world.random
    for member in fleet.members[:: max(2, len(fleet.members) // 4)]:
        member.lag = lambda: random.random() * 0.6
    fleet.world.run(fleet.world.now + 30.0)
    return 0.0


def loss(fleet: Fleet) -> float | None:
    """30% for half a minute."""
    fleet.world.every.loss = 0.3
    fleet.world.run(fleet.world.now + 30.0)
    fleet.world.every.loss = 0.05
    return fleet.until(fleet.agreed, MOST_S)


EVENTS: dict[str, Callable[[Fleet], float | None]] = {
    "all start in a second": start,
    "join": join,
    "crash": crash,
    "seven in ten gone": seven_in_ten,
    "partition": partition,
    "heal": heal,
    "slow members": slow,
    "30% loss": loss,
}


def play(way: str, event: str, size: int, seed: int) -> dict[str, Any]:
    make, timing, everyone = WAYS[way]
    fleet = Fleet(World(seed, Link(loss=0.05)), size, timing, make, everyone)
    fleet.start(range(size - (event == "join")), within_s=1.0)
    if event != "all start in a second":
        fleet.until(fleet.agreed, 20.0)
        fleet.world.run(fleet.world.now + CALM_S)
    began, cpu = fleet.world.now, time.process_time()
    sent = [(member.bytes, member.datagrams) for member in fleet.members]
    took = EVENTS[event](fleet)
    cpu = time.process_time() - cpu
    spent = max(0.1, fleet.world.now - began)
    rates = [
        ((m.bytes - b) / spent, (m.datagrams - d) / spent)
        for m, (b, d) in zip(fleet.members, sent, strict=True)
        if m.core is not None
    ]
    sound = {m.number for m in fleet.members if m.core is not None}
    apart = _halves(fleet) if event in ("partition", "heal") else (sound, sound)
    false_ends = {
        (m.number, c.number)
        for m in fleet.members
        for c in m.history
        if c.kind == "gone"
        and c.incarnation
        and c.at > began
        and c.number in sound
        and any(m.number in side and c.number in side for side in apart)
    }
    return {
        "took": took,
        "false": len(false_ends),
        "bytes": statistics.mean(b for b, _ in rates),
        "most": max(b for b, _ in rates),
        "datagrams": statistics.mean(d for _, d in rates),
        "cpu_us": 1e6
        * cpu
        / max(1, sum(m.datagrams for m in fleet.members) - sum(d for _, d in sent)),
    }


def summed(runs: list[dict[str, Any]]) -> dict[str, Any]:
    took = sorted(run["took"] for run in runs if run["took"] is not None)
    return {
        "median": round(statistics.median(took), 1) if took else None,
        "worst": round(took[-1], 1) if took else None,
        "never": len(runs) - len(took),
        "false": sum(run["false"] for run in runs),
        "bytes": round(statistics.mean(run["bytes"] for run in runs)),
        "most": round(max(run["most"] for run in runs)),
        "datagrams": round(statistics.mean(run["datagrams"] for run in runs), 1),
        "cpu_us": round(statistics.mean(run["cpu_us"] for run in runs)),
    }


def draw(results: dict[str, Any], file: Path) -> None:
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    every = [by_event for by_way in results.values() for by_event in by_way.values()]
    events = [event for event in EVENTS if all(event in by_event for by_event in every)]
    figure, axes = pyplot.subplots(1, len(results), figsize=(6 * len(results), 4), squeeze=False)
    for axis, (size, by_way) in zip(axes[0], results.items(), strict=True):
        for i, (way, by_event) in enumerate(by_way.items()):
            values = [by_event[event]["median"] or 0.0 for event in events]
            worst = [
                (by_event[e]["worst"] or 0.0) - value
                for e, value in zip(events, values, strict=True)
            ]
            axis.bar(
                [x + 0.27 * i for x in range(len(events))],
                values,
                0.25,
                yerr=[[0.0] * len(events), worst],
                label=way,
            )
        axis.set_title(f"{size} members, 5% loss: seconds until all agree (bar: worst seed)")
        axis.set_xticks(range(len(events)), events, rotation=30, ha="right")
        axis.legend()
    figure.tight_layout()
    figure.savefig(file)


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--sizes", default="5,40")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--events", default=",".join(EVENTS))
    parser.add_argument("--json", type=Path)
    parser.add_argument("--plot", type=Path)
    told = parser.parse_args()
    results: dict[str, Any] = {}
    names = (
        "members",
        "event",
        "way",
        "median s",
        "worst s",
        "never",
        "false ends",
        "B/s",
        "most B/s",
    )
    print("| " + " | ".join((*names, "datagrams/s", "us a datagram")) + " |")
    print("| --- " * (len(names) + 2) + "|")
    rows = product(map(int, told.sizes.split(",")), told.events.split(","), told.ways.split(","))
    with ProcessPoolExecutor(told.jobs) as pool:
        for size, event, way in rows:
            runs = pool.map(
                partial(play, way, event, size), range(told.first, told.first + told.seeds)
            )
            row = summed(list(runs))
            results.setdefault(str(size), {}).setdefault(way, {})[event] = row
            values = " | ".join(str(value) for value in row.values())
            print(f"| {size} | {event} | {way} | {values} |", flush=True)
            if told.json:
                told.json.write_text(json.dumps(results, indent=1))
    if told.plot:
        draw(results, told.plot)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
