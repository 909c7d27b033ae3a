"""Admission disciplines on the same arrivals, in simulated time: `python -m bench.admission`.

A core that serves 3,333 requests a second gets 0.9 to 5 times that, a step, a square wave, two
classes with latency objectives of 50 ms and 5 s, and closed-loop clients. Same figures on every
machine; some seconds. `--picture FILE` draws one overloaded run of the gateway's own discipline
over time.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from bench.disciplines import ALTERNATIVES
from bench.picture import Panel, over_time
from bench.tables import milliseconds, print_header, print_row
from quillroad.overload.admission_queue import AdmissionQueue, RoutePriority
from testbed.core import IN_TIME, LONGEST_WAIT, REJECTED, SENT, SLOT_S, Core, Discipline, mix

ROUTES = (RoutePriority(2.0, 0.58), RoutePriority(8.0, 0.75))
# The first route can wait for a hundred times as long as the second.
UNEVEN_ROUTES = (RoutePriority(2.0, 5.0), RoutePriority(2.0, 0.05))
COST_S = 0.0003  # of a request
REJECTION_S = 0.00003  # of a request that is turned away
CAPACITY = 1 / COST_S  # requests a second
STEADY_MULTIPLES = (0.9, 1.0, 1.1, 1.5, 3.0, 5.0)  # of the capacity
STEADY_S = 4.0  # of each
CLOSED_LOOP_CLIENTS = 300
CLOSED_LOOP_S = 2.0
CHOSEN = "chosen"
DISCIPLINES: dict[str, Callable[[Sequence[RoutePriority]], Discipline]] = {
    CHOSEN: AdmissionQueue,
    **{discipline.name: discipline for discipline in ALTERNATIVES},
}
COLUMNS = (
    "way",
    *(f"{multiple:g}x" for multiple in STEADY_MULTIPLES),
    "step to 3x",
    "square wave",
    "aims 50 ms / 5 s",
    "300 closed-loop: refused",
    "refusals p99 ms",
)
# Series of the picture, in the order of the columns of `Core.slots`.
PICTURE_SERIES = ("offered", "let in", "served in aim", "served late", "refused")


def make_core(name: str, routes: tuple[RoutePriority, ...] = ROUTES) -> Core:
    """A core with the discipline of this name in `DISCIPLINES`."""
    return Core(DISCIPLINES[name](routes), routes, cost=COST_S, refusal=REJECTION_S)


def offer(core: Core, multiple: float, seconds: float) -> None:
    """Offer a multiple of the capacity, and run until all is answered."""
    core.run(seconds, mix(multiple * CAPACITY))


def weight_in_time(core: Core) -> str:
    """Part (0 to 1) of the last run's priority weight that was answered within the objective."""
    return f"{core.value(IN_TIME) / core.value(SENT):.2f}"


def after_step(name: str) -> str:
    """`weight_in_time` of three times the capacity, after a fifth of it."""
    core = make_core(name)
    offer(core, 0.2, seconds=1.0)
    offer(core, 3.0, seconds=2.0)
    return weight_in_time(core)


def square_wave(name: str) -> str:
    """Part (0 to 1) of the weight in time where load is 3 and 0.3 times the capacity in turn."""
    core = make_core(name)
    sent = in_time = 0.0
    for multiple in (3.0, 0.3) * 3:
        offer(core, multiple, seconds=0.7)
        sent += core.value(SENT)
        in_time += core.value(IN_TIME)
    return f"{in_time / sent:.2f}"


def uneven_objectives(name: str) -> str:
    """Parts (0 to 1) in time: a fifth of the capacity with 50 ms, and twice it with 5 s."""
    core = make_core(name, UNEVEN_ROUTES)
    core.hosts = 0.005
    core.run(4.0, {(0, 0): 2.0 * CAPACITY, (1, 0): 0.2 * CAPACITY})
    return f"{core.share(1):.2f}/{core.share(0):.2f}"


def closed_loop_rejections(name: str) -> str:
    """How many requests of closed-loop clients are rejected."""
    core = make_core(name)
    core.closed_loop(CLOSED_LOOP_CLIENTS, CLOSED_LOOP_S)
    return str(core.total(REJECTED))


def table_row(name: str) -> list[str]:
    """The cells of one discipline, in the order of `COLUMNS`."""
    steady: list[str] = []
    rejection_waits_s: list[float] = []
    for multiple in STEADY_MULTIPLES:
        core = make_core(name)
        offer(core, multiple, STEADY_S)
        steady.append(weight_in_time(core))
        rejection_waits_s += core.refusal_waits
    return [
        name,
        *steady,
        after_step(name),
        square_wave(name),
        uneven_objectives(name),
        closed_loop_rejections(name),
        milliseconds(rejection_waits_s, 0.99),
    ]


def draw_overload(path: Path) -> None:
    """Draw one run: half of the capacity, then three times of it, then half again."""
    core = make_core(CHOSEN)
    for multiple, seconds in ((0.5, 1.0), (3.0, 4.0), (0.5, 1.5)):
        offer(core, multiple, seconds)
    slots = [core.slots[number] for number in sorted(core.slots)]
    rates = {
        series: [slot[column] / SLOT_S for slot in slots]
        for column, series in enumerate(PICTURE_SERIES)
    }
    waits_ms = {"longest wait to begin": [slot[LONGEST_WAIT] * 1e3 for slot in slots]}
    shortest_objective_ms = min(route.useful_s for route in ROUTES) * 1e3
    over_time(
        path,
        [number * SLOT_S for number in sorted(core.slots)],
        [
            Panel("requests a second", rates, CAPACITY, "capacity"),
            Panel("ms", waits_ms, shortest_objective_ms, "the shorter aim"),
        ],
    )


def main() -> int:
    """Run by the command line; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--picture", type=Path, help="file to draw one overloaded run into (svg, png)"
    )
    options = parser.parse_args()
    if options.picture:
        draw_overload(options.picture)
        return 0
    print_header(*COLUMNS)
    for name in DISCIPLINES:
        print_row(*table_row(name))
    return 0


if __name__ == "__main__":
    sys.exit(main())
