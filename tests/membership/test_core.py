"""Cores in the virtual network: each hard case by its own schedule, the same run for the same seed."""

from __future__ import annotations

import pytest

from quillroad.membership.core import Core
from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import (
    MAX_INCARNATION,
    MAX_INCARNATION_JUMP,
    PLAUSIBLE_INCARNATION,
    MemberState,
    MemberStatus,
)
from quillroad.membership.roster import Roster
from quillroad.membership.wire import VERSION, Datagram, DropReason, MessageKind, Update, encode
from simulation.fleet import EVERYONE, Fleet, Member
from simulation.net import Link, World

SEEDS = (1, 2, 3)


def settled(size: int, seed: int, loss: float = 0.0, aloud: bool = False) -> Fleet:
    fleet = Fleet(World(seed, Link(loss=loss)), size, everyone=EVERYONE if aloud else None)
    fleet.start(within_s=1.0)
    assert fleet.until(fleet.agreed, 20.0) is not None
    fleet.world.run(fleet.world.now + 3.0)
    return fleet


def core(fleet: Fleet, number: int) -> Core:
    found = fleet.members[number].core
    assert isinstance(found, Core)
    return found


def ends(fleet: Fleet, since: float = 0.0) -> list[tuple[int, int]]:
    """Who held whom for gone."""
    return [
        (m.number, c.number)
        for m in fleet.members
        for c in m.history
        if c.kind == "gone" and c.at >= since
    ]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", [3, 12, 40])
def test_a_crash_and_a_restart_are_seen_by_all(size: int, seed: int) -> None:
    fleet = settled(size, seed, loss=0.05)
    fleet.members[1].kill()
    assert fleet.until(fleet.agreed, 10.0) is not None
    fleet.world.run(fleet.world.now + 2.0)
    fleet.members[1].start()  # from nothing: it begins with incarnation 1 again
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert core(fleet, 1).incarnation > 1  # refuted what was said of the old one


def test_the_same_seed_gives_the_same_trace() -> None:
    first, again, other = settled(12, 7, 0.1), settled(12, 7, 0.1), settled(12, 8, 0.1)
    assert first.world.trace == again.world.trace != other.world.trace


@pytest.mark.parametrize("seed", SEEDS)
def test_both_sides_of_a_partition_find_each_other_again_and_the_sound_stay_there(
    seed: int,
) -> None:
    fleet = settled(12, seed)
    one, other = set(range(5)), set(range(5, 12))
    fleet.world.cut(one, other)
    fleet.world.cut(other, one)
    assert (
        fleet.until(lambda: fleet.agreed(one, one) and fleet.agreed(other, other), 20.0) is not None
    )
    since = fleet.world.now
    fleet.world.cut(one, other, on=False)
    fleet.world.cut(other, one, on=False)
    assert fleet.until(fleet.agreed, 20.0) is not None
    # The other side's word that one of the own side is gone, though it came first, ended nobody.
    assert not [(a, b) for a, b in ends(fleet, since) if (a in one) == (b in one)]


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_was_stopped_blames_nobody_when_it_wakes(seed: int) -> None:
    fleet = settled(12, seed)
    fleet.members[4].stop()
    fleet.world.run(fleet.world.now + 10.0)
    fleet.members[4].go_on()
    since = fleet.world.now
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert not ends(fleet, since)
    assert not [
        c for c in fleet.members[4].history if c.kind in ("suspect", "gone") and c.number != 4
    ]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_slow_one_makes_no_sound_one_gone(seed: int) -> None:
    fleet = settled(12, seed)
    random = fleet.world.random
    fleet.members[4].lag = lambda: random.random() * 0.6  # each of its steps, and each datagram
    fleet.world.run(fleet.world.now + 60.0)
    assert not [(a, b) for a, b in ends(fleet) if b != 4]


@pytest.mark.parametrize("seed", SEEDS)
def test_who_hears_nobody_says_alone_and_calls_nobody_gone(seed: int) -> None:
    fleet = settled(12, seed)
    others = set(range(12)) - {3}
    fleet.world.cut(others, {3})
    fleet.world.run(fleet.world.now + 15.0)
    assert core(fleet, 3).view.self_state is HealthState.ISOLATED
    assert not [b for a, b in ends(fleet) if a == 3]
    assert fleet.agreed(others, others)  # it can send, and not hear: to the others it is gone
    fleet.world.cut(others, {3}, on=False)
    assert fleet.until(fleet.agreed, 15.0) is not None


@pytest.mark.parametrize("seed", SEEDS)
def test_who_is_heard_by_nobody_calls_nobody_gone(seed: int) -> None:
    fleet = settled(12, seed)
    others = set(range(12)) - {3}
    fleet.world.cut({3}, others)
    fleet.world.run(fleet.world.now + 15.0)
    assert not [b for a, b in ends(fleet) if a == 3]
    assert fleet.agreed(others, others)
    fleet.world.cut({3}, others, on=False)
    assert fleet.until(fleet.agreed, 15.0) is not None


def test_a_pair_that_is_cut_apart_goes_by_what_others_hear() -> None:
    fleet = settled(12, 1)
    fleet.world.cut({3}, {7})
    fleet.world.cut({7}, {3})
    fleet.world.run(fleet.world.now + 30.0)
    assert fleet.agreed() and not ends(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_seven_in_ten_at_once_and_thirty_percent_loss(seed: int) -> None:
    fleet = settled(12, seed)
    for member in fleet.members[:8]:
        member.kill()
    assert fleet.until(fleet.agreed, 15.0) is not None
    fleet = settled(12, seed, loss=0.3)
    fleet.world.run(fleet.world.now + 60.0)
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert not ends(fleet)


def test_all_that_is_held_returns_to_base() -> None:
    fleet = settled(12, 5, loss=0.2)
    for number in (1, 2, 3):
        fleet.members[number].kill()
    fleet.world.run(fleet.world.now + 30.0)
    fleet.world.every.loss = 0.0
    fleet.world.run(fleet.world.now + 10.0)
    for member in fleet.running():
        assert core(fleet, member.number).pending_entries <= 1  # a probe on its way
        assert member.peak_bytes <= fleet.timing.max_bytes_per_s


def test_one_that_leaves_is_not_missed() -> None:
    fleet = settled(12, 1)
    leaving = core(fleet, 3)
    leaving.leave(fleet.world.now)
    fleet.members[3]._flush(leaving)
    fleet.members[3].kill()
    assert fleet.until(fleet.agreed, 5.0) is not None
    assert core(fleet, 0).view.members[3].state is MemberState.LEFT and not ends(fleet)


def test_one_that_has_left_is_due_once_a_period_and_no_more() -> None:
    """It answers for as long as it drains, and nothing that it would have begun keeps its clock busy."""
    fleet = settled(4, 1, aloud=True)
    leaving, now = core(fleet, 3), fleet.world.now + 1.0
    leaving.tick(now)
    leaving.leave(now)
    for _ in range(5):
        due = leaving.arm(now)
        assert due >= now + fleet.timing.period_s
        now = due
        leaving.tick(now)


def alone() -> tuple[Core, Fleet]:
    fleet = settled(3, 1)
    return core(fleet, 0), fleet


def datagram(
    number: int, *news: Update, kind: MessageKind = MessageKind.GOSSIP, version: int = VERSION
) -> bytes:
    return encode(Datagram(version, number, 1, 1, kind, 0, 0, news))


def test_what_is_wrong_is_counted_by_its_reason() -> None:
    one, fleet = alone()
    now, source = fleet.world.now, fleet.addresses[1]
    before = one.view
    one.receive(("10.9.9.9", 1), datagram(1), now)
    one.receive(source, datagram(2), now)
    one.receive(fleet.addresses[0], datagram(0), now)
    one.receive(source, b"\x00", now)
    one.receive(source, b"x" * 257, now)
    one.receive(source, datagram(1, version=VERSION + 1), now)
    one.receive(source, datagram(1, Update(200, 1, 1)), now)
    assert one.dropped == {
        "stranger": 1,
        "number": 1,
        "own address": 1,
        "malformed": 1,
        "too long": 1,
        "version": 1,
        "unknown member": 1,
    }
    assert one.view.members == before.members
    assert one.last_heard(1) == now  # one that speaks a newer version lives


def test_a_member_that_floods_is_cut_short() -> None:
    one, fleet = alone()
    now = fleet.world.now
    for _ in range(1000):
        one.receive(fleet.addresses[1], datagram(1, kind=MessageKind.PING), now)
    assert one.dropped[DropReason.FLOOD] >= 1000 - fleet.timing.max_datagrams_per_s
    assert sum(len(data) for _, data in one.outbox) <= fleet.timing.max_bytes_per_s
    assert len(one.outbox) <= fleet.timing.max_datagrams_per_s


def test_a_liar_ends_no_sound_member() -> None:
    fleet = settled(12, 1)
    end = fleet.world.now + 30.0
    while fleet.world.now < end:  # 5 says again and again of all others that they are gone
        for target in range(12):
            if target != 5:
                liar = core(fleet, 5)
                lies = [
                    Update(n, liar.table[n].incarnation, int(MemberState.FAULTY))
                    for n in range(12)
                    if n != 5
                ]
                fleet.carry(5, target, datagram(5, *lies))
        fleet.world.run(fleet.world.now + 1.0)
    assert not [pair for pair in ends(fleet) if pair[0] != 5]


@pytest.mark.parametrize(
    "incarnation",
    [
        MAX_INCARNATION,
        MAX_INCARNATION - 1,
        PLAUSIBLE_INCARNATION + MAX_INCARNATION_JUMP,
        PLAUSIBLE_INCARNATION,
        1000,
    ],
)
def test_a_lie_about_the_future_can_be_refuted_for_ever(incarnation: int) -> None:
    """One says of all others that they are gone in an incarnation far ahead, for a while, also to one that
    has just started and knows nothing."""
    fleet = settled(6, 1)
    fleet.members[0].kill()
    fleet.world.run(fleet.world.now + 1.0)
    fleet.members[0].start()
    end = fleet.world.now + 10.0
    while fleet.world.now < end:
        for target in (0, 1, 2, 3, 4):
            lies = [Update(n, incarnation, int(MemberState.FAULTY)) for n in range(5)]
            fleet.carry(5, target, datagram(5, *lies))
        fleet.world.run(fleet.world.now + 0.5)
    assert not [pair for pair in ends(fleet) if pair[0] != 5 and pair[1] != 0]
    assert fleet.until(lambda: fleet.agreed(range(5), range(6)), 20.0) is not None
    assert all(
        core(fleet, n).incarnation < PLAUSIBLE_INCARNATION + 3 * MAX_INCARNATION_JUMP
        for n in range(5)
    )
    if incarnation > PLAUSIBLE_INCARNATION + MAX_INCARNATION_JUMP:
        assert (
            core(fleet, 1).dropped[DropReason.INCARNATION_JUMP] > 0
            and core(fleet, 1).incarnation < 100
        )
    fleet.members[2].kill()  # what is true is still seen, and comes back from nothing
    assert fleet.until(lambda: fleet.agreed([0, 1, 3, 4], [0, 1, 3, 4, 5]), 20.0) is not None
    fleet.members[2].start()
    assert fleet.until(lambda: fleet.agreed(range(5), range(6)), 20.0) is not None


def test_one_that_came_far_and_starts_from_nothing_believes_two_and_not_one() -> None:
    fleet = settled(6, 1)
    far = PLAUSIBLE_INCARNATION + 50 * MAX_INCARNATION_JUMP
    core(fleet, 2).state.incarnation = far  # as after years of refutations
    core(fleet, 2).table.merge(2, MemberStatus(far, MemberState.ALIVE))
    assert fleet.until(
        lambda: all(core(fleet, n).table[2].incarnation >= far for n in range(6)), 60.0
    )
    fleet.members[2].kill()
    others = set(range(6)) - {2}
    assert fleet.until(lambda: fleet.agreed(others, others), 20.0) is not None
    fleet.members[2].start()
    assert fleet.until(fleet.agreed, 20.0) is not None
    assert core(fleet, 2).incarnation > far


@pytest.mark.parametrize("seed", SEEDS)
def test_two_processes_of_one_number_both_say_so(seed: int) -> None:
    fleet = settled(6, seed)
    twin = fleet.twins[4] = Member(fleet, 4)
    twin.start()
    fleet.world.run(fleet.world.now + 15.0)
    for process in (fleet.members[4], twin):
        assert process.core is not None and process.core.view.self_state is HealthState.DUPLICATED
    assert any(c.kind == "doubled" and c.number == 4 for m in fleet.members for c in m.history)
    twin.kill()
    del fleet.twins[4]
    assert (
        fleet.until(lambda: core(fleet, 4).view.self_state is HealthState.HEALTHY, 60.0) is not None
    )


def test_a_restart_is_no_second_process() -> None:
    fleet = settled(6, 1)
    for _ in range(5):
        fleet.members[4].kill()
        fleet.world.run(fleet.world.now + 0.5)
        fleet.members[4].start()
        fleet.world.run(fleet.world.now + 10.0)
    assert not [c for m in fleet.members for c in m.history if c.kind == "doubled"]


def test_a_roster_that_grows_and_shrinks() -> None:
    fleet = settled(4, 1)
    longer = [*fleet.addresses, ("10.0.1.4", 7946)]
    for member in fleet.members:
        core(fleet, member.number).change_roster(Roster(longer, member.number), fleet.world.now)
    assert core(fleet, 0).view.members[4].state is MemberState.UNKNOWN
    fleet.world.run(fleet.world.now + 3.0)
    for member in fleet.members[:3]:
        core(fleet, member.number).change_roster(
            Roster(fleet.addresses[:3], member.number), fleet.world.now
        )
    assert set(core(fleet, 0).view.members) == {1, 2}
    fleet.world.run(fleet.world.now + 5.0)  # 3 goes on talking: a stranger
    assert core(fleet, 0).dropped[DropReason.STRANGER] > 0
    assert set(core(fleet, 0).view.members) == {1, 2}
    # One that starts with the shorter roster says the same as those that heard of 3.
    fleet.members[1].kill()
    fleet.members[1].start(Roster(fleet.addresses[:3], 1))
    fleet.world.run(fleet.world.now + 10.0)
    assert core(fleet, 1).table.digest == core(fleet, 0).table.digest
    assert core(fleet, 0).view.is_settled(fleet.world.now, 2.0)
    assert core(fleet, 0).last_heard(3) is None
    with pytest.raises(ValueError, match="own number"):
        core(fleet, 0).change_roster(Roster(fleet.addresses[:3], 1), fleet.world.now)
