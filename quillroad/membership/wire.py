"""Datagrams between gateways: MessagePack arrays of at most 256 bytes. Does no I/O.

Fields are identified by position. The first four are the same in every version, so that a datagram
of a newer version still shows that its sender is alive. Trailing fields that this version does not
know are ignored.
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

MAX_DATAGRAM_BYTES = 256  # avoids IP fragmentation, and limits the cost of a flood
VERSION = 1
MAX_MEMBERS = 4096
MAX_UPDATES = 32  # in one datagram: the shortest takes 5 bytes, and the header needs space, too
MAX_TABLE_MEMBERS = 224  # member statuses in one TABLE datagram

Number = Annotated[int, Meta(ge=0, lt=MAX_MEMBERS)]
Incarnation = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
Bits32 = Annotated[int, Meta(ge=0, lt=2**32)]


class MessageKind(IntEnum):
    """Kind of a datagram; the comments say which answer it requests."""

    PING = 0  # requests an ACK
    ACK = 1
    PING_REQ = 2  # requests a PING to `about` on the sender's behalf, and its result
    NACK = 3  # `about` has not answered yet; shows that the helper itself is reachable
    GOSSIP = 4  # carries updates only
    DIGESTS = 5  # requests the chunks of the table whose digests differ from these
    TABLE = 6  # requests the statuses that take precedence in the receiver's table
    DUPLICATE = 7  # tells the receiver that two processes use its number


class DropReason(StrEnum):
    """Why a datagram or a part of it was dropped; the value is what reports contain."""

    STRANGER = "stranger"  # from an address that is not in the roster
    OWN_ADDRESS = "own address"
    FLOOD = "flood"  # above the receive limit of one member
    TOO_LONG = "too long"
    MALFORMED = "malformed"
    VERSION = "version"  # of a newer version
    NUMBER = "number"  # its number is not that of the member with its source address
    UNKNOWN_MEMBER = "unknown member"  # during a reload the sender may already know more members
    INCARNATION_JUMP = "leap"  # an implausibly high incarnation
    LAST_INCARNATION = "last incarnation"  # the highest incarnation: no refutation is possible
    BUSY = "busy"  # too many indirect probes in flight
    NOT_SENT = "not sent"  # the socket reported an error


class Update(Struct, array_like=True, frozen=True):
    """The status of one member, as carried by gossip."""

    number: Number
    incarnation: Incarnation
    state: Annotated[int, Meta(ge=0, le=int(MemberState.LEFT))]
    suspector_slots: Annotated[int, Meta(ge=0, lt=2**SUSPECTOR_SLOTS)] = 0

    def is_consistent(self) -> bool:
        """Whether the update is valid: not UNKNOWN, and a suspicion has a suspector."""
        if self.state == MemberState.SUSPECT:
            return self.suspector_slots > 0
        return self.state != MemberState.UNKNOWN

    def status(self) -> MemberStatus:
        """Return the status as an entry of the member table."""
        state = MemberState(self.state)
        slots = self.suspector_slots if state is MemberState.SUSPECT else 0
        return MemberStatus(self.incarnation, state, slots)


class Header(Struct, array_like=True, frozen=True):
    """The leading fields, the same in every version."""

    version: Annotated[int, Meta(ge=0, le=255)]
    number: Number
    run_id: Bits32
    incarnation: Incarnation


class Datagram(Struct, array_like=True, frozen=True):
    """One datagram.

    `run_id` is random and new at each start of a process; `sequence` matches an answer to its PING;
    `digest` is that of the sender's table. `about` is the member that a PING_REQ or NACK concerns,
    the first member of a TABLE, or the first chunk of DIGESTS. `codes`, `base` and `exceptions` are
    those of `PackedStatuses`.
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
    """A datagram that cannot be processed; `reason` says why."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class UnreadableDatagramError(DatagramError):
    """The bytes are too long or not a valid datagram."""


class OtherVersionError(DatagramError):
    """A datagram of another version; its header shows that the sender is alive."""

    def __init__(self, header: Header) -> None:
        super().__init__(DropReason.VERSION)
        self.header = header


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)
_header_decoder = msgspec.msgpack.Decoder(Header)


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram; the result may be longer than `MAX_DATAGRAM_BYTES`."""
    return _encoder.encode(datagram)


def decode(data: bytes) -> Datagram:
    """Decode a datagram; raises `DatagramError`, and nothing else, for invalid bytes."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise UnreadableDatagramError(DropReason.TOO_LONG)
    try:
        header = _header_decoder.decode(data)
        if header.version != VERSION:
            raise OtherVersionError(header)
        datagram = _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        raise UnreadableDatagramError(DropReason.MALFORMED) from None
    if not all(update.is_consistent() for update in datagram.updates):
        raise UnreadableDatagramError(DropReason.MALFORMED)
    return datagram
