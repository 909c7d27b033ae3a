"""How far all orders were walked: `python -m bench.fleet_walk [--depth 8] [--closing 5] [--jobs 4]`.

For three members, from each scene of `simulation/walk.py`, without and with an address that
reaches all: the states
up to `depth` steps, each checked, and those at the end of `closing` steps, from each of which a whole network
has to bring all views to agree. Ends with 1 where something breaks what must hold, with the path to it.
"""

from __future__ import annotations

import argparse
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from itertools import product

from simulation.fleet import EVERYONE
from simulation.walk import Broken, Flight, Walk


def play(depth: int, closing: int, which: tuple[str, bool]) -> tuple[str, bool]:
    """The row, and whether all holds."""
    scene, aloud = which
    walk = Walk(3, everyone=EVERYONE if aloud else None)
    began, broken = time.process_time(), "nothing"
    try:
        at = walk.scenes()[scene]
        walk.walk(at, closing)
        walk.walk(at, depth, closing=False)
    except Broken as what:
        path = [
            f"{s.act} {s.which[:2] if isinstance(s.which, Flight) else s.which}" for s in what.path
        ]
        broken = f"{what}, after {', '.join(path)}"
    took = time.process_time() - began
    way = "aloud" if aloud else "one by one"
    return (
        f"| {scene} | {way} | {walk.states} | {walk.closed} | {took:.0f} | {broken} |",
        broken == "nothing",
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--depth", type=int, default=7)
    parser.add_argument("--closing", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=1)
    told = parser.parse_args()
    print("| scene | sent | states | ends closed | s | broken |\n" + "| --- " * 6 + "|")
    good = True
    with ProcessPoolExecutor(told.jobs) as pool:
        each = product(Walk(3).scenes(), (False, True))
        for row, holds in pool.map(partial(play, told.depth, told.closing), each):
            print(row, flush=True)
            good = good and holds
    return 0 if good else 1


if __name__ == "__main__":
    raise SystemExit(main())
