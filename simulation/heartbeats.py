"""Heartbeats from all to all, to compare the membership core with."""

from __future__ import annotations

from collections.abc import Callable

from immutables import Map

from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import MemberState
from quillroad.membership.roster import Address, Roster
from quillroad.membership.sender import Outgoing
from quillroad.membership.timing import Timing
from quillroad.membership.view import Cause, Change, ChangeKind, MemberRecord, View
from quillroad.membership.wire import VERSION, Datagram, MessageKind, decode, encode

MISSED = 5  # periods of silence after which a member counts as gone


class Heartbeats:
    """One member, with the datagrams of the membership wire and no bandwidth budget.

    A member that was not heard for `MISSED` periods counts as gone.
    """

    def __init__(
        self,
        roster: Roster,
        timing: Timing,
        now: float,
        draw: Callable[[], float],
        incarnation: int,
    ) -> None:
        self._roster = roster
        self._period_s = 2 * timing.period_s
        self._incarnation = incarnation
        self.outbox: list[Outgoing] = []
        self.changes: list[Change] = []
        self._heard: dict[int, float] = {}
        others = (n for n in range(len(roster)) if n != roster.number)
        self._members = Map(
            (n, MemberRecord(MemberState.UNKNOWN, 0, now, Cause.ROSTER, n)) for n in others
        )
        self._next = now + draw() * self._period_s
        self._version = 0

    @property
    def view(self) -> View:
        """What it holds of the others."""
        return View(self._version, self._roster.number, 1, HealthState.HEALTHY, 0.0, self._members)

    def arm(self, now: float) -> float:
        """When it has something to do next, in seconds."""
        return max(now, self._next)

    def tick(self, now: float) -> None:
        """Send a heartbeat to all, and look who has not been heard."""
        if now < self._next:
            return
        self._next += self._period_s
        data = encode(
            Datagram(VERSION, self._roster.number, self._incarnation, 1, MessageKind.GOSSIP, 0, 0)
        )
        self.outbox += [Outgoing(n, data) for n in self._members]
        for number, at in list(self._heard.items()):
            if self._missed(number, at, now):
                del self._heard[number]
                self._set(number, MemberState.FAULTY, now)

    def receive(self, source: Address, data: bytes, now: float) -> None:
        """Take a datagram: its sender lives."""
        number = decode(data).number
        self._heard[number] = now
        if self._members[number].state is not MemberState.ALIVE:
            self._set(number, MemberState.ALIVE, now)

    def _missed(self, number: int, at: float, now: float) -> bool:
        """Whether one that was heard last at `at` counts as gone."""
        return now - at > MISSED * self._period_s

    def _set(self, number: int, state: MemberState, now: float) -> None:
        self._version += 1
        self._members = self._members.set(number, MemberRecord(state, 1, now, Cause.HEARD, number))
        self.changes.append(
            Change(now, number, ChangeKind(state.reported_name), 1, Cause.HEARD, number)
        )
