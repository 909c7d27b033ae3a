"""Failure detector: all members detect crashes, and reachable members stay alive."""

from __future__ import annotations

import pytest

from tests.membership.clusters import SEEDS, core_of, declared_faulty, settled_cluster


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", [3, 12, 40])
def test_all_members_detect_a_crash_and_a_restart(size: int, seed: int) -> None:
    """A member crashes and restarts without its state, with incarnation 1.

    All others must count it as faulty, and as alive once it has refuted the reports on its old run.
    """
    fleet = settled_cluster(size, seed, loss=0.05)
    fleet.members[1].kill()
    assert fleet.until(fleet.agreed, 10.0) is not None
    fleet.world.run(fleet.world.now + 2.0)
    fleet.members[1].start()  # without state, so with incarnation 1 again
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert core_of(fleet, 1).incarnation > 1  # it refuted the reports on its old run


def test_indirect_probes_keep_two_members_alive_that_cannot_reach_each_other() -> None:
    """Only the network between two members is cut, for 30 s; all others reach both."""
    fleet = settled_cluster(12, 1)
    fleet.world.cut({3}, {7})
    fleet.world.cut({7}, {3})
    fleet.world.run(fleet.world.now + 30.0)
    assert fleet.agreed() and not declared_faulty(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_mass_failure_is_detected_and_heavy_loss_makes_no_member_faulty(seed: int) -> None:
    """Eight of twelve crash at once; in a second run 30% of all datagrams are lost for 60 s."""
    fleet = settled_cluster(12, seed)
    for member in fleet.members[:8]:
        member.kill()
    assert fleet.until(fleet.agreed, 15.0) is not None
    fleet = settled_cluster(12, seed, loss=0.3)
    fleet.world.run(fleet.world.now + 60.0)
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert not declared_faulty(fleet)
