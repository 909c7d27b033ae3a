"""Cut detection by many observers (Rapid, Suresh 2018), to measure beside.

Each member is watched by the ones before it in `RINGS` orders of all. Who sees one silent says so to all.
Once a member has `HIGH` such reports, and no other is between `LOW` and that, all that have them make one
cut, which counts once three quarters of the members have voted for the same. Votes and reports go to each
member and are said again until they count. There is no budget. Left out: joins by a vote (who speaks is
there), and the slow path, whose majority seven in ten gone leave no more than three quarters.
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

RINGS, HIGH, LOW = 10, 9, 4
MISSED = 4  # periods without an answer
QUORUM = 0.75
DECIDED_S = 10.0  # for so long a vote is told on after the cut was made
AGAIN_S = 1.0  # until reports and votes are said again


def _place(ring: int, number: int) -> bytes:
    return hashlib.blake2b(b"%d %d" % (ring, number), digest_size=8).digest()


class Cuts:
    """One member."""

    def __init__(
        self, roster: Roster, timing: Timing, now: float, draw: Callable[[], float], life: int
    ) -> None:
        self._roster, self._period_s, self._life = roster, timing.period_s, life
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
        self._decided, self._decided_until = 0, now
        self._decided_reports: set[int] = set()
        self._rings: list[list[int]] | None = None
        self._asked = 0

    @property
    def view(self) -> View:
        return View(self._version, self._roster.number, 1, HealthState.HEALTHY, 0.0, self._members)

    def arm(self, now: float) -> float:
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
        self, number: int, kind: MessageKind, news: tuple[Update, ...] = (), vote: int = 0
    ) -> None:
        data = encode(Datagram(VERSION, self._roster.number, self._life, 1, kind, vote, 0, news))
        self.outbox.append(Outgoing(number, data))

    def tick(self, now: float) -> None:
        if now < self._next:
            return
        self._next += self._period_s
        own = self._roster.number
        watched = [n for n in self._there() if n != own and own in self._watchers(n)]
        self._silent = {n: self._silent.get(n, 0) + 1 for n in watched}
        for number in watched:
            self._send(number, MessageKind.PING)
        away = [n for n, seen in self._members.items() if seen.state is not MemberState.ALIVE]
        self._asked += 1
        # All at the start, and then one of those that are not there.
        for number in (
            away if self._asked == 1 else away[self._asked % len(away) :][:1] if away else []
        ):
            self._send(number, MessageKind.PING)
        seen_silent = {n for n, periods in self._silent.items() if periods > MISSED}
        fresh = {n for n in seen_silent if own not in self._reports.get(n, ())}
        for number in fresh:
            self._reports.setdefault(number, set()).add(own)
        if now >= self._decided_until:
            self._decided, self._decided_reports = 0, set()
        if fresh or now >= self._again:
            self._again = now + AGAIN_S
            self._tell(fresh if fresh else seen_silent)
        self._judge(now)

    def _tell(self, silent: set[int]) -> None:
        """Reports, and the vote that goes with what was proposed."""
        news = [
            Update(n, 1, int(MemberState.FAULTY)) for n in sorted(silent | self._decided_reports)
        ]
        vote = _hash(self._proposed) if self._proposed else self._decided
        if not news and not vote:
            return
        for to in self._there():
            if to == self._roster.number:
                continue
            for first in range(0, max(1, len(news)), MAX_UPDATES):
                self._send(to, MessageKind.GOSSIP, tuple(news[first : first + MAX_UPDATES]), vote)

    def receive(self, source: Address, data: bytes, now: float) -> None:
        datagram = decode(data)
        number = datagram.number
        if self._members[number].state is not MemberState.ALIVE:
            self._set(number, MemberState.ALIVE, now)
        if datagram.kind is MessageKind.PING:
            self._send(number, MessageKind.ACK)
        elif datagram.kind is MessageKind.ACK:
            self._silent[number] = 0
        for news in datagram.updates:
            if news.number != self._roster.number:
                self._reports.setdefault(news.number, set()).add(number)
        if datagram.kind is MessageKind.GOSSIP:
            if datagram.sequence:
                self._votes.setdefault(datagram.sequence, set()).add(number)
            self._judge(now)

    def _judge(self, now: float) -> None:
        """Propose a cut once nothing is between, and take it once enough vote for the same."""
        there = self._there()
        rings = min(RINGS, len(there) - 1)
        high, low = max(1, HIGH * rings // RINGS), max(1, LOW * rings // RINGS)
        present = set(there)

        def count(number: int, beside: set[int]) -> int:
            return sum(w in self._reports[number] or w in beside for w in self._watchers(number))

        doubted = {n for n in self._reports if n in present and count(n, set()) >= low}
        # Watchers that are doubted themselves can report nobody: they count for those that they watch.
        counts = {n: count(n, doubted) for n in doubted}
        if counts and all(count >= high for count in counts.values()) and not self._proposed:
            self._proposed = frozenset(counts)
            self._tell(set())
        if not self._proposed:
            return
        voters = self._votes.setdefault(_hash(self._proposed), set())
        voters.add(self._roster.number)
        if len(voters) >= QUORUM * len(there):
            self._decided, self._decided_until = _hash(self._proposed), now + DECIDED_S
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
    """32 bits, not 0."""
    told = b" ".join(b"%d" % n for n in sorted(cut))
    return int.from_bytes(hashlib.blake2b(told, digest_size=4).digest()) | 1
