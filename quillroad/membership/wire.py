"""The datagrams between gateways, in MessagePack: 256 bytes at most. Pure.

Fields are told by their place. The first four are those of every version, so that a member of a
newer version still counts as heard. Fields behind those that this version knows are ignored.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from quillroad.membership.member_table import (
    MAX_INCARNATION,
    SUSPECTOR_SLOTS,
    MemberState,
    MemberStatus,
    PackedStatuses,
)

MAX_DATAGRAM_BYTES = 256  # a datagram is never fragmented, and a flood of them costs little
VERSION = 1
MAX_MEMBERS = 4096
MAX_UPDATES = 32  # in one datagram: the shortest take 5 bytes, and the header has its part
MAX_TABLE_MEMBERS = 224  # members of a table in one datagram

Number = Annotated[int, Meta(ge=0, lt=MAX_MEMBERS)]
Incarnation = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
Bits32 = Annotated[int, Meta(ge=0, lt=2**32)]


class MessageKind(IntEnum):
    """What a datagram is, and what it asks for."""

    PING = 0  # wants an ACK
    ACK = 1
    PING_REQ = 2  # wants a PING to `about` in the sender's stead, and its result
    NACK = 3  # `about` has not answered yet: says that the helper itself is reachable
    GOSSIP = 4  # carries updates only
    DIGESTS = 5  # wants the chunks of the table that differ from these digests
    TABLE = 6  # wants what the receiver knows better
    DUPLICATE = 7  # two processes use the receiver's number


class DropReason(StrEnum):
    """Why a datagram, or a part of one, was not taken; the value is the word of reports."""

    STRANGER = "stranger"  # from an address that is not in the roster
    OWN_ADDRESS = "own address"
    FLOOD = "flood"  # beyond the bound of one member
    TOO_LONG = "too long"
    MALFORMED = "malformed"
    VERSION = "version"  # of a newer version
    NUMBER = "number"  # it has another number than the member at its address
    UNKNOWN_MEMBER = "unknown member"  # in the middle of a reload one of two knows more members
    INCARNATION_JUMP = "leap"  # an incarnation that is not credible
    LAST_INCARNATION = "last incarnation"  # nothing is left to refute with
    BUSY = "busy"  # too many indirect probes in flight
    NOT_SENT = "not sent"  # the socket refused it


class Update(Struct, array_like=True, frozen=True):
    """A status of a member, as gossip carries it."""

    number: Number
    incarnation: Incarnation
    state: Annotated[int, Meta(ge=0, le=int(MemberState.LEFT))]
    suspector_slots: Annotated[int, Meta(ge=0, lt=2**SUSPECTOR_SLOTS)] = 0

    def is_consistent(self) -> bool:
        """Whether it says something: a suspicion has a suspector, and nothing is unknown."""
        if self.state == MemberState.SUSPECT:
            return self.suspector_slots > 0
        return self.state != MemberState.UNKNOWN

    def status(self) -> MemberStatus:
        """Return the status that it carries."""
        state = MemberState(self.state)
        slots = self.suspector_slots if state is MemberState.SUSPECT else 0
        return MemberStatus(self.incarnation, state, slots)


class Header(Struct, array_like=True, frozen=True):
    """The fields that every version begins with."""

    version: Annotated[int, Meta(ge=0, le=255)]
    number: Number
    run_id: Bits32
    incarnation: Incarnation


class Datagram(Struct, array_like=True, frozen=True):
    """One datagram.

    `run_id` is drawn at each start of a process; `sequence` ties an answer to its PING; `digest` is
    that of the sender's table. `about` is the member that a PING_REQ or NACK is about, the first
    member of a TABLE, or the first chunk of DIGESTS. `codes`, `base` and `exceptions` are those of
    `PackedStatuses`.
    """

    version: Annotated[int, Meta(ge=0, le=255)]
    number: Number
    run_id: Bits32
    incarnation: Incarnation
    kind: MessageKind
    sequence: Bits32
    digest: Bits32
    updates: Annotated[tuple[Update, ...], Meta(max_length=MAX_UPDATES)] = ()
    about: Number = 0
    digests: Annotated[tuple[Bits32, ...], Meta(max_length=MAX_DATAGRAM_BYTES)] = ()
    codes: Annotated[bytes, Meta(max_length=MAX_DATAGRAM_BYTES)] = b""
    base: Incarnation = 0
    exceptions: Annotated[tuple[Incarnation, ...], Meta(max_length=2 * MAX_TABLE_MEMBERS)] = ()

    def statuses(self) -> PackedStatuses:
        """Return the packed statuses of a TABLE."""
        return PackedStatuses(self.codes, self.base, self.exceptions)


class DatagramError(Exception):
    """A datagram that cannot be taken."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class UnreadableDatagramError(DatagramError):
    """Not a datagram of a gateway."""


class NewerVersionError(DatagramError):
    """A datagram of a version that this one cannot read, from a member that is alive."""

    def __init__(self, header: Header) -> None:
        super().__init__(DropReason.VERSION)
        self.header = header


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)
_header_decoder = msgspec.msgpack.Decoder(Header)


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram, which may be more than `MAX_DATAGRAM_BYTES`."""
    return _encoder.encode(datagram)


def decode(data: bytes) -> Datagram:
    """Read a datagram; raises `DatagramError` and nothing else, whatever the bytes."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise UnreadableDatagramError(DropReason.TOO_LONG)
    try:
        header = _header_decoder.decode(data)
        if header.version != VERSION:
            raise NewerVersionError(header)
        datagram = _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        raise UnreadableDatagramError(DropReason.MALFORMED) from None
    if not all(update.is_consistent() for update in datagram.updates):
        raise UnreadableDatagramError(DropReason.MALFORMED)
    return datagram
