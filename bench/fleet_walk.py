"""All orders of events: `python -m bench.fleet_walk [--depth 8] [--closing 5] [--jobs 4]`.

For three members, from each scene of `simulation/walk.py`, without and with a broadcast address:
each state up to `depth` steps is checked, and from each end of `closing` steps a whole network must
bring all views to agree. Ends with status 1 where an invariant does not hold, and prints the steps
that lead there.
"""

from __future__ import annotations

import argparse
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from itertools import product
from typing import NamedTuple

from bench.tables import header, row
from simulation.fleet import BROADCAST_TARGET
from simulation.walk import Broken, Flight, Step, Walk

MEMBERS = 3


class Start(NamedTuple):
    """Where a walk begins: a scene by its name, and whether there is a broadcast address."""

    scene: str
    has_broadcast: bool


class Result(NamedTuple):
    """What one walk found: the row of the table, and whether all invariants hold."""

    row: str
    holds: bool


def play(depth: int, closing: int, start: Start) -> Result:
    """Walk from one start: `depth` steps, and `closing` steps with the network whole after each."""
    walk = Walk(MEMBERS, everyone=BROADCAST_TARGET if start.has_broadcast else None)
    began_s = time.process_time()
    broken = ""
    try:
        state = walk.scenes()[start.scene]
        walk.walk(state, closing)
        walk.walk(state, depth, closing=False)
    except Broken as error:
        broken = f"{error}, after {', '.join(map(_step_text, error.path))}"
    cpu_s = time.process_time() - began_s
    sent = "aloud" if start.has_broadcast else "one by one"
    cells = (start.scene, sent, walk.states, walk.closed, f"{cpu_s:.0f}", broken or "nothing")
    return Result(row(*cells), not broken)


def _step_text(step: Step) -> str:
    """A step in words: what happens, and to which member or (source, target) of a datagram."""
    which = step.which[:2] if isinstance(step.which, Flight) else step.which
    return f"{step.act} {which}"


def walk_all(depth: int, closing: int, jobs: int) -> bool:
    """Walk from all starts, `jobs` at once; print a row for each, return whether all holds."""
    print(header("scene", "sent", "states", "ends closed", "s", "broken"))
    starts = [Start(*start) for start in product(Walk(MEMBERS).scenes(), (False, True))]
    all_hold = True
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(partial(play, depth, closing), starts):
            print(result.row, flush=True)
            all_hold = all_hold and result.holds
    return all_hold


def main() -> int:
    """Run the program; returns its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--depth", type=int, default=7)
    parser.add_argument("--closing", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=1)
    args = parser.parse_args()
    return 0 if walk_all(args.depth, args.closing, args.jobs) else 1


if __name__ == "__main__":
    raise SystemExit(main())
