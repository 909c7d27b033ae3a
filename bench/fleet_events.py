"""What happens to a simulated fleet in `bench.fleet_view`, and how long its views take to agree.

`EVENTS` has the events by their printed names. Each function returns seconds from the event until
all views agree, or None where they never did.
"""

from __future__ import annotations

from collections.abc import Callable

from bench.fleet_groups import partition_sides
from simulation.fleet import Fleet

TIMEOUT_S = 60.0  # after which views count as never agreeing
SETTLE_S = 5.0  # of agreement before an event
DATAGRAM_LOSS = 0.05  # part of the datagrams, but during the event of heavy loss
HEAVY_LOSS = 0.3
FAULT_S = 30.0  # for which members are slow, or datagrams are lost heavily
SLOW_MEMBER_LAG_S = 0.6  # by which each step of a slow member is late at most
KILLED_PART = 0.7
START, JOIN, PARTITION, HEAL = "all start in a second", "join", "partition", "heal"


def start(fleet: Fleet) -> float | None:
    """All members start; seconds until they agree, None: not in time."""
    size = len(fleet.members)
    return fleet.until(lambda: len(fleet.running()) == size and fleet.agreed(), TIMEOUT_S)


def join(fleet: Fleet) -> float | None:
    """The last member starts; seconds until all agree, None: not in time."""
    fleet.members[-1].start()
    return fleet.until(fleet.agreed, TIMEOUT_S)


def crash(fleet: Fleet) -> float | None:
    """One member is killed; seconds until the others agree, None: not in time."""
    fleet.members[1].kill()
    return fleet.until(fleet.agreed, TIMEOUT_S)


def mass_crash(fleet: Fleet) -> float | None:
    """Seven in ten are killed at once; seconds until the others agree, None: not in time."""
    for member in fleet.members[: int(KILLED_PART * len(fleet.members))]:
        member.kill()
    return fleet.until(fleet.agreed, TIMEOUT_S)


def _cut(fleet: Fleet, on: bool) -> None:
    """Cut the two sides of the partition off from each other, or (`on` false) join them again."""
    one, other = partition_sides(len(fleet.members))
    fleet.world.cut(one, other, on)
    fleet.world.cut(other, one, on)


def partition(fleet: Fleet) -> float | None:
    """The fleet is cut in two; seconds until each side agrees, None: not in time."""
    _cut(fleet, on=True)
    one, other = partition_sides(len(fleet.members))
    return fleet.until(lambda: fleet.agreed(one, one) and fleet.agreed(other, other), TIMEOUT_S)


def heal(fleet: Fleet) -> float | None:
    """A partition ends; seconds from then until all agree, None: not in time."""
    partition(fleet)
    fleet.world.run(fleet.world.now + SETTLE_S)
    _cut(fleet, on=False)
    return fleet.until(fleet.agreed, TIMEOUT_S)


def slow_members(fleet: Fleet) -> float | None:
    """Some members, four of a large fleet, are late with each step for a while.

    Returns 0: no view should change.
    """
    random = fleet.world.random
    for member in fleet.members[:: max(2, len(fleet.members) // 4)]:
        member.lag = lambda: random.random() * SLOW_MEMBER_LAG_S
    fleet.world.run(fleet.world.now + FAULT_S)
    return 0.0


def heavy_loss(fleet: Fleet) -> float | None:
    """Many datagrams are lost for a while; seconds until all agree after it, None: not in time."""
    fleet.world.every.loss = HEAVY_LOSS
    fleet.world.run(fleet.world.now + FAULT_S)
    fleet.world.every.loss = DATAGRAM_LOSS
    return fleet.until(fleet.agreed, TIMEOUT_S)


EVENTS: dict[str, Callable[[Fleet], float | None]] = {
    START: start,
    JOIN: join,
    "crash": crash,
    "seven in ten gone": mass_crash,
    PARTITION: partition,
    HEAL: heal,
    "slow members": slow_members,
    "30% loss": heavy_loss,
}
