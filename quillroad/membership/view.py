"""The membership as one gateway sees it: an immutable value, and what builds it. Pure."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from immutables import Map

from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import ABSENT, PRESENT, MemberState

MAX_CHANGES = 1024  # changes that the caller has not fetched yet; later ones are dropped


class Cause(StrEnum):
    """Why a member came to be in its state; the value is the word of reports."""

    ROSTER = "roster"  # it is in the roster, and nothing else is known
    HEARD = "heard"  # it was heard itself
    REPORTED = "told"  # another member said so
    UNANSWERED = "silent"  # it did not answer this gateway's own probes
    TIMEOUT = "timer"  # its suspicion was not refuted in time
    SELF = "self"  # what this process saw of itself


class ChangeKind(StrEnum):
    """What changed in a view; the value is the word of the file of changes."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    FAULTY = "gone"
    LEFT = "left"
    REFUTED = "refuted"  # this gateway refuted what was said of it
    DUPLICATED = "doubled"  # two processes use one number
    HEALTHY = "sound"
    SLOW = "slow"
    ISOLATED = "alone"


class MemberRecord(NamedTuple):
    """One member as this gateway sees it.

    `since` is when it came to this state, in seconds of this process's clock, by `cause`, and
    `reporter` the member whose word or probe that was.
    """

    state: MemberState
    incarnation: int
    since: float
    cause: Cause
    reporter: int


class Change(NamedTuple):
    """One thing that changed in a view, at a time in seconds of this process's clock.

    `number` is the member's, this gateway's own where `kind` is a state of its own. `cause` is a
    `Cause`, or of a refutation the state that was refuted.
    """

    at: float
    number: int
    kind: ChangeKind
    incarnation: int
    cause: str
    reporter: int


class View(NamedTuple):
    """Snapshot of the membership. `members` has all but this gateway itself.

    `changed_at` is when any of this last changed, or differed from what another member has.
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
        """Gateways that are present, this one among them; a suspect is until it is faulty."""
        return 1 + self.count(*PRESENT)

    @property
    def is_certain(self) -> bool:
        """Whether no member is suspect or unknown, and this gateway is healthy itself."""
        return self.self_state is HealthState.HEALTHY and not self.count(
            MemberState.SUSPECT, MemberState.UNKNOWN
        )

    def is_settled(self, now: float, hold_s: float) -> bool:
        """Whether nothing has been in doubt or changed for `hold_s` seconds."""
        return self.is_certain and now - self.changed_at >= hold_s

    def live_index(self) -> int:
        """Return which of the present gateways this one is, from 0, by number."""
        return sum(
            n < self.number and record.state in PRESENT for n, record in self.members.items()
        )


class ViewBuilder:
    """The members' records and the changes that they went through."""

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
        """Return the present view; the same object until something changes."""
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
        """Return the other members that count as present."""
        if self._present is None:
            self._present = [n for n, r in self.members.items() if r.state in PRESENT]
        return self._present

    def absent(self) -> list[int]:
        """Return the other members that are faulty or have left."""
        return [n for n, record in self.members.items() if record.state in ABSENT]

    def record(self, number: int, record: MemberRecord, now: float) -> None:
        """Set a member's record, and note the change where its state is another."""
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
        """A member that is new in the roster."""
        self.record(number, self._unknown(now), now)

    def remove(self, number: int, now: float) -> None:
        """A member that is no longer in the roster."""
        self.members = self.members.delete(number)
        self._present = None
        self.touch(now)

    def note(self, change: Change, now: float) -> None:
        """Keep a change for the caller."""
        self.touch(now)
        if len(self.changes) < MAX_CHANGES:
            self.changes.append(change)

    def set_self_state(self, state: HealthState, incarnation: int, now: float) -> None:
        """Set this gateway's own state, and note the change where it is another."""
        if state is not self._self_state:
            self._self_state = state
            kind = ChangeKind(state.value)
            number = self._own_number
            self.note(Change(now, number, kind, incarnation, Cause.SELF, number), now)

    def touch(self, now: float) -> None:
        """Something changed: a new version, and nothing is settled."""
        self._changed_at = now
        self._snapshot = None
        self._version += 1

    def mark_unsettled(self, now: float) -> None:
        """Another member's table differs: nothing is settled, though nothing changed here."""
        self._changed_at = now
        self._snapshot = None
