"""Refutation of false reports with any incarnation."""

from __future__ import annotations

import pytest

from quillroad.membership.member_table import (
    MAX_INCARNATION,
    MAX_INCARNATION_JUMP,
    PLAUSIBLE_INCARNATION,
    MemberState,
    MemberStatus,
)
from quillroad.membership.wire import DropReason, Update
from tests.membership.clusters import core_of, datagram, declared_faulty, settled_cluster


def test_false_reports_of_one_member_make_no_healthy_member_faulty() -> None:
    """One member reports all others as faulty, again and again for 30 s."""
    fleet = settled_cluster(12, 1)
    end = fleet.world.now + 30.0
    while fleet.world.now < end:  # member 5 sends the false reports
        for target in range(12):
            if target != 5:
                reporter = core_of(fleet, 5)
                false_reports = [
                    Update(n, reporter.table[n].incarnation, int(MemberState.FAULTY))
                    for n in range(12)
                    if n != 5
                ]
                fleet.carry(5, target, datagram(5, *false_reports))
        fleet.world.run(fleet.world.now + 1.0)
    assert not [pair for pair in declared_faulty(fleet) if pair[0] != 5]


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
def test_a_false_report_of_a_far_incarnation_can_still_be_refuted(incarnation: int) -> None:
    """A member reports all others as faulty in a much higher incarnation, for ten seconds.

    One of the receivers has just started and knows no incarnations. No member may be driven to an
    incarnation from which it cannot refute, and a real crash must still be detected.
    """
    fleet = settled_cluster(6, 1)
    fleet.members[0].kill()
    fleet.world.run(fleet.world.now + 1.0)
    fleet.members[0].start()
    end = fleet.world.now + 10.0
    while fleet.world.now < end:
        for target in (0, 1, 2, 3, 4):
            false_reports = [Update(n, incarnation, int(MemberState.FAULTY)) for n in range(5)]
            fleet.carry(5, target, datagram(5, *false_reports))
        fleet.world.run(fleet.world.now + 0.5)
    assert not [pair for pair in declared_faulty(fleet) if pair[0] != 5 and pair[1] != 0]
    assert fleet.until(lambda: fleet.agreed(range(5), range(6)), 20.0) is not None
    assert all(
        core_of(fleet, n).incarnation < PLAUSIBLE_INCARNATION + 3 * MAX_INCARNATION_JUMP
        for n in range(5)
    )
    if incarnation > PLAUSIBLE_INCARNATION + MAX_INCARNATION_JUMP:
        assert (
            core_of(fleet, 1).dropped[DropReason.INCARNATION_JUMP] > 0
            and core_of(fleet, 1).incarnation < 100
        )
    fleet.members[
        2
    ].kill()  # a real crash is still detected, and the member rejoins without its state
    assert fleet.until(lambda: fleet.agreed([0, 1, 3, 4], [0, 1, 3, 4, 5]), 20.0) is not None
    fleet.members[2].start()
    assert fleet.until(lambda: fleet.agreed(range(5), range(6)), 20.0) is not None


def test_a_restarted_member_accepts_a_far_incarnation_only_from_two_reporters() -> None:
    """A member with a very high incarnation crashes and restarts with incarnation 1.

    Reports on its old run are not credible to it until two members have sent them.
    """
    fleet = settled_cluster(6, 1)
    far = PLAUSIBLE_INCARNATION + 50 * MAX_INCARNATION_JUMP
    core_of(fleet, 2).state.incarnation = far  # as after years of refutations
    core_of(fleet, 2).table.merge(2, MemberStatus(far, MemberState.ALIVE))
    assert fleet.until(
        lambda: all(core_of(fleet, n).table[2].incarnation >= far for n in range(6)), 60.0
    )
    fleet.members[2].kill()
    others = set(range(6)) - {2}
    assert fleet.until(lambda: fleet.agreed(others, others), 20.0) is not None
    fleet.members[2].start()
    assert fleet.until(fleet.agreed, 20.0) is not None
    assert core_of(fleet, 2).incarnation > far
