"""What is said of each gateway, merged so that order, repetition and loss do not matter. No I/O.

A claim is an incarnation and a standing. The higher incarnation counts; within one, the worse standing
does; of two suspicions, all who saw it. Only the gateway itself raises its incarnation, so that nobody can
bring back to life what it did not say. Such a join is commutative, associative and idempotent.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from enum import IntEnum
from typing import NamedTuple

MOST_INCARNATION = 2**32 - 1
USUAL_INCARNATION = 2**31  # further than any member came that nobody lied about
LEAP = 1024  # beyond that: a lie a tenth of a second would take 58 hours to the last one there is
CHUNK = (
    32  # members in one part of the table: with incarnations of 5 bytes it still fits one datagram
)
SLOTS = 3


class Standing(IntEnum):
    """How a gateway stands, from good to bad within one incarnation."""

    UNKNOWN = 0  # in the roster, and never heard of
    ALIVE = 1
    SUSPECT = 2
    GONE = 3
    LEFT = 4  # it said so itself


class Claim(NamedTuple):
    """`slots` are of a suspicion: bit n is set once a gateway whose number leaves the rest n has seen the
    member silent itself. So it is told by how many this was seen, in three bits and without their names."""

    incarnation: int
    standing: Standing
    slots: int = 0

    def join(self, other: Claim) -> Claim:
        """What both together say."""
        if self[:2] == other[:2]:
            return self._replace(slots=self.slots | other.slots)
        return max(self, other)


NOTHING = Claim(0, Standing.UNKNOWN)
_SETTLED = (Standing.UNKNOWN, Standing.ALIVE, Standing.GONE, Standing.LEFT)


def slot(number: int) -> int:
    """The bit of a gateway that saw somebody silent."""
    return 1 << number % SLOTS


def credible(incarnation: int, known: int) -> bool:
    """Whether somebody else is believed that a member, of whom `known` is the highest heard, came so far. One
    lie must not reach the last incarnation there is, behind which nothing can be refuted."""
    return incarnation <= max(known, USUAL_INCARNATION) + LEAP


def _code(claim: Claim) -> int:
    """0 to 3 is a place in `_SETTLED`; from there on it is a suspicion with its slots."""
    if claim.standing is Standing.SUSPECT:
        return len(_SETTLED) - 1 + claim.slots
    return _SETTLED.index(claim.standing)


def _mark(number: int, claim: Claim) -> int:
    """32 bits that differ with number, incarnation and code, for a sum that does not depend on order."""
    code = _SETTLED.index(claim.standing) if claim.standing is not Standing.SUSPECT else 1
    if code == 0:
        return 0  # nothing is known of it
    x = (number * 0x9E3779B1 ^ claim.incarnation * 0x85EBCA77 ^ code * 0xC2B2AE3D) & 0xFFFFFFFF
    x = ((x ^ (x >> 16)) * 0x7FEB352D) & 0xFFFFFFFF
    x = ((x ^ (x >> 15)) * 0x846CA68B) & 0xFFFFFFFF
    return x ^ (x >> 16)


class Claims:
    """The highest claim of each of `size` members, with a digest of the whole and of each part of it."""

    def __init__(self, size: int) -> None:
        self._claims = [NOTHING] * size
        self._digests = [0] * -(-size // CHUNK)
        self.digest = 0  # 32 bits: equal where two tables say the same, but for doubts

    def __len__(self) -> int:
        return len(self._claims)

    def __getitem__(self, number: int) -> Claim:
        return self._claims[number]

    def merge(self, number: int, claim: Claim) -> bool:
        """Take a claim; returns whether it says more than what was there."""
        old = self._claims[number]
        claim = old.join(claim)
        if claim == old:
            return False
        self._claims[number] = claim
        change = _mark(number, old) ^ _mark(number, claim)
        self._digests[number // CHUNK] ^= change
        self.digest ^= change
        return True

    def grow(self, size: int) -> None:
        """Make room for more members; a table never shrinks, for numbers keep their meaning."""
        self._claims += [NOTHING] * (size - len(self._claims))
        self._digests += [0] * (-(-size // CHUNK) - len(self._digests))

    def forget(self, number: int) -> None:
        """Nothing is said of this member any more."""
        change = _mark(number, self._claims[number])
        self._claims[number] = NOTHING
        self._digests[number // CHUNK] ^= change
        self.digest ^= change

    def digests(self) -> list[int]:
        """Of each part, in order."""
        return list(self._digests)

    def differing(self, theirs: Sequence[int], first: int = 0) -> Iterator[range]:
        """The members of each part whose digest is another than theirs, which begin with that of part
        `first`."""
        for i, (own, other) in enumerate(zip(self._digests[first:], theirs, strict=False), first):
            if own != other:
                yield range(i * CHUNK, min((i + 1) * CHUNK, len(self._claims)))

    def packed(self, members: range) -> tuple[bytes, int, list[int]]:
        """Half a byte for each of these members, the incarnation that most of those have of whom
        anything is known, and for each of the others how far on it stands and its incarnation."""
        claims = self._claims[members.start : members.stop]
        codes = bytearray(-(-len(claims) // 2))
        known = Counter(claim.incarnation for claim in claims if claim != NOTHING)
        base = known.most_common(1)[0][0] if known else 0
        others: list[int] = []
        for i, claim in enumerate(claims):
            codes[i >> 1] |= _code(claim) << 4 * (i & 1)
            if claim.incarnation != base and claim != NOTHING:
                others += (i, claim.incarnation)
        return bytes(codes), base, others


def unpacked(codes: bytes, base: int, others: Sequence[int]) -> list[Claim]:
    """What `packed` told, with one more where the number of members is odd, of which nothing is known. Raises
    `ValueError` where it makes no sense."""
    exceptions = dict(zip(others[::2], others[1::2], strict=True))
    if any(i >= 2 * len(codes) for i in exceptions):
        raise ValueError("an incarnation of nobody")
    return [
        _claim(codes[i >> 1] >> 4 * (i & 1) & 15, exceptions.get(i, base))
        for i in range(2 * len(codes))
    ]


def _claim(code: int, incarnation: int) -> Claim:
    if code == 0:
        return NOTHING
    if code < len(_SETTLED):
        return Claim(incarnation, _SETTLED[code])
    slots = code - len(_SETTLED) + 1
    if slots >= 1 << SLOTS:
        raise ValueError("a code of nothing")
    return Claim(incarnation, Standing.SUSPECT, slots)
