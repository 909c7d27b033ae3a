"""Probing: crashes are seen by all, and reachable members stay alive."""

from __future__ import annotations

import pytest

from tests.membership.clusters import SEEDS, core_of, declared_faulty, settled_cluster


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", [3, 12, 40])
def test_a_crash_and_a_restart_are_seen_by_all_members(size: int, seed: int) -> None:
    """A member crashes, and restarts from nothing with incarnation 1.

    All others find it faulty, and alive again once it has refuted what they say of its old run.
    """
    fleet = settled_cluster(size, seed, loss=0.05)
    fleet.members[1].kill()
    assert fleet.until(fleet.agreed, 10.0) is not None
    fleet.world.run(fleet.world.now + 2.0)
    fleet.members[1].start()  # from nothing: it begins with incarnation 1 again
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert core_of(fleet, 1).incarnation > 1  # refuted what was said of the old one


def test_two_members_that_cannot_reach_each_other_go_by_indirect_probes() -> None:
    """The network between two members alone is cut for half a minute; all others reach both."""
    fleet = settled_cluster(12, 1)
    fleet.world.cut({3}, {7})
    fleet.world.cut({7}, {3})
    fleet.world.run(fleet.world.now + 30.0)
    assert fleet.agreed() and not declared_faulty(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_mass_failure_is_seen_and_heavy_loss_makes_nobody_faulty(seed: int) -> None:
    """Eight of twelve crash at once; in a second run 30% of all datagrams get lost for a minute."""
    fleet = settled_cluster(12, seed)
    for member in fleet.members[:8]:
        member.kill()
    assert fleet.until(fleet.agreed, 15.0) is not None
    fleet = settled_cluster(12, seed, loss=0.3)
    fleet.world.run(fleet.world.now + 60.0)
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert not declared_faulty(fleet)
