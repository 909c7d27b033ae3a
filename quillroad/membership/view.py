"""The membership as one gateway sees it: an immutable snapshot and its builder. Does no I/O."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from immutables import Map

from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import ABSENT, PRESENT, MemberState

MAX_CHANGES = 1024  # kept until the caller fetches them; changes beyond this are dropped


class Cause(StrEnum):
    """Why a member entered its state; the value is what reports contain."""

    ROSTER = "roster"  # listed in the roster, nothing else is known
    HEARD = "heard"  # a datagram from the member arrived
    REPORTED = "told"  # another member reported the state
    UNANSWERED = "silent"  # the member did not answer this gateway's probes
    TIMEOUT = "timer"  # the member did not refute the suspicion in time
    SELF = "self"  # this process's assessment of itself


class ChangeKind(StrEnum):
    """What changed in a view; the value is what the change log contains."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    FAULTY = "gone"
    LEFT = "left"
    REFUTED = "refuted"  # this gateway refuted a report about itself
    DUPLICATED = "doubled"  # two processes use one number
    HEALTHY = "sound"
    SLOW = "slow"
    ISOLATED = "alone"


class MemberRecord(NamedTuple):
    """One member as this gateway sees it.

    `since` is when it entered this state, in seconds of this process's clock, and `cause` why.
    `reporter` is the member whose report or probe led to the state.
    """

    state: MemberState
    incarnation: int
    since: float
    cause: Cause
    reporter: int


class Change(NamedTuple):
    """One thing that changed in a view, at a time in seconds of this process's clock.

    `number` is the member's, or this gateway's own if `kind` is about this gateway itself. `cause`
    is a `Cause` or, for a refutation, the state that was refuted.
    """

    at: float
    number: int
    kind: ChangeKind
    incarnation: int
    cause: str
    reporter: int


class View(NamedTuple):
    """Snapshot of the membership. `members` has all members except this gateway.

    `changed_at` is when the view last changed, or last differed from another member's table.
    """

    version: int
    number: int
    incarnation: int
    self_state: HealthState
    changed_at: float
    members: Map[int, MemberRecord]

    def count(self, *states: MemberState) -> int:
        """Return how many other members are in one of these states."""
        return sum(record.state in states for record in self.members.values())

    @property
    def live_count(self) -> int:
        """Number of present gateways, including this one and suspects not yet declared faulty."""
        return 1 + self.count(*PRESENT)

    @property
    def is_certain(self) -> bool:
        """Whether no member is suspect or unknown, and this gateway is healthy."""
        return self.self_state is HealthState.HEALTHY and not self.count(
            MemberState.SUSPECT, MemberState.UNKNOWN
        )

    def is_settled(self, now: float, hold_s: float) -> bool:
        """Whether the view is certain and has not changed for `hold_s` seconds.

        A difference from another member's table counts as a change.
        """
        return self.is_certain and now - self.changed_at >= hold_s

    def live_index(self) -> int:
        """Return the index, from 0, of this gateway among the present ones in order of number."""
        return sum(
            n < self.number and record.state in PRESENT for n, record in self.members.items()
        )


class ViewBuilder:
    """Holds the members' records and the changes that the caller has not fetched yet."""

    def __init__(self, own_number: int, size: int, now: float) -> None:
        self._own_number = own_number
        self.members: Map[int, MemberRecord] = Map(
            (n, self._unknown(now)) for n in range(size) if n != own_number
        )
        self.changes: list[Change] = []
        self._version = 0
        self._changed_at = now
        self._self_state = HealthState.ISOLATED
        self._snapshot: View | None = None
        self._present: list[int] | None = None  # cached until a member's state changes

    def _unknown(self, now: float) -> MemberRecord:
        return MemberRecord(MemberState.UNKNOWN, 0, now, Cause.ROSTER, self._own_number)

    def snapshot(self, incarnation: int) -> View:
        """Return the current view; the same object until something changes."""
        if self._snapshot is None:
            self._snapshot = View(
                self._version,
                self._own_number,
                incarnation,
                self._self_state,
                self._changed_at,
                self.members,
            )
        return self._snapshot

    def present(self) -> list[int]:
        """Return the other members that are alive or suspect."""
        if self._present is None:
            self._present = [n for n, r in self.members.items() if r.state in PRESENT]
        return self._present

    def absent(self) -> list[int]:
        """Return the other members that are faulty or have left."""
        return [n for n, record in self.members.items() if record.state in ABSENT]

    def record(self, number: int, record: MemberRecord, now: float) -> None:
        """Set a member's record, and note a change if its state differs from the last one."""
        old = self.members.get(number)
        self.members = self.members.set(number, record)
        if old is not None and old.state is record.state:
            if old.incarnation != record.incarnation:
                self._snapshot = None
            return
        self._present = None
        kind = ChangeKind(record.state.reported_name)
        self.note(Change(now, number, kind, record.incarnation, record.cause, record.reporter), now)

    def add(self, number: int, now: float) -> None:
        """Add a member that is new in the roster."""
        self.record(number, self._unknown(now), now)

    def remove(self, number: int, now: float) -> None:
        """Remove a member that is no longer in the roster."""
        self.members = self.members.delete(number)
        self._present = None
        self.touch(now)

    def note(self, change: Change, now: float) -> None:
        """Keep a change for the caller."""
        self.touch(now)
        if len(self.changes) < MAX_CHANGES:
            self.changes.append(change)

    def set_self_state(self, state: HealthState, incarnation: int, now: float) -> None:
        """Set this gateway's own state, and note a change if it differs from the last one."""
        if state is not self._self_state:
            self._self_state = state
            kind = ChangeKind(state.value)
            number = self._own_number
            self.note(Change(now, number, kind, incarnation, Cause.SELF, number), now)

    def touch(self, now: float) -> None:
        """Begin a new version of the view, which is not settled."""
        self._changed_at = now
        self._snapshot = None
        self._version += 1

    def mark_unsettled(self, now: float) -> None:
        """Mark the view as not settled, because another member's table differs; same version."""
        self._changed_at = now
        self._snapshot = None
