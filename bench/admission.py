"""Ways of admission on the same arrivals, in simulated time: `python -m bench.admission`.

A core that serves 3,333 requests a second gets 0.9 to 5 times that, a step, a square wave, two classes with
aims of 50 ms and 5 s, and closed-loop clients. Same figures on every machine; some seconds. `--picture
FILE` draws one overloaded run of the chosen way over time.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from pathlib import Path

from bench.disciplines import ALL
from bench.picture import over_time
from quillroad.overload.admission_queue import AdmissionQueue, RoutePriority
from testbed.core import SLOT_S, Core, Discipline, mix

LANES = (RoutePriority(2.0, 0.58), RoutePriority(8.0, 0.75))
UNEVEN = (RoutePriority(2.0, 5.0), RoutePriority(2.0, 0.05))
COST_S, REFUSAL_S = 0.0003, 0.00003
CAPACITY = 1 / COST_S
WAYS: dict[str, Callable[[tuple[RoutePriority, ...]], Discipline]] = {"chosen": AdmissionQueue}
WAYS.update((way.name, way) for way in ALL)


def core(way: str, lanes: tuple[RoutePriority, ...] = LANES) -> Core:
    return Core(WAYS[way](lanes), lanes, cost=COST_S, refusal=REFUSAL_S)


def p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * len(values))] if values else 0.0


def row(way: str) -> list[str]:
    """Worth in aim of what was offered, by load; refusals' p99; and the odd cases."""
    told, waits = [way], list[float]()
    for load in (0.9, 1.0, 1.1, 1.5, 3.0, 5.0):
        some = core(way)
        some.run(4.0, mix(load * CAPACITY))
        told.append(f"{some.value(1) / some.value(0):.2f}")
        waits += some.refusal_waits
    some = core(way)
    some.run(1.0, mix(0.2 * CAPACITY))
    some.run(2.0, mix(3.0 * CAPACITY))
    told.append(f"{some.value(1) / some.value(0):.2f}")
    some, worth = core(way), [0.0, 0.0]
    for load in (3.0, 0.3) * 3:
        some.run(0.7, mix(load * CAPACITY))
        worth = [worth[0] + some.value(0), worth[1] + some.value(1)]
    told.append(f"{worth[1] / worth[0]:.2f}")
    some = core(way, UNEVEN)
    some.hosts = 0.005
    some.run(4.0, {(0, 0): 2.0 * CAPACITY, (1, 0): 0.2 * CAPACITY})
    told.append(f"{some.share(1):.2f}/{some.share(0):.2f}")
    some = core(way)
    some.closed_loop(300, 2.0)
    told.append(f"{some.total(3)}")
    told.append(f"{p99(waits) * 1e3:.0f}")
    return told


def picture(path: Path) -> None:
    """One run: half of the capacity, then three times of it, then half again."""
    some = core("chosen")
    for load, seconds in ((0.5, 1.0), (3.0, 4.0), (0.5, 1.5)):
        some.run(seconds, mix(load * CAPACITY))
    slots = sorted(some.slots)
    names = ("offered", "let in", "served in aim", "served late", "refused")
    rates = {name: [some.slots[s][i] / SLOT_S for s in slots] for i, name in enumerate(names)}
    waits = {"longest wait to begin": [some.slots[s][5] * 1e3 for s in slots]}
    over_time(
        path,
        [slot * SLOT_S for slot in slots],
        [
            ("requests a second", rates, CAPACITY, "capacity"),
            ("ms", waits, LANES[0].useful_s * 1e3, "the shorter aim"),
        ],
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--picture", type=Path, help="file to draw one overloaded run into (svg, png)"
    )
    told = parser.parse_args()
    if told.picture:
        picture(told.picture)
        return 0
    print(
        "| way | 0.9x | 1x | 1.1x | 1.5x | 3x | 5x | step to 3x | square wave | aims 50 ms / 5 s"
        " | 300 closed-loop: refused | refusals p99 ms |"
    )
    print("| --- " * 12 + "|")
    for way in WAYS:
        print("| " + " | ".join(row(way)) + " |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
