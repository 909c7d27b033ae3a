"""Suspicions: reports by other members are refuted in time."""

from __future__ import annotations

import pytest

from tests.membership.clusters import SEEDS, declared_faulty, settled_cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_healed_partition_declares_no_member_of_own_side_faulty(
    seed: int,
) -> None:
    """A partition lasts until each side counts all members of the other as faulty, and heals.

    Reports from the other side must not make a gateway declare a member of its own side faulty.
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
    # Faulty reports from the other side arrived before the refutations and had no effect.
    assert not [(a, b) for a, b in declared_faulty(fleet, since) if (a in one) == (b in one)]
