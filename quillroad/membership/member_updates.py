"""Applies received and observed statuses to the table, and then to the view. Does no I/O."""

from __future__ import annotations

from quillroad.membership.broadcast import Broadcaster
from quillroad.membership.member_table import ABSENT, MemberState, MemberStatus, is_credible
from quillroad.membership.refutation import Refutation
from quillroad.membership.state import LocalState
from quillroad.membership.suspicions import SuspicionTracker
from quillroad.membership.view import Cause, MemberRecord
from quillroad.membership.wire import DropReason, Update


class MemberUpdates:
    """Merges the statuses of other members into the table and updates the view."""

    def __init__(
        self,
        state: LocalState,
        broadcaster: Broadcaster,
        suspicions: SuspicionTracker,
        refutation: Refutation,
    ) -> None:
        self._state = state
        self._broadcaster = broadcaster
        self._suspicions = suspicions
        self._refutation = refutation

    def apply_gossip(self, update: Update, reporter: int, now: float) -> None:
        """Apply an update that another member sent, or count it if its number is unknown."""
        if update.number >= len(self._state.roster):
            self._state.dropped[DropReason.UNKNOWN_MEMBER] += 1
        else:
            self.apply_report(update.number, update.status(), reporter, now)

    def apply_report(self, number: int, status: MemberStatus, reporter: int, now: float) -> None:
        """Apply another member's report about a member of the roster, possibly this one."""
        if number == self._state.number:
            self._refutation.handle_report(status, reporter, now)
        else:
            self.apply(number, status, reporter, Cause.REPORTED, now)

    def apply(
        self, number: int, status: MemberStatus, reporter: int, cause: Cause, now: float
    ) -> None:
        """Merge another member's status into the table, pass on a change and update the view."""
        state = self._state
        if cause is Cause.REPORTED and not is_credible(
            status.incarnation, state.table[number].incarnation
        ):
            state.dropped[DropReason.INCARNATION_JUMP] += 1
            return
        if not state.table.merge(number, status):
            return
        if cause is Cause.UNANSWERED:
            self._broadcaster.announce(number)
        else:
            state.gossip_queue.put(number)
        # A member never heard of here is suspected first too, since the gateway that reports it as
        # faulty may have been cut off itself.
        was_absent = state.view.members[number].state in ABSENT
        if status.state is MemberState.SUSPECT or (
            status.state is MemberState.FAULTY and not was_absent
        ):
            self._suspicions.suspect(number, status, reporter, cause, now)
            return
        self._suspicions.end(number)
        record = MemberRecord(status.state, status.incarnation, now, cause, reporter)
        state.view.record(number, record, now)
