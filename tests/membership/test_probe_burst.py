"""Bursts of direct-only probes: how many are sent and when, and what they are worth under loss."""

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


def probes_received(dead: float) -> float:
    """How many probes one member gets from all others together, with so many of them faulty."""
    burst, now, asked = ProbeBurst(), 10.0, 0.0
    burst.begin(now)
    while burst.is_active(now):
        if burst.is_due(now):
            share = burst.step(now)
            asked += share
            for i in range(100):
                burst.record_result(answered=i >= 100 * dead)
        now += STEP_S / 4
    return asked * (1 - dead)


def test_each_survivor_probes_more_the_fewer_answer() -> None:
    for dead in (0.0, 0.3, 0.7, 0.9):
        assert 0.7 * PROBES_PER_MEMBER < probes_received(dead) < 1.5 * PROBES_PER_MEMBER


@given(st.lists(st.floats(0.0, 3.0), max_size=200))
def test_bursts_end_and_rest(waits: list[float]) -> None:
    """Suspicions whenever they come: it never lasts longer than a burst, and rests after each."""
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


def test_mass_failure_is_seen_without_one_healthy_member_declared_faulty() -> None:
    """42 of 60 members crash at once: the others find just these faulty, within the send budget."""
    for seed in (1, 2):
        fleet = settled_cluster(60, seed, 0.05)
        since, dead = fleet.world.now, set(range(42))
        for number in dead:
            fleet.members[number].kill()
        assert fleet.until(fleet.agreed, 10.0) is not None
        assert {number for _, number in declared_faulty(fleet, since)} == dead
        assert all(m.peak_bytes <= fleet.timing.max_bytes_per_s for m in fleet.running())


def test_an_isolated_member_begins_no_burst() -> None:
    """A member is cut off for 4 s: when it is back, it must not suspect half of the cluster."""
    fleet = settled_cluster(60, 1, 0.05)
    others = set(range(60)) - {7}
    fleet.world.cut({7}, others)
    fleet.world.cut(others, {7})
    since = fleet.world.now
    fleet.world.run(since + 4.0)
    # It has probed in turn and nobody answered; a burst would suspect half of the cluster.
    assert len(core_of(fleet, 7).state.suspicions) < 8
    fleet.world.cut({7}, others, on=False)
    fleet.world.cut(others, {7}, on=False)
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert not [number for _, number in declared_faulty(fleet, since) if number != 7]


def test_sudden_loss_turns_few_probes_of_a_burst_into_suspicions() -> None:
    """A third of the datagrams gets lost from one moment on, while many are suspected."""
    fleet = settled_cluster(60, 3, 0.05)
    fleet.world.every.loss = 0.3
    since = fleet.world.now
    fleet.world.run(since + 30.0)
    assert len(declared_faulty(fleet, since)) <= 3
    fleet.world.every.loss = 0.05
    assert fleet.until(fleet.agreed, 10.0) is not None
