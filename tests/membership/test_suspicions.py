"""Suspicions: what another says is refuted in time."""

from __future__ import annotations

import pytest

from tests.membership.clusters import SEEDS, declared_faulty, settled_cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_a_healed_partition_makes_no_member_of_the_own_side_faulty(
    seed: int,
) -> None:
    """A partition lasts until each side holds the whole other one faulty, and heals.

    Each side's word that members of the other are faulty must end nobody on their own side.
    """
    fleet = settled_cluster(12, seed)
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
    assert not [(a, b) for a, b in declared_faulty(fleet, since) if (a in one) == (b in one)]
