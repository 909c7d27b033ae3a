"""Seeded runs send and deliver the same datagrams at the same times as in a recorded run.

The hashes cover the bytes, sender, receiver and time of each datagram. They were recorded from the
code of 2026-12-03, before it was split into modules; a refactoring must not change them.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest

from simulation.fleet import BROADCAST_TARGET, Fleet, Member
from simulation.net import Link, World


class Run(NamedTuple):
    """Arguments of `play` and the recorded result."""

    seed: int
    size: int
    broadcast: bool
    trace: str
    changes: int


RUNS = [
    Run(1, 20, False, "851987f0009c8d8d", 2267),
    Run(2, 20, True, "6f0c9890146c12d1", 2419),
    Run(3, 35, False, "31eb6ec3c7455df7", 7676),
    Run(4, 50, True, "a01dfa823d3f78d7", 15250),
    Run(5, 50, False, "c5c653703c22da25", 14617),
]


def play(seed: int, size: int, broadcast: bool) -> tuple[str, int]:
    """Return the trace and the number of view changes of a run with every kind of fault."""
    fleet = Fleet(
        World(seed, Link(loss=0.05, doubled=0.02)),
        size,
        everyone=BROADCAST_TARGET if broadcast else None,
    )
    world = fleet.world

    def wait(seconds: float) -> None:
        world.run(world.now + seconds)

    fleet.start(within_s=1.0)
    wait(8.0)
    fleet.members[1].kill()
    fleet.members[2].stop()
    wait(5.0)
    fleet.members[1].start()
    fleet.members[2].go_on()
    wait(3.0)
    one, other = set(range(size // 3)), set(range(size // 3, size))
    world.cut(one, other)
    world.cut(other, one)
    wait(8.0)
    world.cut(one, other, on=False)
    world.cut(other, one, on=False)
    wait(8.0)
    world.every.loss = 0.3
    fleet.members[3].lag = lambda: world.random.random() * 0.6
    wait(5.0)
    world.every.loss = 0.05
    fleet.members[3].lag = lambda: 0.0
    twin = fleet.twins[4] = Member(fleet, 4)
    twin.start()
    wait(6.0)
    twin.kill()
    del fleet.twins[4]
    leaving = fleet.members[5]
    assert leaving.core is not None
    leaving.core.leave(world.now)  # type: ignore[attr-defined]
    leaving._flush(leaving.core)
    leaving.kill()
    killed = [member for member in fleet.members if member.number >= 3 * size // 10]
    for member in killed:
        member.kill()
    wait(5.0)
    for member in killed:
        member.start()
    wait(5.0)
    return world.trace, sum(len(member.history) for member in fleet.members)


@pytest.mark.parametrize("run", RUNS, ids=lambda run: f"seed {run.seed}, {run.size} members")
def test_a_seeded_run_matches_the_recorded_one(run: Run) -> None:
    assert play(run.seed, run.size, run.broadcast) == (run.trace, run.changes)
