"""Encoding and decoding of datagrams, including damaged and arbitrary bytes."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.wire import (
    MAX_DATAGRAM_BYTES,
    MAX_MEMBERS,
    VERSION,
    Datagram,
    MessageKind,
    OtherVersionError,
    UnreadableDatagramError,
    Update,
    decode,
    encode,
)

BITS = st.integers(0, 2**32 - 1)
NUMBERS = st.integers(0, MAX_MEMBERS - 1)
UPDATES = st.builds(Update, NUMBERS, BITS, st.integers(1, 4), st.integers(1, 7))
DATAGRAMS = st.builds(
    Datagram,
    st.just(VERSION),
    NUMBERS,
    BITS,
    BITS,
    st.sampled_from(list(MessageKind)),
    BITS,
    BITS,
    st.lists(UPDATES, max_size=12).map(tuple),
    NUMBERS,
)


def readable(data: bytes) -> bool:
    try:
        decode(data)
    except (UnreadableDatagramError, OtherVersionError):
        return False
    return True


@given(DATAGRAMS)
def test_encoded_datagrams_are_read_back(datagram: Datagram) -> None:
    data = encode(datagram)
    assert len(data) > MAX_DATAGRAM_BYTES or decode(data) == datagram


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_decoded_or_rejected(data: bytes) -> None:
    readable(data)


@given(DATAGRAMS, st.integers(0, 255), st.binary(min_size=1, max_size=3))
def test_damaged_datagrams_are_decoded_or_rejected(
    datagram: Datagram, at: int, damage: bytes
) -> None:
    data = encode(datagram)
    readable(data[: at % len(data)] + damage + data[at % len(data) + 1 :])


def test_fields_outside_their_bounds_are_rejected() -> None:
    good = [VERSION, 3, 7, 1, 0, 9, 11, [], 0]
    assert readable(msgspec.msgpack.encode(good))
    for at, value in (
        (1, MAX_MEMBERS),
        (1, -1),
        (2, 2**32),
        (3, 2**32),
        (4, 9),
        (5, -1),
        (8, MAX_MEMBERS),
        (7, [[1, 1, 5, 0]]),
        (7, [[1, 1, 2, 8]]),
        (7, [[1, 1, 2, 0]]),
        (7, [[1, 5, 0, 0]]),
        (7, [[1]]),
        (7, "x"),
        (3, 1.5),
        (3, None),
    ):
        bad = list(good)
        bad[at] = value
        assert not readable(msgspec.msgpack.encode(bad)), (at, value)
    assert not readable(msgspec.msgpack.encode(good)[:1]) and not readable(b"")
    assert not readable(
        msgspec.msgpack.encode([*good, b"x" * 250])
    )  # longer than MAX_DATAGRAM_BYTES


def test_unknown_trailing_fields_are_ignored() -> None:
    with_extra_fields = [VERSION, 3, 7, 1, 0, 9, 11, [], 0, [], b"", 0, [], {"new": 1}, 5]
    assert decode(msgspec.msgpack.encode(with_extra_fields)).sequence == 9


def test_a_datagram_of_a_newer_version_still_names_its_sender() -> None:
    with pytest.raises(OtherVersionError) as caught:
        decode(msgspec.msgpack.encode([VERSION + 1, 3, 7, 4, "whatever", {}]))
    assert (caught.value.header.number, caught.value.header.incarnation) == (3, 4)
