"""The member table: merging in any order, digests, packing and unpacking."""

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
def statuses(draw: st.DrawFn) -> MemberStatus:
    state = draw(st.sampled_from(list(MemberState)))
    if state is MemberState.UNKNOWN:
        return NOTHING_KNOWN
    slots = draw(st.integers(1, 2**SUSPECTOR_SLOTS - 1)) if state is MemberState.SUSPECT else 0
    return MemberStatus(draw(INCARNATIONS), state, slots)


@given(statuses(), statuses(), statuses())
def test_join_is_commutative_associative_and_idempotent(
    a: MemberStatus, b: MemberStatus, c: MemberStatus
) -> None:
    assert a.join(b) == b.join(a)
    assert a.join(b).join(c) == a.join(b.join(c))
    assert a.join(a) == a
    assert a.join(b)[:2] == max(a, b)[:2]  # never an older incarnation or a better state


@given(
    st.lists(st.tuples(st.integers(0, 69), statuses()), max_size=40),
    st.randoms(use_true_random=False),
)
def test_tables_with_the_same_merges_in_any_order_are_equal(  # type: ignore[no-untyped-def]
    merges: list[tuple[int, MemberStatus]], random
) -> None:
    one, other = MemberTable(70), MemberTable(70)
    for number, status in merges:
        one.merge(number, status)
    again = merges * 2
    random.shuffle(again)
    for number, status in again:
        other.merge(number, status)
    assert [one[n] for n in range(70)] == [other[n] for n in range(70)]
    assert one.digest == other.digest and not list(one.differing_chunks(other.chunk_digests()))


@given(st.lists(statuses(), min_size=1, max_size=200))
def test_unpack_restores_packed_statuses(original: list[MemberStatus]) -> None:
    table, copy = MemberTable(len(original)), MemberTable(len(original))
    for number, status in enumerate(original):
        table.merge(number, status)
    packed = table.pack(range(len(original)))
    unpacked = unpack(packed)
    for number, status in enumerate(unpacked[: len(original)]):
        copy.merge(number, status)
    assert [copy[n] for n in range(len(original))] == [table[n] for n in range(len(original))]
    assert unpacked[: len(original)] == [
        table[n] for n in range(len(original))
    ]  # unknown members stay unknown


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
    )  # a suspicion is temporary and does not make digests differ
    assert list(one.differing_chunks(other.chunk_digests())) == [
        range(CHUNK_MEMBERS, 2 * CHUNK_MEMBERS)
    ]
    assert one.digest != other.digest


@given(
    st.binary(max_size=100),
    st.integers(0, MAX_INCARNATION),
    st.lists(st.integers(0, 300), max_size=20),
)
def test_unpack_of_any_input_succeeds_or_raises_value_error(
    codes: bytes, base: int, exceptions: list[int]
) -> None:
    try:
        unpacked = unpack(PackedStatuses(codes, base, tuple(exceptions)))
    except ValueError:
        return
    assert len(unpacked) == 2 * len(codes)


@given(st.lists(statuses(), min_size=1, max_size=70))
def test_a_forgotten_member_does_not_change_the_digest(original: list[MemberStatus]) -> None:
    table = MemberTable(len(original))
    for number, status in enumerate(original):
        table.merge(number, status)
    for number in range(len(original)):
        table.forget(number)
    assert table.digest == 0 and set(table.chunk_digests()) == {0} and table[0] == NOTHING_KNOWN


def test_unpack_with_an_exception_beyond_the_members_raises_value_error() -> None:
    with pytest.raises(ValueError, match="index beyond the packed members"):
        unpack(PackedStatuses(b"\x11", 1, (2, 7)))
