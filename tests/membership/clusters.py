"""Clusters of cores in the simulated network, and helpers shared by the membership tests."""

from __future__ import annotations

from quillroad.membership.core import Core
from quillroad.membership.wire import VERSION, Datagram, MessageKind, Update, encode
from simulation.fleet import BROADCAST_TARGET, Fleet
from simulation.net import Link, World

SEEDS = (1, 2, 3)


def settled_cluster(size: int, seed: int, loss: float = 0.0, broadcast: bool = False) -> Fleet:
    fleet = Fleet(
        World(seed, Link(loss=loss)), size, everyone=BROADCAST_TARGET if broadcast else None
    )
    fleet.start(within_s=1.0)
    assert fleet.until(fleet.agreed, 20.0) is not None
    fleet.world.run(fleet.world.now + 3.0)
    return fleet


def core_of(fleet: Fleet, number: int) -> Core:
    member_core = fleet.members[number].core
    assert isinstance(member_core, Core)
    return member_core


def declared_faulty(fleet: Fleet, since: float = 0.0) -> list[tuple[int, int]]:
    """Return pairs of a member and another that it has declared faulty since this time."""
    return [
        (m.number, c.number)
        for m in fleet.members
        for c in m.history
        if c.kind == "gone" and c.at >= since
    ]


def datagram(
    number: int, *updates: Update, kind: MessageKind = MessageKind.GOSSIP, version: int = VERSION
) -> bytes:
    return encode(Datagram(version, number, 1, 1, kind, 0, 0, updates))
