"""One datagram to all members: what it changes."""

from __future__ import annotations

from tests.membership.clusters import core_of, declared_faulty, settled_cluster


def test_a_broadcast_suspicion_is_known_to_most_members_at_once() -> None:
    """A member crashes where one datagram reaches all: most know the first suspicion at once."""
    fleet = settled_cluster(60, 1, 0.05, broadcast=True)
    fleet.members[4].kill()
    since = fleet.world.now
    assert fleet.until(fleet.agreed, 10.0) is not None
    first = min(
        c.at for m in fleet.running() for c in m.history if c.kind == "suspect" and c.at > since
    )
    heard = [
        c.at for m in fleet.running() for c in m.history if c.kind == "suspect" and c.at > since
    ]
    assert sum(at - first < 0.3 for at in heard) > 0.8 * len(heard)


def test_a_broadcast_table_ends_a_partition() -> None:
    """A partition heals where one datagram reaches all: a table that holds members faulty
    lets all of them refute that.
    """
    fleet = settled_cluster(40, 2, 0.05, broadcast=True)
    one, other = set(range(16)), set(range(16, 40))
    for a, b in ((one, other), (other, one)):
        fleet.world.cut(a, b)
    assert (
        fleet.until(lambda: fleet.agreed(one, one) and fleet.agreed(other, other), 15.0) is not None
    )
    since = fleet.world.now
    for a, b in ((one, other), (other, one)):
        fleet.world.cut(a, b, on=False)
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert not [(a, b) for a, b in declared_faulty(fleet, since) if (a in one) == (b in one)]
    fleet.world.run(fleet.world.now + 5.0)
    for member in fleet.members:
        assert core_of(fleet, member.number).pending_entries <= 1
        assert not core_of(fleet, member.number)._broadcaster.pending
        assert member.peak_bytes <= fleet.timing.max_bytes_per_s
