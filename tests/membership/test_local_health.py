"""Local health: a member with a fault of its own declares no other member faulty."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.failure_detector import MAX_DIRECT_LOSS
from quillroad.membership.local_health import FAST_LOSS_SMOOTHING, HealthState, LocalHealth
from tests.membership.clusters import SEEDS, core_of, declared_faulty, settled_cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_a_stopped_process_suspects_no_member_after_it_resumes(seed: int) -> None:
    """A process is stopped for ten seconds, and its timers fire before it reads its socket.

    It must not count answers as missing that are still unread in the socket.
    """
    fleet = settled_cluster(12, seed)
    fleet.members[4].stop()
    fleet.world.run(fleet.world.now + 10.0)
    fleet.members[4].go_on()
    since = fleet.world.now
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert not declared_faulty(fleet, since)
    assert not [
        c for c in fleet.members[4].history if c.kind in ("suspect", "gone") and c.number != 4
    ]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_slow_member_makes_no_healthy_member_faulty(seed: int) -> None:
    """Each tick and each datagram of one member is up to 0.6 s late for a minute."""
    fleet = settled_cluster(12, seed)
    random = fleet.world.random
    fleet.members[4].lag = lambda: random.random() * 0.6
    fleet.world.run(fleet.world.now + 60.0)
    assert not [(a, b) for a, b in declared_faulty(fleet) if b != 4]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_member_that_receives_nothing_is_isolated_and_declares_none_faulty(seed: int) -> None:
    """A member can send but not receive.

    The others must count it as faulty; it must count itself as isolated and them as not faulty.
    """
    fleet = settled_cluster(12, seed)
    others = set(range(12)) - {3}
    fleet.world.cut(others, {3})
    fleet.world.run(fleet.world.now + 15.0)
    assert core_of(fleet, 3).view.self_state is HealthState.ISOLATED
    assert not [b for a, b in declared_faulty(fleet) if a == 3]
    assert fleet.agreed(others, others)  # the others count it as faulty
    fleet.world.cut(others, {3}, on=False)
    assert fleet.until(fleet.agreed, 15.0) is not None


@pytest.mark.parametrize("seed", SEEDS)
def test_a_member_that_cannot_send_declares_none_faulty(seed: int) -> None:
    """A member can receive but not send, so its probes stay unanswered."""
    fleet = settled_cluster(12, seed)
    others = set(range(12)) - {3}
    fleet.world.cut({3}, others)
    fleet.world.run(fleet.world.now + 15.0)
    assert not [b for a, b in declared_faulty(fleet) if a == 3]
    assert fleet.agreed(others, others)
    fleet.world.cut({3}, others, on=False)
    assert fleet.until(fleet.agreed, 15.0) is not None


@given(st.lists(st.booleans(), max_size=60))
def test_loss_estimates_stay_in_range_and_decay(repeated: list[bool]) -> None:
    health = LocalHealth(0.2, 3.0, 2.0, 2)
    for i, one in enumerate(repeated):
        health.record_answer(float(i), one)
        assert 0.0 <= health.fast_loss <= 1.0 and 0.0 <= health.loss <= 1.0
        assert health.refutation_loss_factor >= health.probe_loss_factor >= 1.0
    for i in range(200):
        health.record_answer(float(i), False)
    assert (
        health.probe_loss_factor == 1.0 and health.fast_loss < MAX_DIRECT_LOSS * FAST_LOSS_SMOOTHING
    )
