"""The core as a whole: received datagrams, drop counts, state bounds, leaving, roster changes."""

from __future__ import annotations

import pytest

from quillroad.membership.core import Core
from quillroad.membership.member_table import (
    MemberState,
)
from quillroad.membership.roster import Roster
from quillroad.membership.wire import VERSION, DropReason, MessageKind, Update
from simulation.fleet import Fleet
from tests.membership.clusters import core_of, datagram, declared_faulty, settled_cluster


def test_the_same_seed_gives_the_same_trace() -> None:
    first, again, other = (
        settled_cluster(12, 7, 0.1),
        settled_cluster(12, 7, 0.1),
        settled_cluster(12, 8, 0.1),
    )
    assert first.world.trace == again.world.trace != other.world.trace


def test_temporary_state_is_empty_once_the_cluster_is_idle() -> None:
    """Three members crash under 20% loss, which then ends; no entry may be left behind."""
    fleet = settled_cluster(12, 5, loss=0.2)
    for number in (1, 2, 3):
        fleet.members[number].kill()
    fleet.world.run(fleet.world.now + 30.0)
    fleet.world.every.loss = 0.0
    fleet.world.run(fleet.world.now + 10.0)
    for member in fleet.running():
        assert core_of(fleet, member.number).pending_entries <= 1  # a probe in flight
        assert member.peak_bytes <= fleet.timing.max_bytes_per_s


def test_a_member_that_leaves_is_never_suspected() -> None:
    fleet = settled_cluster(12, 1)
    leaving = core_of(fleet, 3)
    leaving.leave(fleet.world.now)
    fleet.members[3]._flush(leaving)
    fleet.members[3].kill()
    assert fleet.until(fleet.agreed, 5.0) is not None
    assert core_of(fleet, 0).view.members[3].state is MemberState.LEFT and not declared_faulty(
        fleet
    )


def test_a_member_that_has_left_is_due_only_once_per_period() -> None:
    """Steps that no longer run after leaving must not keep the timer due while it drains."""
    fleet = settled_cluster(4, 1, broadcast=True)
    leaving, now = core_of(fleet, 3), fleet.world.now + 1.0
    leaving.tick(now)
    leaving.leave(now)
    for _ in range(5):
        due = leaving.arm(now)
        assert due >= now + fleet.timing.period_s
        now = due
        leaving.tick(now)


def core_in_small_cluster() -> tuple[Core, Fleet]:
    fleet = settled_cluster(3, 1)
    return core_of(fleet, 0), fleet


def test_dropped_datagrams_are_counted_by_reason() -> None:
    core, fleet = core_in_small_cluster()
    now, source = fleet.world.now, fleet.addresses[1]
    before = core.view
    core.receive(("10.9.9.9", 1), datagram(1), now)
    core.receive(source, datagram(2), now)
    core.receive(fleet.addresses[0], datagram(0), now)
    core.receive(source, b"\x00", now)
    core.receive(source, b"x" * 257, now)
    core.receive(source, datagram(1, version=VERSION + 1), now)
    core.receive(source, datagram(1, Update(200, 1, 1)), now)
    assert core.dropped == {
        "stranger": 1,
        "number": 1,
        "own address": 1,
        "malformed": 1,
        "too long": 1,
        "version": 1,
        "unknown member": 1,
    }
    assert core.view.members == before.members
    assert core.last_heard(1) == now  # a member with a newer protocol version counts as heard


def test_a_member_that_floods_is_limited_to_its_receive_budget() -> None:
    """A member sends a thousand PINGs at once.

    No more of them may be read or answered than the limits for one second allow.
    """
    core, fleet = core_in_small_cluster()
    now = fleet.world.now
    for _ in range(1000):
        core.receive(fleet.addresses[1], datagram(1, kind=MessageKind.PING), now)
    assert core.dropped[DropReason.FLOOD] >= 1000 - fleet.timing.max_datagrams_per_s
    assert sum(len(data) for _, data in core.outbox) <= fleet.timing.max_bytes_per_s
    assert len(core.outbox) <= fleet.timing.max_datagrams_per_s


def test_change_roster_adds_and_removes_members() -> None:
    fleet = settled_cluster(4, 1)
    longer = [*fleet.addresses, ("10.0.1.4", 7946)]
    for member in fleet.members:
        core_of(fleet, member.number).change_roster(Roster(longer, member.number), fleet.world.now)
    assert core_of(fleet, 0).view.members[4].state is MemberState.UNKNOWN
    fleet.world.run(fleet.world.now + 3.0)
    for member in fleet.members[:3]:
        core_of(fleet, member.number).change_roster(
            Roster(fleet.addresses[:3], member.number), fleet.world.now
        )
    assert set(core_of(fleet, 0).view.members) == {1, 2}
    fleet.world.run(fleet.world.now + 5.0)  # member 3 goes on sending and counts as a stranger
    assert core_of(fleet, 0).dropped[DropReason.STRANGER] > 0
    assert set(core_of(fleet, 0).view.members) == {1, 2}
    # A member that starts with the shorter roster has the same table as those that knew member 3.
    fleet.members[1].kill()
    fleet.members[1].start(Roster(fleet.addresses[:3], 1))
    fleet.world.run(fleet.world.now + 10.0)
    assert core_of(fleet, 1).table.digest == core_of(fleet, 0).table.digest
    assert core_of(fleet, 0).view.is_settled(fleet.world.now, 2.0)
    assert core_of(fleet, 0).last_heard(3) is None
    with pytest.raises(ValueError, match="own number"):
        core_of(fleet, 0).change_roster(Roster(fleet.addresses[:3], 1), fleet.world.now)
