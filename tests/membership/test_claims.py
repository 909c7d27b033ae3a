"""The table of claims: a join in any order, and what two tables tell each other."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.claims import (
    CHUNK,
    MOST_INCARNATION,
    NOTHING,
    SLOTS,
    Claim,
    Claims,
    Standing,
    slot,
    unpacked,
)

INCARNATIONS = st.integers(1, 5) | st.integers(1, MOST_INCARNATION)


@st.composite
def claims(draw: st.DrawFn) -> Claim:
    standing = draw(st.sampled_from(list(Standing)))
    if standing is Standing.UNKNOWN:
        return NOTHING
    slots = draw(st.integers(1, 2**SLOTS - 1)) if standing is Standing.SUSPECT else 0
    return Claim(draw(INCARNATIONS), standing, slots)


@given(claims(), claims(), claims())
def test_a_join_is_commutative_associative_and_idempotent(a: Claim, b: Claim, c: Claim) -> None:
    assert a.join(b) == b.join(a)
    assert a.join(b).join(c) == a.join(b.join(c))
    assert a.join(a) == a
    assert a.join(b)[:2] == max(a, b)[:2]  # never back to what was better, or before


@given(
    st.lists(st.tuples(st.integers(0, 69), claims()), max_size=40),
    st.randoms(use_true_random=False),
)
def test_tables_that_heard_the_same_in_any_order_say_the_same(  # type: ignore[no-untyped-def]
    told: list[tuple[int, Claim]], random
) -> None:
    one, other = Claims(70), Claims(70)
    for number, claim in told:
        one.merge(number, claim)
    again = told * 2
    random.shuffle(again)
    for number, claim in again:
        other.merge(number, claim)
    assert [one[n] for n in range(70)] == [other[n] for n in range(70)]
    assert one.digest == other.digest and not list(one.differing(other.digests()))


@given(st.lists(claims(), min_size=1, max_size=200))
def test_what_is_packed_is_told_whole(held: list[Claim]) -> None:
    table, copy = Claims(len(held)), Claims(len(held))
    for number, claim in enumerate(held):
        table.merge(number, claim)
    codes, base, others = table.packed(range(len(held)))
    told = unpacked(codes, base, others)
    for number, claim in enumerate(told[: len(held)]):
        copy.merge(number, claim)
    assert [copy[n] for n in range(len(held))] == [table[n] for n in range(len(held))]
    assert told[: len(held)] == [
        table[n] for n in range(len(held))
    ]  # and nothing of those who are unknown


def test_only_what_differs_is_found() -> None:
    one, other = Claims(100), Claims(100)
    for table in (one, other):
        for number in range(100):
            table.merge(number, Claim(1, Standing.ALIVE))
    other.merge(CHUNK + 3, Claim(1, Standing.GONE))
    assert list(one.differing(other.digests())) == [range(CHUNK, 2 * CHUNK)]
    assert list(one.differing(other.digests()[1:], first=1)) == [range(CHUNK, 2 * CHUNK)]
    one.merge(
        5, Claim(1, Standing.SUSPECT, slot(2))
    )  # a doubt is not settled: no table differs for it
    assert list(one.differing(other.digests())) == [range(CHUNK, 2 * CHUNK)]
    assert one.digest != other.digest


@given(
    st.binary(max_size=100),
    st.integers(0, MOST_INCARNATION),
    st.lists(st.integers(0, 300), max_size=20),
)
def test_a_table_that_makes_no_sense_is_refused(codes: bytes, base: int, others: list[int]) -> None:
    try:
        told = unpacked(codes, base, others)
    except ValueError:
        return
    assert len(told) == 2 * len(codes)


@given(st.lists(claims(), min_size=1, max_size=70))
def test_who_is_forgotten_leaves_no_trace_in_the_digest(held: list[Claim]) -> None:
    table = Claims(len(held))
    for number, claim in enumerate(held):
        table.merge(number, claim)
    for number in range(len(held)):
        table.forget(number)
    assert table.digest == 0 and set(table.digests()) == {0} and table[0] == NOTHING


def test_an_incarnation_of_nobody_is_refused() -> None:
    with pytest.raises(ValueError, match="nobody"):
        unpacked(b"\x11", 1, (2, 7))
