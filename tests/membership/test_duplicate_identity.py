"""Two processes under one member number."""

from __future__ import annotations

import pytest

from quillroad.membership.local_health import HealthState
from simulation.fleet import Member
from tests.membership.clusters import SEEDS, core_of, settled_cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_two_processes_under_one_number_both_report_duplicated(seed: int) -> None:
    """A second process runs under a member's number, and each datagram reaches either of them.

    Both must report it while both run, and the one that remains must become healthy again.
    """
    fleet = settled_cluster(6, seed)
    twin = fleet.twins[4] = Member(fleet, 4)
    twin.start()
    fleet.world.run(fleet.world.now + 15.0)
    for process in (fleet.members[4], twin):
        assert process.core is not None and process.core.view.self_state is HealthState.DUPLICATED
    assert any(c.kind == "doubled" and c.number == 4 for m in fleet.members for c in m.history)
    twin.kill()
    del fleet.twins[4]
    assert (
        fleet.until(lambda: core_of(fleet, 4).view.self_state is HealthState.HEALTHY, 60.0)
        is not None
    )


def test_a_restart_does_not_count_as_a_second_process() -> None:
    """A member restarts five times, half a second after each crash."""
    fleet = settled_cluster(6, 1)
    for _ in range(5):
        fleet.members[4].kill()
        fleet.world.run(fleet.world.now + 0.5)
        fleet.members[4].start()
        fleet.world.run(fleet.world.now + 10.0)
    assert not [c for m in fleet.members for c in m.history if c.kind == "doubled"]
