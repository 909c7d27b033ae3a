"""Cut detection by many observers (Rapid, Suresh 2018), to compare the membership core with.

Each member is watched by the ones before it in `RINGS` orders of all. Who sees one silent reports
that to all. Once a member has `HIGH` such reports, and no other is between `LOW` and that, all that
have them propose one cut, which is made once three quarters of the members have voted for the same.
Votes and reports go to each member and are repeated until they count. There is no bandwidth budget.
Left out: joins by a vote (who speaks is alive), and the slow path, which needs a majority of
members that remains.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from immutables import Map

from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import MemberState
from quillroad.membership.roster import Address, Roster
from quillroad.membership.sender import Outgoing
from quillroad.membership.timing import Timing
from quillroad.membership.view import Cause, Change, ChangeKind, MemberRecord, View
from quillroad.membership.wire import (
    MAX_UPDATES,
    VERSION,
    Datagram,
    MessageKind,
    Update,
    decode,
    encode,
)

RINGS = 10  # orders of all members; in each a member watches its successor
HIGH = 9  # reports, of so many rings, with which a member is part of the proposed cut
LOW = 4  # reports from which on a member is doubted, which holds a proposal back
MISSED = 4  # periods without an answer
QUORUM = 0.75  # part of the members that must vote for the same cut
DECIDED_S = 10.0  # for so long a vote is repeated after the cut was made
AGAIN_S = 1.0  # until reports and votes are repeated


def _place(ring: int, number: int) -> bytes:
    return hashlib.blake2b(b"%d %d" % (ring, number), digest_size=8).digest()


class Cuts:
    """One member; `draw` gives random numbers from 0 to below 1."""

    def __init__(
        self,
        roster: Roster,
        timing: Timing,
        now: float,
        draw: Callable[[], float],
        incarnation: int,
    ) -> None:
        self._roster = roster
        self._period_s = timing.period_s
        self._incarnation = incarnation
        self.outbox: list[Outgoing] = []
        self.changes: list[Change] = []
        others = (n for n in range(len(roster)) if n != roster.number)
        self._members = Map(
            (n, MemberRecord(MemberState.UNKNOWN, 0, now, Cause.ROSTER, n)) for n in others
        )
        self._version = 0
        self._next = now + draw() * self._period_s
        self._again = now
        self._silent: dict[int, int] = {}  # of the watched: periods since an answer
        self._reports: dict[int, set[int]] = {}  # by whom each was reported
        self._votes: dict[int, set[int]] = {}  # by the cut's hash
        self._proposed: frozenset[int] = frozenset()
        # The last cut's hash, and own reports of it: told on for who has missed some.
        self._decided = 0
        self._decided_until = now
        self._decided_reports: set[int] = set()
        self._rings: list[list[int]] | None = None
        self._rounds = 0

    @property
    def view(self) -> View:
        """What it holds of the others."""
        return View(self._version, self._roster.number, 1, HealthState.HEALTHY, 0.0, self._members)

    def arm(self, now: float) -> float:
        """When it has something to do next, in seconds."""
        return max(now, self._next)

    def _there(self) -> list[int]:
        there = (n for n, seen in self._members.items() if seen.state is MemberState.ALIVE)
        return sorted([*there, self._roster.number])

    def _watchers(self, number: int) -> list[int]:
        """Who watches this member, one for each ring."""
        if self._rings is None:
            there = self._there()
            rings = min(RINGS, len(there) - 1)
            self._rings = [
                sorted(there, key=lambda n, ring=ring: _place(ring, n))  # type: ignore[misc]
                for ring in range(rings)
            ]
        return [ring[ring.index(number) - 1] for ring in self._rings if number in ring]

    def _send(
        self, number: int, kind: MessageKind, updates: tuple[Update, ...] = (), vote: int = 0
    ) -> None:
        data = encode(
            Datagram(VERSION, self._roster.number, self._incarnation, 1, kind, vote, 0, updates)
        )
        self.outbox.append(Outgoing(number, data))

    def tick(self, now: float) -> None:
        """Run its timer: ping whom it watches, report who is silent, propose and make cuts."""
        if now < self._next:
            return
        self._next += self._period_s
        own = self._roster.number
        watched = [n for n in self._there() if n != own and own in self._watchers(n)]
        self._silent = {n: self._silent.get(n, 0) + 1 for n in watched}
        for number in watched:
            self._send(number, MessageKind.PING)
        self._probe_absent()
        self._report(now)
        self._judge(now)

    def _probe_absent(self) -> None:
        """Ping the members that are not alive: all of them at the start, then one a period."""
        absent = [n for n, seen in self._members.items() if seen.state is not MemberState.ALIVE]
        self._rounds += 1
        if self._rounds > 1 and absent:
            absent = [absent[self._rounds % len(absent)]]
        for number in absent:
            self._send(number, MessageKind.PING)

    def _report(self, now: float) -> None:
        """Tell all of members that have become silent, and repeat that from time to time."""
        own = self._roster.number
        seen_silent = {n for n, periods in self._silent.items() if periods > MISSED}
        fresh = {n for n in seen_silent if own not in self._reports.get(n, ())}
        for number in fresh:
            self._reports.setdefault(number, set()).add(own)
        if now >= self._decided_until:
            self._decided = 0
            self._decided_reports = set()
        if fresh or now >= self._again:
            self._again = now + AGAIN_S
            self._tell(fresh if fresh else seen_silent)

    def _tell(self, silent: set[int]) -> None:
        """Send reports of these members, and the vote for what was proposed, to all."""
        updates = [
            Update(n, 1, int(MemberState.FAULTY)) for n in sorted(silent | self._decided_reports)
        ]
        vote = _hash(self._proposed) if self._proposed else self._decided
        if not updates and not vote:
            return
        for to in self._there():
            if to == self._roster.number:
                continue
            for first in range(0, max(1, len(updates)), MAX_UPDATES):
                part = tuple(updates[first : first + MAX_UPDATES])
                self._send(to, MessageKind.GOSSIP, part, vote)

    def receive(self, source: Address, data: bytes, now: float) -> None:
        """Take a datagram."""
        datagram = decode(data)
        number = datagram.number
        if self._members[number].state is not MemberState.ALIVE:
            self._set(number, MemberState.ALIVE, now)
        if datagram.kind is MessageKind.PING:
            self._send(number, MessageKind.ACK)
        elif datagram.kind is MessageKind.ACK:
            self._silent[number] = 0
        for update in datagram.updates:
            if update.number != self._roster.number:
                self._reports.setdefault(update.number, set()).add(number)
        if datagram.kind is MessageKind.GOSSIP:
            if datagram.sequence:
                self._votes.setdefault(datagram.sequence, set()).add(number)
            self._judge(now)

    def _judge(self, now: float) -> None:
        """Propose a cut once no member is in doubt, and make it once enough vote for the same."""
        there = self._there()
        if not self._proposed and (cut := self._stable_cut(there)):
            self._proposed = cut
            self._tell(set())
        if not self._proposed:
            return
        voters = self._votes.setdefault(_hash(self._proposed), set())
        voters.add(self._roster.number)
        if len(voters) >= QUORUM * len(there):
            self._decide(now)

    def _stable_cut(self, there: list[int]) -> frozenset[int]:
        """All doubted members, if each has enough reports for a cut; empty: none, or not yet."""
        rings = min(RINGS, len(there) - 1)
        high = max(1, HIGH * rings // RINGS)
        low = max(1, LOW * rings // RINGS)
        present = set(there)
        nobody: set[int] = set()
        doubted = {n for n in self._reports if n in present and self._count(n, nobody) >= low}
        # Watchers that are doubted themselves can report nobody: they count for whom they watch.
        # Without this, neighbours in many rings that fail together never reach HIGH.
        if all(self._count(n, doubted) >= high for n in doubted):
            return frozenset(doubted)
        return frozenset()

    def _count(self, number: int, doubted: set[int]) -> int:
        """How many of this member's watchers have reported it, or are doubted themselves."""
        reporters = self._reports[number]
        return sum(w in reporters or w in doubted for w in self._watchers(number))

    def _decide(self, now: float) -> None:
        """Make the proposed cut: its members are faulty from now on."""
        self._decided = _hash(self._proposed)
        self._decided_until = now + DECIDED_S
        own = self._roster.number
        self._decided_reports = {n for n in self._proposed if own in self._reports.get(n, ())}
        for number in self._proposed:
            if number in self._members:
                self._set(number, MemberState.FAULTY, now)
        self._forget()

    def _forget(self) -> None:
        self._proposed = frozenset()
        self._reports.clear()
        self._votes.clear()
        self._silent.clear()

    def _set(self, number: int, state: MemberState, now: float) -> None:
        self._members = self._members.set(number, MemberRecord(state, 1, now, Cause.HEARD, number))
        self._version += 1
        self._rings = None
        self.changes.append(
            Change(now, number, ChangeKind(state.reported_name), 1, Cause.HEARD, number)
        )


def _hash(cut: frozenset[int]) -> int:
    """A hash of a cut: 32 bits, never 0, which means no vote."""
    numbers = b" ".join(b"%d" % n for n in sorted(cut))
    return int.from_bytes(hashlib.blake2b(numbers, digest_size=4).digest()) | 1
