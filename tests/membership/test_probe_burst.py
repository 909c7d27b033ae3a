"""Bursts of direct-only probes: their number and timing, and their effect under loss."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.probe_burst import (
    FULL_RATE_S,
    PROBES_PER_MEMBER,
    REST_S,
    STEP_S,
    TAIL_S,
    ProbeBurst,
)
from tests.membership.clusters import core_of, declared_faulty, settled_cluster


def probes_received(faulty_fraction: float) -> float:
    """Return the probes one member receives in a burst while a fraction of all is faulty."""
    burst, now, probes_per_sender = ProbeBurst(), 10.0, 0.0
    burst.begin(now)
    while burst.is_active(now):
        if burst.is_due(now):
            count = burst.step(now)
            probes_per_sender += count
            for i in range(100):
                burst.record_result(answered=i >= 100 * faulty_fraction)
        now += STEP_S / 4
    return probes_per_sender * (1 - faulty_fraction)


def test_each_survivor_sends_more_probes_the_fewer_members_answer() -> None:
    for fraction in (0.0, 0.3, 0.7, 0.9):
        assert 0.7 * PROBES_PER_MEMBER < probes_received(fraction) < 1.5 * PROBES_PER_MEMBER


@given(st.lists(st.floats(0.0, 3.0), max_size=200))
def test_bursts_have_limited_length_and_a_minimum_interval(waits: list[float]) -> None:
    """Suspicions at any times neither extend a burst nor start one within `REST_S` after it."""
    burst, now, began = ProbeBurst(), 0.0, float("-inf")
    for wait in waits:
        now += wait
        before = burst.is_active(now)
        burst.begin(now)
        if burst.is_active(now) and not before:
            assert now - began >= FULL_RATE_S + TAIL_S + REST_S
            began = now
        if now - began > FULL_RATE_S + TAIL_S:
            assert not burst.is_active(now) and not burst.is_due(now)
        assert 0.0 < burst.gossip_fraction(now, 0.8) <= 0.8


def test_mass_failure_is_detected_and_no_healthy_member_declared_faulty() -> None:
    """42 of 60 members crash at once; the others declare just these faulty, within the budget."""
    for seed in (1, 2):
        fleet = settled_cluster(60, seed, 0.05)
        since, dead = fleet.world.now, set(range(42))
        for number in dead:
            fleet.members[number].kill()
        assert fleet.until(fleet.agreed, 10.0) is not None
        assert {number for _, number in declared_faulty(fleet, since)} == dead
        assert all(m.peak_bytes <= fleet.timing.max_bytes_per_s for m in fleet.running())


def test_an_isolated_member_starts_no_burst() -> None:
    """A member is cut off for 4 s and must not suspect half of the cluster when it returns."""
    fleet = settled_cluster(60, 1, 0.05)
    others = set(range(60)) - {7}
    fleet.world.cut({7}, others)
    fleet.world.cut(others, {7})
    since = fleet.world.now
    fleet.world.run(since + 4.0)
    # Its round-robin probes were unanswered; a burst would make it suspect half of the cluster.
    assert len(core_of(fleet, 7).state.suspicions) < 8
    fleet.world.cut({7}, others, on=False)
    fleet.world.cut(others, {7}, on=False)
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert not [number for _, number in declared_faulty(fleet, since) if number != 7]


def test_few_members_are_declared_faulty_after_sudden_loss_in_a_burst() -> None:
    """Loss rises to 30% at once, so that many members are suspected."""
    fleet = settled_cluster(60, 3, 0.05)
    fleet.world.every.loss = 0.3
    since = fleet.world.now
    fleet.world.run(since + 30.0)
    assert len(declared_faulty(fleet, since)) <= 3
    fleet.world.every.loss = 0.05
    assert fleet.until(fleet.agreed, 10.0) is not None
