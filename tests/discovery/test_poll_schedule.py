"""Calls to discovery after a failure, of all gateways together, and how old their lists get
meanwhile.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.discovery.freshness import (
    AGENT_CALLS_PER_DOUBLING,
    AGENT_TIMEOUT_S,
    ANSWER_S,
    NOTIFIED_AFTER_MOVE_S,
    NOTIFIED_AFTER_S,
    SILENCE_S,
    EndpointFreshness,
)
from quillroad.discovery.poll_schedule import (
    BROKEN_OFF_WAIT_S,
    CALLS_PER_S,
    FEW_GATEWAYS,
    INITIAL_WAIT_S,
    MAX_AGENT_WAIT_S,
    MAX_ROUND_S,
    MAX_WAIT_S,
    MIN_ROUND_S,
    ROUND_S,
    PollSchedule,
)
from testbed.service import END_S, Service, lists_after, most_calls

LEFT_S = NOTIFIED_AFTER_S - ANSWER_S
GRACE_S = NOTIFIED_AFTER_S + 0.5  # in which sends to a host that leaves have to end


@given(st.integers(1, 120), st.integers(0, 2**32), st.floats(0.0, 1.4))
def test_a_fleet_that_lost_its_watches_at_once_asks_no_faster_than_one_service_answers(
    balancers: int, seed: int, took_s: float
) -> None:
    """join+disco+huge: 943 calls of forty gateways in 22 s, none answered. And those of low
    number asked again at once each time, before a round was a round also where it had failed.
    """
    calls = []
    for number in range(balancers):
        pacing = PollSchedule(balancers, number, random.Random(seed + number).random)
        at, last = 0.0, 0.0
        for call in range(4):
            wait_s = pacing.wait_s(LEFT_S, took_s=took_s if call else 0.0)
            assert (
                0.0 <= wait_s <= max(MAX_WAIT_S, min(ROUND_S, balancers / CALLS_PER_S))
            )  # no longer than a round
            at += wait_s
            calls.append(at)
            if call and balancers > FEW_GATEWAYS:
                round_s = min(ROUND_S, balancers / CALLS_PER_S)
                assert (
                    max(took_s, 0.85 * round_s) - 0.001 <= at - last <= max(took_s, round_s) + 0.001
                )
            last = at
            at += took_s
    for window_s in (2.0, 8.0):
        rate = max(CALLS_PER_S, balancers / ROUND_S)
        # Where one's round ends another's next may begin: twice the rate for a moment.
        most = (2 * rate if balancers > FEW_GATEWAYS else balancers / INITIAL_WAIT_S) * (
            window_s + 1
        )
        assert most_calls(calls, window_s) <= most


@given(st.sampled_from([4, 20, 40, 200]), st.floats(0.5, 3.5), st.integers(0, 2**32))
def test_who_lost_the_watch_has_the_list_before_a_change_counts_as_told(
    gateways: int, all_s: float, seed: int
) -> None:
    """Rounds of up to 10 s left half of 200 without a list when a change counted as told."""
    for silent, start, up_s in ((True, False, 0.0), (False, True, 0.0), (False, False, 8.0)):
        service = Service(all_s / gateways, up_s=up_s)
        has = lists_after(gateways, service, seed, silent, start)
        assert max(has) - up_s <= GRACE_S
        rate = gateways / MIN_ROUND_S
        after = [
            at for at in service.calls if at > 1.0
        ]  # the first calls after an end come at once
        assert most_calls(after) <= 2 * max(CALLS_PER_S, rate) + 3


@pytest.mark.parametrize("gateways", [18, 40, 200])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_starts_take_turns(gateways: int, seed: int) -> None:
    """The call of one whose line broke off just then finds no queue of those who only start."""
    starts = [
        PollSchedule(gateways, number, random.Random(seed + number).random)
        for number in range(gateways)
    ]
    calls = [pacing.start_s(LEFT_S) for pacing in starts]
    assert max(calls) <= ROUND_S
    assert most_calls(calls) <= 1.5 * gateways / ROUND_S + 2
    assert most_calls(calls, 0.25) <= 1.5 * gateways / ROUND_S / 4 + 2


@pytest.mark.parametrize("gateways", [40, 200])
@pytest.mark.parametrize("overbook", [1.0, 3.0])
@pytest.mark.parametrize("silent", [True, False])
def test_a_service_that_is_too_slow_gets_over_it(
    gateways: int, overbook: float, silent: bool
) -> None:
    """One that takes calls it can't answer in time and works on them all the same: with rounds
    that don't grow, or begin anew for those whose part comes early, its queue never got shorter
    than its callers' patience.
    """
    for seed in range(5):
        has = lists_after(gateways, Service(8.0 / gateways, overbook), seed, silent)
        assert max(has) < END_S / 2


def test_an_answer_that_broke_off_is_asked_for_again_soon_and_then_later() -> None:
    pacing = PollSchedule(40, 39, random.Random(1).random)
    waits = [pacing.wait_s(LEFT_S, answered=True) for _ in range(12)]
    assert waits[0] <= BROKEN_OFF_WAIT_S and waits[0] < waits[2] < waits[4]
    assert waits[-1] > 3.0  # no better than any other failure in the end
    pacing.succeeded(0.1)
    assert (
        pacing.wait_s(LEFT_S, answered=True) > 3.0
    )  # one that ends early each time is asked for in rounds
    pacing.succeeded(30.0)
    assert pacing.wait_s(LEFT_S, answered=True) <= BROKEN_OFF_WAIT_S


def turned_away(
    calls: list[tuple[float, int]], work_s: float, wait_timeout_s: float
) -> dict[int, float]:
    """How long each call (when, by whom) waits for its answer at a service that takes them in
    turn; those that wait longer than its patience are not in it.
    """
    free, waited = 0.0, {}
    for at, number in sorted(calls):
        if max(free, at) - at <= wait_timeout_s:
            free = max(free, at) + work_s
            waited[number] = free - at
    return waited


NUMBERS = st.sets(st.integers(1, 199), min_size=8)


@given(st.integers(20, 200), NUMBERS, st.integers(0, 2**32), st.floats(0.0, 4.0))
def test_a_broken_line_is_made_good_while_others_start(
    balancers: int, numbers: set[int], seed: int, broke_s: float
) -> None:
    """join+disco+huge, seed 51: 16 of 40 started at once, and the gateway whose watch broke off
    as it told of a drain waited behind them all at 7 to 8 calls a second, in vain: a send 2.4 s
    after it was told.
    """
    starting = {
        number for number in numbers if number < balancers and number % 5 < 2
    }  # two in five
    rng = random.Random(seed)
    calls = [
        (PollSchedule(balancers, number, rng.random).start_s(LEFT_S), number) for number in starting
    ]
    assert all(at <= ROUND_S for at, _ in calls)
    pacing = PollSchedule(balancers, 0, rng.random)
    calls.append((broke_s + pacing.wait_s(LEFT_S, answered=True), 0))
    # A service that takes one call from each in 5 s, and its patience of 2 s.
    waited = turned_away(calls, 5.0 / balancers, 2.0)
    assert waited.keys() == starting | {0}
    # Two in five in 4 s are half of what it can do: a few wait by chance, never a crowd.
    assert waited[0] <= 8 * 5.0 / balancers + 0.2 * len(starting) / balancers
    assert pacing.wait_s(LEFT_S) <= ROUND_S  # turned away nevertheless: not for long


def test_a_gateway_with_an_agent_of_its_own_waits_for_nobody() -> None:
    pacing = PollSchedule(1, 0, random.Random(1).random, has_own_agent=True)
    assert pacing.start_s(LEFT_S) == 0.0
    assert max(pacing.wait_s(LEFT_S, took_s=0.4) for _ in range(50)) <= MAX_AGENT_WAIT_S
    assert max(pacing.wait_s(LEFT_S, answered=True) for _ in range(50)) <= MAX_AGENT_WAIT_S


@given(st.integers(4, 60), st.integers(0, 2**32))
def test_who_is_left_takes_the_rounds_of_those_who_are(left: int, seed: int) -> None:
    """Seven in ten are gone: the rounds of those who stay are theirs alone, each with its own
    part.
    """
    calls = []
    for rank in range(left):
        pacing = PollSchedule(200, 3 * rank, random.Random(seed + rank).random)
        pacing.set_gateway_count(rank, left)
        calls.append(pacing.wait_s(LEFT_S))
    round_s = min(ROUND_S, left / CALLS_PER_S)
    assert all(
        round_s * rank / left <= at <= round_s * (rank + 1) / left for rank, at in enumerate(calls)
    )
    alone = PollSchedule(200, 3, random.Random(seed).random)
    alone.set_gateway_count(0, 1)
    assert alone.wait_s(LEFT_S) <= INITIAL_WAIT_S


def test_waits_that_have_grown_outlive_a_change_of_company() -> None:
    pacing = PollSchedule(2, 0, lambda: 0.5)
    grown = [pacing.wait_s(LEFT_S) for _ in range(6)][-1]
    pacing.set_gateway_count(1, 3)
    assert pacing.wait_s(LEFT_S) >= grown > INITIAL_WAIT_S


def test_rounds_grow_only_where_calls_had_waited() -> None:
    for took_s, most_s in ((0.01, ROUND_S), (2.0, MAX_ROUND_S)):
        pacing = PollSchedule(200, 100, random.Random(3).random)
        waits = [pacing.wait_s(LEFT_S, took_s=took_s) + took_s for _ in range(6)]
        assert 0.85 * most_s <= waits[-1] <= most_s


def test_one_clock_for_silence_failures_and_moves() -> None:
    clock = EndpointFreshness(100.0, has_own_agent=False)
    clock.heard(102.0)
    assert clock.left_s(102.0) == LEFT_S
    assert clock.left_s(102.0 + SILENCE_S) == LEFT_S - SILENCE_S
    clock.failed(101.0)  # began before the last sign of life: says nothing
    assert clock.since == 102.0
    clock.failed(104.5)  # until then discovery could not be reached
    assert clock.left_s(106.5) == LEFT_S - 2.0
    clock.moved(107.0)
    assert clock.left_s(107.0) == NOTIFIED_AFTER_MOVE_S - ANSWER_S
    assert clock.left_s(200.0) == 0.0


def test_an_agent_that_swallows_calls_is_asked_often_and_one_that_is_slow_is_heard() -> None:
    clock = EndpointFreshness(0.0, has_own_agent=True)
    assert clock.first_byte_s() == AGENT_TIMEOUT_S
    for _ in range(AGENT_CALLS_PER_DOUBLING):  # 8 s of silence
        clock.failed(1.0)
    assert clock.first_byte_s() == 2 * AGENT_TIMEOUT_S
    for _ in range(1000):
        clock.failed(1.0)
    assert clock.first_byte_s() == SILENCE_S
    clock.heard(9.0)
    assert clock.first_byte_s() == AGENT_TIMEOUT_S
    assert (
        EndpointFreshness(0.0, has_own_agent=False).first_byte_s() == SILENCE_S
    )  # others may have to wait for their turn
