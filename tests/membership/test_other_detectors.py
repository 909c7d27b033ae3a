"""Reference failure detectors for comparison behave as their papers describe."""

from __future__ import annotations

from typing import Any

import pytest

from quillroad.membership.roster import Roster
from quillroad.membership.timing import Timing
from quillroad.membership.wire import VERSION, Datagram, MessageKind, encode
from simulation.cuts import Cuts
from simulation.fleet import Fleet
from simulation.heartbeats import Heartbeats
from simulation.net import Link, World
from simulation.phi import PAUSE_PERIODS, THRESHOLD, Phi

ROSTER = Roster([("10.0.0.0", 1), ("10.0.0.1", 1)], 0)


def settled(detector: Any, size: int, seed: int = 1) -> Fleet:
    fleet = Fleet(World(seed, Link(loss=0.05)), size, Timing(), detector)
    fleet.start(within_s=1.0)
    assert fleet.until(fleet.agreed, 20.0) is not None
    fleet.world.run(fleet.world.now + 5.0)
    return fleet


@pytest.mark.parametrize("detector", [Heartbeats, Phi, Cuts])
@pytest.mark.parametrize("size", [5, 12])
def test_all_members_detect_a_crash_and_declare_no_other_faulty(detector: Any, size: int) -> None:
    fleet = settled(detector, size)
    fleet.members[1].kill()
    assert fleet.until(fleet.agreed, 15.0) is not None
    assert {c.number for m in fleet.members for c in m.history if c.kind == "gone"} == {1}
    fleet.members[1].start()
    assert fleet.until(fleet.agreed, 15.0) is not None


def test_phi_grows_with_silence_relative_to_the_intervals() -> None:
    def phi_after(interval_s: float, silent_s: float) -> float:
        phi = Phi(ROSTER, Timing(), 0.0, lambda: 0.0, 1)
        for i in range(50):
            data = encode(Datagram(VERSION, 1, 1, 1, MessageKind.GOSSIP, 0, 0))
            phi.receive(("10.0.0.1", 1), data, i * interval_s)
        return phi.phi(1, silent_s + PAUSE_PERIODS * 2 * Timing().period_s)

    assert phi_after(1.0, 0.5) < phi_after(1.0, 1.0) < phi_after(1.0, 1.5)
    assert phi_after(1.0, 1.0) == pytest.approx(
        0.30, abs=0.01
    )  # -log10(0.5): the datagram is late with probability 1/2
    assert phi_after(2.0, 1.7) < THRESHOLD < phi_after(1.0, 1.7)


def test_cut_detection_without_three_quarters_declares_nobody_faulty() -> None:
    """Eight of twelve crash, so the survivors cannot reach a vote of three quarters."""
    fleet = settled(Cuts, 12)
    for member in fleet.members[:8]:
        member.kill()
    assert fleet.until(fleet.agreed, 30.0) is None
    assert not [c for m in fleet.members for c in m.history if c.kind == "gone"]
