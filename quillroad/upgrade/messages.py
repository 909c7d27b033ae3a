"""Messages between the supervisor and its workers, and their encoding in packets. No I/O.

A message is one or more packets on a local socket that preserves packet boundaries
(`SOCK_SEQPACKET`, unix(7)). A packet is a header and at most `MAX_CHUNK_BYTES` bytes. The header:

    magic "QRup" · version u8 · flags u8 (0) · part u16 · parts u16
    number u32 · length u16 · CRC-32 u32

All numbers are in network byte order. The checksum covers the part's position (part, parts and
number) and the bytes after the header, so that lost, duplicated and corrupted packets are detected.
The bytes of all parts together are MessagePack: an array of the message's tag and fields.
Descriptors are sent with the first packet.

Adding a message or a field needs no new version: a reader ignores fields that it does not know,
uses the defaults of missing ones, and decodes an unknown message as `Unknown`. `VERSION` is
incremented when the header changes. Tags never change, even if the class is renamed.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

import msgspec
from msgspec import Struct

from quillroad.serving_state import CALL_UNKNOWN, OperatorDrain

VERSION = 1
MAGIC = b"QRup"
MAX_CHUNK_BYTES = (
    32 * 1024
)  # in a packet; the default send buffer has 208 KiB (net.core.wmem_default)
MAX_MESSAGE_BYTES = 32 * 1024 * 1024  # the state of 100,000 hosts takes about 12 MB
MAX_DESCRIPTORS_PER_MESSAGE = 16  # maximum number of descriptors sent with one message
MAX_TAG_CHARACTERS = 40  # kept of an unknown tag

_HEADER = struct.Struct("!4sBBHHIHI")


def migration_batch_size(descriptors: int) -> int:
    """Return how many connections move in one batch, given the gateway's descriptor limit.

    While a batch moves, both processes hold a copy of each descriptor that their limits do not
    count. An upgrade therefore reserves twice as many descriptors as a batch has.
    """
    return max(1, min(MAX_DESCRIPTORS_PER_MESSAGE, descriptors // 32))


class BadPacketError(Exception):
    """A packet or message from the peer is malformed; the text is a single line."""


class Hello(Struct, tag="hello", array_like=True):
    """Worker to supervisor: the worker runs and speaks this protocol version."""

    version: int
    build: str = ""


class Welcome(Struct, tag="welcome", array_like=True):
    """Supervisor to worker, with the listening socket: the worker's initial descriptor limit."""

    descriptors: int
    reloaded: bool = False  # a reload has happened: read the configuration as a reload does
    # Seconds after which the supervisor kills a worker that it has told to end; 0: not known, as
    # from a supervisor of an earlier build.
    retire_s: float = 0.0


class Ready(Struct, tag="ready", array_like=True):
    """Worker to supervisor: its configuration and host discovery work, its self-test passed."""

    memory_mb: float = 0.0


class CannotServe(Struct, tag="unfit", array_like=True):
    """Worker to supervisor: it cannot serve or take over, and why. The worker exits."""

    why: str


class PrepareHandover(Struct, tag="give", array_like=True):
    """Supervisor to the serving worker, with its end of a socket pair: prepare to hand over.

    The serving worker's limit falls by `descriptors`, which the other worker may hold meanwhile.
    """

    descriptors: int
    other: int = 0  # number of the worker that takes over


class PrepareTakeover(Struct, tag="take", array_like=True):
    """Supervisor to the worker that takes over, with the other end of the socket pair."""

    other: int = 0  # number of the worker that hands over


class Ended(Struct, tag="ended", array_like=True):
    """Supervisor to worker: another worker's process has exited, so it holds nothing any more."""

    worker: int


class Prepared(Struct, tag="prepared", array_like=True):
    """Worker to supervisor: the rehearsal of the hand-over succeeded; nothing has changed yet.

    `left` has a line for each part of the state that the new worker cannot use.
    """

    left: list[str] = []


class YieldListener(Struct, tag="yield", array_like=True):
    """Supervisor to the serving worker: stop accepting connections and hand over."""

    grant: int


class ListenerYielded(Struct, tag="yielded", array_like=True):
    """Worker to supervisor: it has stopped accepting under this grant."""

    grant: int


class StateAdopted(Struct, tag="held", array_like=True):
    """Worker to supervisor: it has adopted the final state of the other worker."""


class GrantListener(Struct, tag="own", array_like=True):
    """Supervisor to worker: start accepting connections."""

    grant: int


class ListenerGranted(Struct, tag="owning", array_like=True):
    """Worker to supervisor: it accepts connections under this grant."""

    grant: int


class Retire(Struct, tag="retire", array_like=True):
    """Supervisor to worker: finish the open requests and exit."""


class Report(Struct, tag="report", array_like=True):
    """Worker to supervisor, periodically: outcomes of requests since the last report, and load."""

    served: int = 0
    refused: int = 0
    failed: int = 0  # 500, 502, 504
    open: int = 0
    connections: int = 0
    moved: int = 0
    memory_mb: float = 0.0


class State(Struct, tag="state", array_like=True):
    """Worker to worker: its state, by section. `final`: the sender has stopped accepting."""

    sections: dict[str, bytes]
    final: bool


class StateResult(Struct, tag="taken", array_like=True):
    """Worker to worker: the result of reading a `State`; `left` names what cannot be used."""

    final: bool
    left: list[str] = []


class Connections(Struct, tag="connections", array_like=True):
    """Worker to worker, with one descriptor for each connection: idle client connections.

    `requests_carried` has the number of requests that each connection has carried so far.
    """

    batch: int
    requests_carried: list[int]


class BatchReceived(Struct, tag="kept", array_like=True):
    """Worker to worker: it holds the batch's descriptors, and does not read from them yet."""

    batch: int


class Release(Struct, tag="release", array_like=True):
    """Worker to worker: the receiver owns the batch; its limit rises by `descriptors`."""

    batch: int
    descriptors: int


class AttemptsInFlight(Struct, tag="out", array_like=True):
    """Worker to worker: the sender's own attempts in flight and its open requests.

    `at` has, for each host, its number and the counts of attempts in flight and of overdue ones.
    `opened` and `ended` are the ids of requests opened and ended since the last such message.
    """

    at: list[tuple[int, int, int]]
    opened: list[str] = []
    ended: list[str] = []


class DescriptorLimit(Struct, tag="room", array_like=True):
    """Supervisor to the serving worker: its descriptor limit."""

    descriptors: int


class RaiseDescriptorLimit(Struct, tag="lend", array_like=True):
    """Worker to worker: raises the receiver's descriptor limit until their link closes."""

    descriptors: int


class ReadyForConnections(Struct, tag="come", array_like=True):
    """Worker to worker: it accepts now, and is ready to receive connections."""


class OperatorActions(Struct, tag="by-hand", array_like=True):
    """Process to process: all actions of operators; sent at once and after each change.

    `out` has when each host was taken out, `back` when each host that was put back was taken out
    and put back (Unix time, microseconds). `drained`: operators have drained the gateway. `called`
    has the time of the latest call on each host, `drain_called_us` that of the latest call that
    drained the gateway or put it back: of both processes' calls the latest one counts. Earlier
    builds send neither.
    """

    out: dict[str, int]
    back: dict[str, tuple[int, int]] = {}
    drained: bool = False
    called: dict[str, int] = {}
    drain_called_us: int = CALL_UNKNOWN

    @property
    def drain(self) -> OperatorDrain:
        """The drain of the gateway, as the sender knows it."""
        return OperatorDrain(self.drain_called_us, self.drained)


class Unknown(Struct, tag="unknown", array_like=True):
    """A message with a tag that this version does not know."""

    tag: str = ""


Message = (
    Hello
    | Welcome
    | Ready
    | CannotServe
    | PrepareHandover
    | PrepareTakeover
    | Ended
    | Prepared
    | YieldListener
    | ListenerYielded
    | StateAdopted
    | GrantListener
    | ListenerGranted
    | Retire
    | Report
    | State
    | StateResult
    | Connections
    | BatchReceived
    | Release
    | AttemptsInFlight
    | DescriptorLimit
    | RaiseDescriptorLimit
    | ReadyForConnections
    | OperatorActions
    | Unknown
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_RAW_ARRAY_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])


def _checksum(part: int, parts: int, number: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(struct.pack("!HHI", part, parts, number)))


def packets(message: Message, number: int) -> Iterator[bytes]:
    """Yield the packets of a message.

    `number` is the message's sequence number in its direction, from 0. Raises `ValueError` for a
    message longer than `MAX_MESSAGE_BYTES`.
    """
    body = _ENCODER.encode(message)
    if len(body) > MAX_MESSAGE_BYTES:
        raise ValueError(f"message has {len(body)} bytes, at most {MAX_MESSAGE_BYTES} are allowed")
    parts = max(1, -(-len(body) // MAX_CHUNK_BYTES))
    for part in range(parts):
        chunk = body[part * MAX_CHUNK_BYTES : (part + 1) * MAX_CHUNK_BYTES]
        header = _HEADER.pack(
            MAGIC,
            VERSION,
            0,
            part,
            parts,
            number,
            len(chunk),
            _checksum(part, parts, number, chunk),
        )
        yield header + chunk


class Reader:
    """Reassembles the messages of one direction from their packets.

    After a packet that is malformed or out of sequence the stream cannot be trusted any more: the
    caller has to stop reading.
    """

    def __init__(self) -> None:
        self._number = 0  # sequence number of the message being received
        self._chunks: list[bytes] = []
        self._parts = 0

    def read(self, packet: bytes) -> Message | None:
        """Return the message that this packet completes, or None. Raises `BadPacketError`."""
        if len(packet) < _HEADER.size:
            raise BadPacketError(f"packet of {len(packet)} bytes is shorter than its header")
        magic, version, _, part, parts, number, length, checksum = _HEADER.unpack_from(packet)
        chunk = packet[_HEADER.size :]
        if magic != MAGIC:
            raise BadPacketError("packet does not begin with the magic number of upgrade packets")
        if version != VERSION:
            raise BadPacketError(f"packet has format version {version}, expected {VERSION}")
        if length != len(chunk) or checksum != _checksum(part, parts, number, chunk):
            raise BadPacketError("packet has a wrong length or checksum")
        self._check_sequence(number, part, parts)
        self._parts = parts
        self._chunks.append(chunk)
        if part + 1 < parts:
            return None
        body, self._chunks = b"".join(self._chunks), []
        self._number += 1
        return decode(body)

    def _check_sequence(self, number: int, part: int, parts: int) -> None:
        is_next = number == self._number and part == len(self._chunks)
        if not is_next or (part and parts != self._parts):
            raise BadPacketError("packet is out of sequence")
        if not 0 < parts <= -(-MAX_MESSAGE_BYTES // MAX_CHUNK_BYTES) or part >= parts:
            raise BadPacketError("packet has an invalid part number or number of parts")


def decode(body: bytes) -> Message:
    """Decode a message from its MessagePack bytes. Raises `BadPacketError`."""
    try:
        return _DECODER.decode(body)
    except msgspec.ValidationError as error:
        try:
            tag = msgspec.msgpack.decode(_RAW_ARRAY_DECODER.decode(body)[0], type=str)
        except (msgspec.MsgspecError, IndexError):
            raise BadPacketError("packet payload is not a message") from None
        if tag in KNOWN_TAGS:
            raise BadPacketError(f"{tag}: {error}") from None
        return Unknown(tag[:MAX_TAG_CHARACTERS])
    except msgspec.MsgspecError:
        raise BadPacketError("packet payload is not a message") from None


KNOWN_TAGS = frozenset(str(kind.__struct_config__.tag) for kind in Message.__args__)
