"""Effects of a broadcast address, which reaches all members with one datagram."""

from __future__ import annotations

from tests.membership.clusters import core_of, declared_faulty, settled_cluster


def test_a_broadcast_suspicion_is_known_to_most_members_at_once() -> None:
    """After a crash, most members learn of the first suspicion from its broadcast."""
    fleet = settled_cluster(60, 1, 0.05, broadcast=True)
    fleet.members[4].kill()
    since = fleet.world.now
    assert fleet.until(fleet.agreed, 10.0) is not None
    first = min(
        c.at for m in fleet.running() for c in m.history if c.kind == "suspect" and c.at > since
    )
    suspected_at = [
        c.at for m in fleet.running() for c in m.history if c.kind == "suspect" and c.at > since
    ]
    assert sum(at - first < 0.3 for at in suspected_at) > 0.8 * len(suspected_at)


def test_a_broadcast_table_ends_a_partition() -> None:
    """After a partition heals, broadcast tables that list members as faulty reach all of these,
    so that each refutes it.
    """
    fleet = settled_cluster(40, 2, 0.05, broadcast=True)
    first_side, second_side = set(range(16)), set(range(16, 40))
    for a, b in ((first_side, second_side), (second_side, first_side)):
        fleet.world.cut(a, b)
    assert (
        fleet.until(
            lambda: fleet.agreed(first_side, first_side) and fleet.agreed(second_side, second_side),
            15.0,
        )
        is not None
    )
    since = fleet.world.now
    for a, b in ((first_side, second_side), (second_side, first_side)):
        fleet.world.cut(a, b, on=False)
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert not [
        (a, b) for a, b in declared_faulty(fleet, since) if (a in first_side) == (b in first_side)
    ]
    fleet.world.run(fleet.world.now + 5.0)
    for member in fleet.members:
        assert core_of(fleet, member.number).pending_entries <= 1
        assert not core_of(fleet, member.number)._broadcaster.pending
        assert member.peak_bytes <= fleet.timing.max_bytes_per_s
