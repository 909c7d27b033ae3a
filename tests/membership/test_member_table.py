"""The member table: a join in any order, and what two tables send each other."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.member_table import (
    CHUNK_MEMBERS,
    MAX_INCARNATION,
    NOTHING_KNOWN,
    SUSPECTOR_SLOTS,
    MemberState,
    MemberStatus,
    MemberTable,
    PackedStatuses,
    suspector_slot,
    unpack,
)

INCARNATIONS = st.integers(1, 5) | st.integers(1, MAX_INCARNATION)


@st.composite
def claims(draw: st.DrawFn) -> MemberStatus:
    standing = draw(st.sampled_from(list(MemberState)))
    if standing is MemberState.UNKNOWN:
        return NOTHING_KNOWN
    slots = draw(st.integers(1, 2**SUSPECTOR_SLOTS - 1)) if standing is MemberState.SUSPECT else 0
    return MemberStatus(draw(INCARNATIONS), standing, slots)


@given(claims(), claims(), claims())
def test_join_is_commutative_associative_and_idempotent(
    a: MemberStatus, b: MemberStatus, c: MemberStatus
) -> None:
    assert a.join(b) == b.join(a)
    assert a.join(b).join(c) == a.join(b.join(c))
    assert a.join(a) == a
    assert a.join(b)[:2] == max(a, b)[:2]  # never back to what was better, or before


@given(
    st.lists(st.tuples(st.integers(0, 69), claims()), max_size=40),
    st.randoms(use_true_random=False),
)
def test_tables_that_merged_the_same_in_any_order_are_equal(  # type: ignore[no-untyped-def]
    told: list[tuple[int, MemberStatus]], random
) -> None:
    one, other = MemberTable(70), MemberTable(70)
    for number, claim in told:
        one.merge(number, claim)
    again = told * 2
    random.shuffle(again)
    for number, claim in again:
        other.merge(number, claim)
    assert [one[n] for n in range(70)] == [other[n] for n in range(70)]
    assert one.digest == other.digest and not list(one.differing_chunks(other.chunk_digests()))


@given(st.lists(claims(), min_size=1, max_size=200))
def test_packed_statuses_are_unpacked_whole(held: list[MemberStatus]) -> None:
    table, copy = MemberTable(len(held)), MemberTable(len(held))
    for number, claim in enumerate(held):
        table.merge(number, claim)
    packed = table.pack(range(len(held)))
    told = unpack(packed)
    for number, claim in enumerate(told[: len(held)]):
        copy.merge(number, claim)
    assert [copy[n] for n in range(len(held))] == [table[n] for n in range(len(held))]
    assert told[: len(held)] == [
        table[n] for n in range(len(held))
    ]  # and nothing of those who are unknown


def test_only_chunks_that_differ_are_found() -> None:
    one, other = MemberTable(100), MemberTable(100)
    for table in (one, other):
        for number in range(100):
            table.merge(number, MemberStatus(1, MemberState.ALIVE))
    other.merge(CHUNK_MEMBERS + 3, MemberStatus(1, MemberState.FAULTY))
    assert list(one.differing_chunks(other.chunk_digests())) == [
        range(CHUNK_MEMBERS, 2 * CHUNK_MEMBERS)
    ]
    assert list(one.differing_chunks(other.chunk_digests()[1:], first=1)) == [
        range(CHUNK_MEMBERS, 2 * CHUNK_MEMBERS)
    ]
    one.merge(
        5, MemberStatus(1, MemberState.SUSPECT, suspector_slot(2))
    )  # a doubt is not settled: no table differs for it
    assert list(one.differing_chunks(other.chunk_digests())) == [
        range(CHUNK_MEMBERS, 2 * CHUNK_MEMBERS)
    ]
    assert one.digest != other.digest


@given(
    st.binary(max_size=100),
    st.integers(0, MAX_INCARNATION),
    st.lists(st.integers(0, 300), max_size=20),
)
def test_packed_statuses_that_make_no_sense_raise_value_error(
    codes: bytes, base: int, others: list[int]
) -> None:
    try:
        told = unpack(PackedStatuses(codes, base, tuple(others)))
    except ValueError:
        return
    assert len(told) == 2 * len(codes)


@given(st.lists(claims(), min_size=1, max_size=70))
def test_a_forgotten_member_leaves_no_trace_in_the_digest(held: list[MemberStatus]) -> None:
    table = MemberTable(len(held))
    for number, claim in enumerate(held):
        table.merge(number, claim)
    for number in range(len(held)):
        table.forget(number)
    assert table.digest == 0 and set(table.chunk_digests()) == {0} and table[0] == NOTHING_KNOWN


def test_an_incarnation_of_no_member_raises_value_error() -> None:
    with pytest.raises(ValueError, match="nobody"):
        unpack(PackedStatuses(b"\x11", 1, (2, 7)))
