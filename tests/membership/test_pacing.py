"""Calls to discovery after a failure, of all gateways together."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.pacing import BROKEN_S, FEW, FIRST_S, MOST_S, RATE, ROUND_S, UNSURE_S, Pacing


@given(st.integers(1, 120), st.integers(0, 2**32), st.floats(0.0, 2.0))
def test_a_fleet_that_lost_its_watches_at_once_asks_no_faster_than_one_service_answers(
    balancers: int, seed: int, took_s: float
) -> None:
    """join+disco+huge: 943 calls of forty gateways in 22 s, none answered."""
    calls = []
    for number in range(balancers):
        pacing = Pacing(balancers, number, random.Random(seed + number).random)
        at = 0.0
        for _ in range(4):
            wait_s = pacing.wait_s()
            assert 0.0 <= wait_s <= max(MOST_S, min(ROUND_S, balancers / RATE))  # no longer than a round
            calls.append(at + wait_s)
            at += wait_s + took_s
    calls.sort()
    for window_s in (2.0, 8.0):
        most = max(sum(start <= t < start + window_s for t in calls) for start in calls[::7])
        # Where one's round ends another's next may begin: twice the rate for a moment.
        rate = max(RATE, balancers / ROUND_S)
        assert most <= (2 * rate if balancers > FEW else balancers / FIRST_S) * (window_s + 1)


def test_an_answer_that_broke_off_is_asked_for_again_soon_and_then_later() -> None:
    pacing = Pacing(40, 39, random.Random(1).random)
    waits = [pacing.wait_s(answered=True) for _ in range(12)]
    assert waits[0] <= BROKEN_S and waits[0] < waits[2] < waits[4]
    assert waits[-1] > 9.0  # no better than any other failure in the end
    pacing.succeeded(0.1)
    assert pacing.wait_s(answered=True) > 5.0  # a watch that ends early each time is asked for in rounds
    pacing.succeeded(30.0)
    assert pacing.wait_s(answered=True) <= BROKEN_S


def turned_away(calls: list[tuple[float, int]], work_s: float, patience_s: float) -> dict[int, float]:
    """How long each call (when, by whom) waits for its answer at a service that takes them in turn; those
    that wait longer than its patience are not in it."""
    free, waited = 0.0, {}
    for at, number in sorted(calls):
        if max(free, at) - at <= patience_s:
            free = max(free, at) + work_s
            waited[number] = free - at
    return waited


NUMBERS = st.sets(st.integers(1, 199), min_size=8)


@given(st.integers(20, 200), NUMBERS, st.integers(0, 2**32), st.floats(0.0, 4.0))
def test_a_broken_line_is_made_good_while_others_start(
    balancers: int, numbers: set[int], seed: int, broke_s: float
) -> None:
    """join+disco+huge, seed 51: 16 of 40 started at once, and the gateway whose watch broke off as it told
    of a drain waited behind them all at 7 to 8 calls a second, in vain: a send 2.4 s after it was told."""
    starting = {number for number in numbers if number < balancers and number % 5 < 2}  # two in five
    rng = random.Random(seed)
    calls = [(Pacing(balancers, number, rng.random).start_s(), number) for number in starting]
    assert all(at <= UNSURE_S for at, _ in calls)
    pacing = Pacing(balancers, 0, rng.random)
    calls.append((broke_s + pacing.wait_s(answered=True), 0))
    # A service that takes one call from each in 5 s, and its patience of 2 s.
    waited = turned_away(calls, 5.0 / balancers, 2.0)
    assert waited.keys() == starting | {0}
    # Two in five in 4 s are half of what it can do: a few wait by chance, never a crowd.
    assert waited[0] <= 8 * 5.0 / balancers + 0.2 * len(starting) / balancers
    assert pacing.wait_s() <= UNSURE_S  # turned away nevertheless: not for long


def test_a_gateway_with_an_agent_of_its_own_waits_for_nobody() -> None:
    assert Pacing(1, 0, random.Random(1).random).start_s() == 0.0


@given(st.integers(4, 60), st.integers(0, 2**32))
def test_who_is_left_takes_the_rounds_of_those_who_are(left: int, seed: int) -> None:
    """Seven in ten are gone: the rounds of those who stay are theirs alone, each with its own part."""
    calls = []
    for rank in range(left):
        pacing = Pacing(200, 3 * rank, random.Random(seed + rank).random)
        pacing.divide(rank, left)
        calls.append(pacing.wait_s())
    round_s = min(ROUND_S, left / RATE)
    assert all(round_s * rank / left <= at <= round_s * (rank + 1) / left for rank, at in enumerate(calls))
    alone = Pacing(200, 3, random.Random(seed).random)
    alone.divide(0, 1)
    assert alone.wait_s() <= FIRST_S


def test_waits_that_have_grown_outlive_a_change_of_company() -> None:
    pacing = Pacing(2, 0, lambda: 0.5)
    grown = [pacing.wait_s() for _ in range(6)][-1]
    pacing.divide(1, 3)
    assert pacing.wait_s() >= grown > FIRST_S
