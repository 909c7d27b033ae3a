"""Sweeps: how many are asked and when, and what a light probe is good for where datagrams get lost."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.failure_detector import MAX_DIRECT_LOSS
from quillroad.membership.local_health import FAST_LOSS_SMOOTHING, LocalHealth
from quillroad.membership.probe_burst import (
    FULL_RATE_S,
    PROBES_PER_MEMBER,
    REST_S,
    STEP_S,
    TAIL_S,
    ProbeBurst,
)
from quillroad.membership.suspicion import Suspicion
from tests.membership.test_core import core, ends, settled


def swept(dead: float) -> float:
    """How many one member gets asked by all others together, with so many of them gone."""
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


def test_the_fewer_are_left_the_more_each_asks() -> None:
    for dead in (0.0, 0.3, 0.7, 0.9):
        assert 0.7 * PROBES_PER_MEMBER < swept(dead) < 1.5 * PROBES_PER_MEMBER


@given(st.lists(st.floats(0.0, 3.0), max_size=200))
def test_sweeps_end_and_rest(waits: list[float]) -> None:
    """Suspicions whenever they come: it never lasts longer than a sweep, and rests after each."""
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


def test_seven_in_ten_of_sixty_are_missed_by_all_without_one_that_is_sound() -> None:
    for seed in (1, 2):
        fleet = settled(60, seed, 0.05)
        since, dead = fleet.world.now, set(range(42))
        for number in dead:
            fleet.members[number].kill()
        assert fleet.until(fleet.agreed, 10.0) is not None
        assert {number for _, number in ends(fleet, since)} == dead
        assert all(m.peak_bytes <= fleet.timing.max_bytes_per_s for m in fleet.running())


def test_one_that_is_cut_off_sweeps_nobody_away() -> None:
    fleet = settled(60, 1, 0.05)
    others = set(range(60)) - {7}
    fleet.world.cut({7}, others)
    fleet.world.cut(others, {7})
    since = fleet.world.now
    fleet.world.run(since + 4.0)
    # It has asked in turn and nobody answered: no sweep, that would make suspects of half of the fleet.
    assert len(core(fleet, 7).state.suspicions) < 8
    fleet.world.cut({7}, others, on=False)
    fleet.world.cut(others, {7}, on=False)
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert not [number for _, number in ends(fleet, since) if number != 7]


def test_loss_that_comes_at_once_makes_few_of_a_sweeps_questions_a_suspicion() -> None:
    """A third of the datagrams gets lost from one moment on, while many are suspected."""
    fleet = settled(60, 3, 0.05)
    fleet.world.every.loss = 0.3
    since = fleet.world.now
    fleet.world.run(since + 30.0)
    assert len(ends(fleet, since)) <= 3
    fleet.world.every.loss = 0.05
    assert fleet.until(fleet.agreed, 10.0) is not None


@given(st.lists(st.booleans(), max_size=60))
def test_what_is_lost_is_noticed_soon_and_forgotten(repeated: list[bool]) -> None:
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


def test_a_suspicion_waits_longer_once_more_gets_lost_and_never_shorter() -> None:
    held = Suspicion(1, 0.0, 2.0, 4.0, 1, others_know=True, scale=1.0)
    assert not held.rescale(1.1) and held.expires_at == 4.0
    assert held.rescale(1.5) and held.expires_at == 6.0
    assert not held.rescale(1.0) and held.expires_at == 6.0


def test_with_an_address_for_all_a_crash_costs_a_suspicions_wait() -> None:
    """Its silence, and its end, are known to all at once."""
    fleet = settled(60, 1, 0.05, aloud=True)
    fleet.members[4].kill()
    since = fleet.world.now
    assert fleet.until(fleet.agreed, 10.0) is not None
    first = min(
        c.at for m in fleet.running() for c in m.history if c.kind == "suspect" and c.at > since
    )
    heard = [
        c.at for m in fleet.running() for c in m.history if c.kind == "suspect" and c.at > since
    ]
    assert sum(at - first < 0.3 for at in heard) > 0.8 * len(heard)


def test_with_an_address_for_all_one_table_ends_a_partition() -> None:
    fleet = settled(40, 2, 0.05, aloud=True)
    one, other = set(range(16)), set(range(16, 40))
    for a, b in ((one, other), (other, one)):
        fleet.world.cut(a, b)
    assert (
        fleet.until(lambda: fleet.agreed(one, one) and fleet.agreed(other, other), 15.0) is not None
    )
    since = fleet.world.now
    for a, b in ((one, other), (other, one)):
        fleet.world.cut(a, b, on=False)
    assert fleet.until(fleet.agreed, 10.0) is not None
    assert not [(a, b) for a, b in ends(fleet, since) if (a in one) == (b in one)]
    fleet.world.run(fleet.world.now + 5.0)
    for member in fleet.members:
        assert core(fleet, member.number).pending_entries <= 1
        assert not core(fleet, member.number)._broadcaster.pending
        assert member.peak_bytes <= fleet.timing.max_bytes_per_s
