"""What the supervisor and its workers say to each other, and how it lies in packets. No I/O.

One message is one or more packets on a local socket that keeps packets apart (`SOCK_SEQPACKET`,
unix(7)). Each packet is a head of 20 bytes, then at most `CHUNK` bytes:

    magic "QRup" · version u8 · flags u8 (0) · part u16 · parts u16
    number u32 · length u16 · CRC-32 u32

in network order; the check sum is over the bytes that follow the head and the part's place, so that
a packet that got lost, doubled or garbled is found out. The bytes of all parts are MessagePack: an
array of the message's tag and fields. Descriptors ride with the first packet.

Adding a message or a field needs no new version: fields that a reader does not know are left out,
those it misses take their defaults, and a message that it does not know is `Unknown`. `VERSION`
goes up when a head changes. Tags never change, whatever the class is called.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

import msgspec
from msgspec import Struct

VERSION = 1
MAGIC = b"QRup"
CHUNK = 32 * 1024  # bytes in a packet: a socket holds 208 KiB at first (net.core.wmem_default)
LONGEST = 32 * 1024 * 1024  # bytes in a message: 100,000 hosts take about 12 MB
BATCH = 16  # descriptors with a message at the most
LONGEST_TAG = 40  # characters kept of a tag that is not known

_HEAD = struct.Struct("!4sBBHHIHI")


def batch_of(descriptors: int) -> int:
    """How many connections move at once, for a gateway of so many descriptors.

    Giver and taker hold a copy of each beyond what they count, so twice as many descriptors are set
    apart in an upgrade.
    """
    return max(1, min(BATCH, descriptors // 32))


class BadPacketError(Exception):
    """What came is no packet of ours; the text is one plain line."""


class Hello(Struct, tag="hello", array_like=True):
    """Worker to supervisor: it runs, and understands this."""

    version: int
    build: str = ""


class Welcome(Struct, tag="welcome", array_like=True):
    """Supervisor to worker, with the listening socket: what it may hold for now."""

    descriptors: int
    reloaded: bool = False  # the configuration is to be read as for a reload: there was one


class Ready(Struct, tag="ready", array_like=True):
    """Worker to supervisor: its configuration, its source of hosts and its own path work."""

    memory_mb: float = 0.0


class Unfit(Struct, tag="unfit", array_like=True):
    """Worker to supervisor: it can't serve or take over, and why. It ends."""

    why: str


class Give(Struct, tag="give", array_like=True):
    """Supervisor to the one that serves, with its end of a socket to the other.

    Get ready to hand over. The other holds so many of the descriptors meanwhile.
    """

    descriptors: int
    other: int = 0  # number of the one that takes


class Take(Struct, tag="take", array_like=True):
    """Supervisor to the one that is to serve, with the other end."""

    other: int = 0  # number of the one that gives


class Ended(Struct, tag="ended", array_like=True):
    """Supervisor to worker: another one's end was seen. What it left is nobody else's."""

    worker: int


class Prepared(Struct, tag="prepared", array_like=True):
    """Worker to supervisor: the other understood a whole hand-over, with nothing changed yet.

    `left` are plain lines of what it can't use.
    """

    left: list[str] = []


class Yield(Struct, tag="yield", array_like=True):
    """Supervisor to the one that serves: accept nothing more, and hand over."""

    grant: int


class Yielded(Struct, tag="yielded", array_like=True):
    """Worker to supervisor: it accepts nothing, from this grant on."""

    grant: int


class StateAdopted(Struct, tag="held", array_like=True):
    """Worker to supervisor: it has all that the other knew."""


class Own(Struct, tag="own", array_like=True):
    """Supervisor to worker: accept from now on."""

    grant: int


class Owning(Struct, tag="owning", array_like=True):
    """Worker to supervisor: it accepts."""

    grant: int


class Retire(Struct, tag="retire", array_like=True):
    """Supervisor to worker: finish what you have, and end."""


class Report(Struct, tag="report", array_like=True):
    """Worker to supervisor, now and then.

    What became of requests since the last one, and what it holds.
    """

    served: int = 0
    refused: int = 0
    failed: int = 0  # 500, 502, 504
    open: int = 0
    connections: int = 0
    moved: int = 0
    memory_mb: float = 0.0


class State(Struct, tag="state", array_like=True):
    """Worker to worker: what it knows, by section. `final`: it accepts nothing any more."""

    sections: dict[str, bytes]
    final: bool


class StateResult(Struct, tag="taken", array_like=True):
    """Worker to worker: what came of a `State`."""

    final: bool
    left: list[str] = []


class Connections(Struct, tag="connections", array_like=True):
    """Worker to worker, with as many descriptors.

    Client connections between two requests, each with how many requests it has brought.
    """

    batch: int
    brought: list[int]


class BatchReceived(Struct, tag="kept", array_like=True):
    """Worker to worker: it holds that batch, and reads nothing from it yet."""

    batch: int


class Release(Struct, tag="release", array_like=True):
    """Worker to worker: that batch is yours, and with it so many descriptors."""

    batch: int
    descriptors: int


class AttemptsInFlight(Struct, tag="out", array_like=True):
    """Worker to worker.

    Own attempts that are out and overdue, by host; open requests, by id, since the last.
    """

    at: list[tuple[int, int, int]]
    opened: list[str] = []
    ended: list[str] = []


class DescriptorLimit(Struct, tag="room", array_like=True):
    """Supervisor to the one that serves: so many descriptors are yours."""

    descriptors: int


class Lend(Struct, tag="lend", array_like=True):
    """Worker to worker: so many more descriptors are yours, for as long as the link lasts."""

    descriptors: int


class Come(Struct, tag="come", array_like=True):
    """Worker to worker: it accepts now, and takes connections."""


class OperatorActions(Struct, tag="by-hand", array_like=True):
    """Process to process: what operators have done, whole, now and whenever it changes.

    Hosts that are out and since when, when those put back had gone and came (Unix time,
    microseconds), whether the gateway is drained.
    """

    out: dict[str, int]
    back: dict[str, tuple[int, int]] = {}
    drained: bool = False


class Unknown(Struct, tag="unknown", array_like=True):
    """A message that this version does not know."""

    tag: str = ""


Message = (
    Hello
    | Welcome
    | Ready
    | Unfit
    | Give
    | Take
    | Ended
    | Prepared
    | Yield
    | Yielded
    | StateAdopted
    | Own
    | Owning
    | Retire
    | Report
    | State
    | StateResult
    | Connections
    | BatchReceived
    | Release
    | AttemptsInFlight
    | DescriptorLimit
    | Lend
    | Come
    | OperatorActions
    | Unknown
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_ANY_ARRAY = msgspec.msgpack.Decoder(list[msgspec.Raw])


def _checksum(part: int, parts: int, number: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(struct.pack("!HHI", part, parts, number)))


def packets(message: Message, number: int) -> Iterator[bytes]:
    """A message as packets.

    `number` counts the messages of one direction from 0. Raises ValueError for one that is too
    long.
    """
    body = _ENCODER.encode(message)
    if len(body) > LONGEST:
        raise ValueError(f"a message of {len(body)} bytes; {LONGEST} are allowed")
    parts = max(1, -(-len(body) // CHUNK))
    for part in range(parts):
        chunk = body[part * CHUNK : (part + 1) * CHUNK]
        head = _HEAD.pack(
            MAGIC,
            VERSION,
            0,
            part,
            parts,
            number,
            len(chunk),
            _checksum(part, parts, number, chunk),
        )
        yield head + chunk


class Reader:
    """Puts packets of one direction together again.

    Any packet out of place ends it: the stream is then not to be trusted any more.
    """

    def __init__(self) -> None:
        self._number = 0  # of the message that is coming in
        self._chunks: list[bytes] = []
        self._parts = 0

    def read(self, packet: bytes) -> Message | None:
        """The message that this packet completes, or None. Raises `BadPacketError`."""
        if len(packet) < _HEAD.size:
            raise BadPacketError(f"a packet of {len(packet)} bytes")
        magic, version, _, part, parts, number, length, checksum = _HEAD.unpack_from(packet)
        chunk = packet[_HEAD.size :]
        if magic != MAGIC:
            raise BadPacketError("not a packet of an upgrade")
        if version != VERSION:
            raise BadPacketError(f"packets of version {version}; this is version {VERSION}")
        if length != len(chunk) or checksum != _checksum(part, parts, number, chunk):
            raise BadPacketError("a garbled packet")
        self._check_place(number, part, parts)
        self._parts = parts
        self._chunks.append(chunk)
        if part + 1 < parts:
            return None
        body, self._chunks = b"".join(self._chunks), []
        self._number += 1
        return decode(body)

    def _check_place(self, number: int, part: int, parts: int) -> None:
        is_next = number == self._number and part == len(self._chunks)
        if not is_next or (part and parts != self._parts):
            raise BadPacketError("a packet is missing")
        if not 0 < parts <= -(-LONGEST // CHUNK) or part >= parts:
            raise BadPacketError("a message without end")


def decode(body: bytes) -> Message:
    """One message of its bytes; raises `BadPacketError`."""
    try:
        return _DECODER.decode(body)
    except msgspec.ValidationError as error:
        try:
            tag = msgspec.msgpack.decode(_ANY_ARRAY.decode(body)[0], type=str)
        except (msgspec.MsgspecError, IndexError):
            raise BadPacketError("not a message") from None
        if tag in KNOWN:
            raise BadPacketError(f"{tag}: {error}") from None
        return Unknown(tag[:LONGEST_TAG])
    except msgspec.MsgspecError:
        raise BadPacketError("not a message") from None


KNOWN = frozenset(str(kind.__struct_config__.tag) for kind in Message.__args__)
