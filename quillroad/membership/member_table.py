"""Member states with incarnations, merged independently of order and repetition. Does no I/O.

The higher incarnation wins, then the worse state, and two suspicions of one incarnation combine
their suspectors. Only a member itself raises its incarnation, so no other member can bring it back
after it has failed. The merge is commutative, associative and idempotent.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from enum import IntEnum
from typing import NamedTuple

MAX_INCARNATION = 2**32 - 1
PLAUSIBLE_INCARNATION = 2**31  # no member reaches it by refuting genuine suspicions
# A false report can raise an incarnation by this much at most. At ten reports a second it takes 58
# hours to the maximum incarnation, from which a member cannot refute anything any more.
MAX_INCARNATION_JUMP = 1024
# Members per digest; they fit into one datagram even with incarnations of 5 bytes each.
CHUNK_MEMBERS = 32
SUSPECTOR_SLOTS = 3  # bits that count the gateways whose own probes of a member failed
_CODE_MASK = 0b1111  # a packed state takes four bits


class MemberState(IntEnum):
    """State of a member; within one incarnation the higher value wins."""

    UNKNOWN = 0  # in the roster but never heard of
    ALIVE = 1
    SUSPECT = 2
    FAULTY = 3  # its suspicion was not refuted in time
    LEFT = 4  # it announced that it leaves

    @property
    def reported_name(self) -> str:
        """The name in reports, in the change log and on the command line."""
        return "gone" if self is MemberState.FAULTY else self.name.lower()


ABSENT = (MemberState.FAULTY, MemberState.LEFT)
PRESENT = (MemberState.ALIVE, MemberState.SUSPECT)


class MemberStatus(NamedTuple):
    """State of a member in an incarnation.

    In a suspicion, bit n of `suspector_slots` is set if a gateway whose number is n modulo
    `SUSPECTOR_SLOTS` has probed the member itself without an answer.
    """

    incarnation: int
    state: MemberState
    suspector_slots: int = 0

    def join(self, other: MemberStatus) -> MemberStatus:
        """Return the merge of both statuses."""
        if self[:2] == other[:2]:
            return self._replace(suspector_slots=self.suspector_slots | other.suspector_slots)
        return max(self, other)


class PackedStatuses(NamedTuple):
    """Statuses of successive members, as a TABLE datagram carries them.

    `codes` has four bits for each member's state, with even indexes in the low half of a byte.
    `base` is the most frequent incarnation; `exceptions` alternates the index and the incarnation
    of each member that has a different one.
    """

    codes: bytes = b""
    base: int = 0
    exceptions: tuple[int, ...] = ()


NOTHING_KNOWN = MemberStatus(0, MemberState.UNKNOWN)
_CODED_STATES = (MemberState.UNKNOWN, MemberState.ALIVE, MemberState.FAULTY, MemberState.LEFT)


def suspector_slot(number: int) -> int:
    """Return the bit that gateway `number` sets when its own probe of a member failed."""
    return 1 << number % SUSPECTOR_SLOTS


def is_credible(incarnation: int, known: int) -> bool:
    """Whether a reported incarnation is credible for a member whose known one is `known`.

    Without this check, one false report of the maximum incarnation would make every later suspicion
    irrefutable.
    """
    return incarnation <= max(known, PLAUSIBLE_INCARNATION) + MAX_INCARNATION_JUMP


def _code(status: MemberStatus) -> int:
    """Return the four-bit code of a status.

    0 to 3 are indexes of `_CODED_STATES`; 4 and above are suspicions with their slots.
    """
    if status.state is MemberState.SUSPECT:
        return len(_CODED_STATES) - 1 + status.suspector_slots
    return _CODED_STATES.index(status.state)


def _decoded(code: int, incarnation: int) -> MemberStatus:
    if code == 0:
        return NOTHING_KNOWN
    if code < len(_CODED_STATES):
        return MemberStatus(incarnation, _CODED_STATES[code])
    suspector_slots = code - len(_CODED_STATES) + 1
    if suspector_slots >= 1 << SUSPECTOR_SLOTS:
        raise ValueError("unassigned code of a packed member state")
    return MemberStatus(incarnation, MemberState.SUSPECT, suspector_slots)


def _checksum(number: int, status: MemberStatus) -> int:
    """Return a 32-bit checksum of one status; a digest is the XOR of those of its members.

    A suspect counts as alive: suspicions are temporary, and tables that differ only in these need
    no repair.
    """
    code = _CODED_STATES.index(status.state) if status.state is not MemberState.SUSPECT else 1
    if code == 0:
        return 0
    x = (number * 0x9E3779B1 ^ status.incarnation * 0x85EBCA77 ^ code * 0xC2B2AE3D) & 0xFFFFFFFF
    x = ((x ^ (x >> 16)) * 0x7FEB352D) & 0xFFFFFFFF
    x = ((x ^ (x >> 15)) * 0x846CA68B) & 0xFFFFFFFF
    return x ^ (x >> 16)


class MemberTable:
    """The highest status of each of `size` members, with a digest of all and of each chunk."""

    def __init__(self, size: int) -> None:
        self._statuses = [NOTHING_KNOWN] * size
        self._digests = [0] * -(-size // CHUNK_MEMBERS)
        self.digest = 0  # 32 bits; equal for two tables that differ at most in suspicions

    def __len__(self) -> int:
        return len(self._statuses)

    def __getitem__(self, number: int) -> MemberStatus:
        return self._statuses[number]

    def merge(self, number: int, status: MemberStatus) -> bool:
        """Merge a status; return whether the table has changed."""
        old = self._statuses[number]
        joined = old.join(status)
        if joined == old:
            return False
        self._replace(number, joined)
        return True

    def grow(self, size: int) -> None:
        """Add members; a table never shrinks, since numbers keep their meaning."""
        self._statuses += [NOTHING_KNOWN] * (size - len(self._statuses))
        self._digests += [0] * (-(-size // CHUNK_MEMBERS) - len(self._digests))

    def forget(self, number: int) -> None:
        """Reset a member to `NOTHING_KNOWN`."""
        self._replace(number, NOTHING_KNOWN)

    def _replace(self, number: int, status: MemberStatus) -> None:
        change = _checksum(number, self._statuses[number]) ^ _checksum(number, status)
        self._statuses[number] = status
        self._digests[number // CHUNK_MEMBERS] ^= change
        self.digest ^= change

    def chunk_digests(self) -> list[int]:
        """Return the 32-bit digest of each chunk, in order."""
        return list(self._digests)

    def differing_chunks(self, digests: Sequence[int], first: int = 0) -> Iterator[range]:
        """Yield the members of each chunk, from chunk `first` on, whose digest differs."""
        for i, (own, other) in enumerate(zip(self._digests[first:], digests, strict=False), first):
            if own != other:
                start = i * CHUNK_MEMBERS
                yield range(start, min(start + CHUNK_MEMBERS, len(self._statuses)))

    def pack(self, members: range) -> PackedStatuses:
        """Return the statuses of these members packed for a TABLE datagram."""
        statuses = self._statuses[members.start : members.stop]
        codes = bytearray(-(-len(statuses) // 2))
        known = Counter(status.incarnation for status in statuses if status != NOTHING_KNOWN)
        base = known.most_common(1)[0][0] if known else 0
        exceptions: list[int] = []
        for i, status in enumerate(statuses):
            codes[i >> 1] |= _code(status) << 4 * (i & 1)
            if status.incarnation != base and status != NOTHING_KNOWN:
                exceptions += (i, status.incarnation)
        return PackedStatuses(bytes(codes), base, tuple(exceptions))


def unpack(packed: PackedStatuses) -> list[MemberStatus]:
    """Return the packed statuses, followed by an unknown one if their number was odd.

    Raises `ValueError` if `pack` cannot have produced the input.
    """
    codes, base, exceptions = packed
    incarnations = dict(zip(exceptions[::2], exceptions[1::2], strict=True))
    if any(i >= 2 * len(codes) for i in incarnations):
        raise ValueError("incarnation for an index beyond the packed members")
    return [
        _decoded(codes[i >> 1] >> 4 * (i & 1) & _CODE_MASK, incarnations.get(i, base))
        for i in range(2 * len(codes))
    ]
