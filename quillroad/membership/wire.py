"""The datagrams between gateways, in MessagePack: 256 bytes at most. No I/O.

The first four fields are those of every version, so that one that speaks a newer version still counts as
heard. Fields behind those that this version knows are left unread.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from quillroad.membership.claims import MOST_INCARNATION, SLOTS, Claim, Standing

MOST_BYTES = 256
VERSION = 1
MOST_MEMBERS = 4096
MOST_NEWS = 32  # in one datagram: the shortest take 5 bytes, and a header has its part
MOST_TOLD = 224  # members of a table in one datagram

Number = Annotated[int, Meta(ge=0, lt=MOST_MEMBERS)]
Incarnation = Annotated[int, Meta(ge=0, le=MOST_INCARNATION)]
Bits32 = Annotated[int, Meta(ge=0, lt=2**32)]


class Kind(IntEnum):
    """What a datagram wants."""

    PING = 0  # an ACK
    ACK = 1
    ASK = 2  # a PING to `about` in the sender's stead, and word of how that went
    NACK = 3  # `about` has not answered yet: the asked one lives, whatever became of `about`
    GOSSIP = 4  # nothing
    SUMS = 5  # the parts of the table that differ from these digests
    TABLE = 6  # what is known better
    TWIN = 7  # nothing: two processes speak under the number that it goes to


class News(Struct, array_like=True, frozen=True):
    """A claim of a member."""

    number: Number
    incarnation: Incarnation
    standing: Annotated[int, Meta(ge=0, le=int(Standing.LEFT))]
    slots: Annotated[int, Meta(ge=0, lt=2**SLOTS)] = 0

    def makes_sense(self) -> bool:
        """A suspicion has somebody who saw it, and of the unknown nothing is known."""
        if self.standing == Standing.SUSPECT:
            return self.slots > 0
        return self.standing != Standing.UNKNOWN

    def claim(self) -> Claim:
        standing = Standing(self.standing)
        return Claim(self.incarnation, standing, self.slots if standing is Standing.SUSPECT else 0)


class Head(Struct, array_like=True, frozen=True):
    """What every version begins with."""

    version: Annotated[int, Meta(ge=0, le=255)]
    number: Number
    life: Bits32
    incarnation: Incarnation


class Datagram(Struct, array_like=True, frozen=True):
    """`life` is drawn at each start of a process; `sequence` ties an answer to its question; `about` is the
    member that an ASK or NACK is about, the first one of a TABLE, and the first part of SUMS; `digest` is
    that of the sender's table; `codes`, `base` and `others` are `Claims.packed`."""

    version: Annotated[int, Meta(ge=0, le=255)]
    number: Number
    life: Bits32
    incarnation: Incarnation
    kind: Kind
    sequence: Bits32
    digest: Bits32
    news: Annotated[tuple[News, ...], Meta(max_length=MOST_NEWS)] = ()
    about: Number = 0
    sums: Annotated[tuple[Bits32, ...], Meta(max_length=MOST_BYTES)] = ()
    codes: Annotated[bytes, Meta(max_length=MOST_BYTES)] = b""
    base: Incarnation = 0
    others: Annotated[tuple[Incarnation, ...], Meta(max_length=2 * MOST_TOLD)] = ()


class Unreadable(Exception):
    """Not a datagram of a gateway; the text is the reason to count it under."""


class Newer(Exception):
    """Of a version that this one cannot read, from one that lives."""

    def __init__(self, head: Head) -> None:
        super().__init__("version")
        self.head = head


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)
_heads = msgspec.msgpack.Decoder(Head)


def encode(datagram: Datagram) -> bytes:
    return _encoder.encode(datagram)


def decode(data: bytes) -> Datagram:
    """Raises `Unreadable`, or `Newer`, and nothing else whatever the bytes."""
    if len(data) > MOST_BYTES:
        raise Unreadable("too long")
    try:
        head = _heads.decode(data)
        if head.version != VERSION:
            raise Newer(head)
        datagram = _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        raise Unreadable("malformed") from None
    if not all(news.makes_sense() for news in datagram.news):
        raise Unreadable("malformed")
    return datagram
