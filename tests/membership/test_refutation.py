"""Refutation: false reports, however far their incarnation."""

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


def test_a_liar_makes_no_healthy_member_faulty() -> None:
    """One member says again and again for half a minute that all others are faulty."""
    fleet = settled_cluster(12, 1)
    end = fleet.world.now + 30.0
    while fleet.world.now < end:  # 5 says again and again of all others that they are gone
        for target in range(12):
            if target != 5:
                liar = core_of(fleet, 5)
                lies = [
                    Update(n, liar.table[n].incarnation, int(MemberState.FAULTY))
                    for n in range(12)
                    if n != 5
                ]
                fleet.carry(5, target, datagram(5, *lies))
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
    """A member reports all others faulty in an incarnation far ahead, for ten seconds.

    It does so also to one that has just started and knows nothing. None of them may come so far
    that nothing is left to refute with, and a true crash is still seen.
    """
    fleet = settled_cluster(6, 1)
    fleet.members[0].kill()
    fleet.world.run(fleet.world.now + 1.0)
    fleet.members[0].start()
    end = fleet.world.now + 10.0
    while fleet.world.now < end:
        for target in (0, 1, 2, 3, 4):
            lies = [Update(n, incarnation, int(MemberState.FAULTY)) for n in range(5)]
            fleet.carry(5, target, datagram(5, *lies))
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
    fleet.members[2].kill()  # what is true is still seen, and comes back from nothing
    assert fleet.until(lambda: fleet.agreed([0, 1, 3, 4], [0, 1, 3, 4, 5]), 20.0) is not None
    fleet.members[2].start()
    assert fleet.until(lambda: fleet.agreed(range(5), range(6)), 20.0) is not None


def test_a_restarted_member_with_a_far_incarnation_believes_two_reports_and_not_one() -> None:
    """A member that got very far by refutations crashes and restarts with incarnation 1.

    What is said of its old run is not credible to it, until two members say the same.
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
