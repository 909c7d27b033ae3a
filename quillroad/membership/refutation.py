"""Refutes reports about this member by raising its incarnation. Does no I/O."""

from __future__ import annotations

from quillroad.membership.broadcast import Broadcaster
from quillroad.membership.member_table import (
    MAX_INCARNATION,
    MemberState,
    MemberStatus,
    is_credible,
)
from quillroad.membership.state import LocalState
from quillroad.membership.view import Change, ChangeKind
from quillroad.membership.wire import DropReason

# Minimum time between refutations. Two processes that use one member number refute each other
# without end; this limits their rate.
MIN_INTERVAL_S = 0.1


class Refutation:
    """Raises this member's incarnation when another member reports a worse status."""

    def __init__(self, state: LocalState, broadcaster: Broadcaster) -> None:
        self._state = state
        self._broadcaster = broadcaster
        self._refuted_at = float("-inf")
        self._jump_reporters: set[int] = (
            set()
        )  # members that reported an incarnation that is not credible

    def handle_report(self, status: MemberStatus, reporter: int, now: float) -> None:
        """Refute a report about this member if it is worse than the member's own status."""
        state = self._state
        if status[:2] <= state.own_status[:2] or state.has_left:
            return
        if now - self._refuted_at < MIN_INTERVAL_S:
            return  # other members will repeat the report
        if status.state is MemberState.SUSPECT:
            state.health.record_suspected()
        if self._is_believed(status.incarnation, reporter):
            self._refute(status, now)

    def _is_believed(self, incarnation: int, reporter: int) -> bool:
        """Whether this member may have had the incarnation and a higher one exists.

        A report with an incarnation that is not credible is false, unless this member had reached
        it before it restarted without its state; in that case several members report it.
        """
        state = self._state
        if not is_credible(incarnation, state.incarnation):
            state.dropped[DropReason.INCARNATION_JUMP] += 1
            self._jump_reporters.add(reporter)
            if len(self._jump_reporters) < state.witnesses_needed:
                return False
        if incarnation >= MAX_INCARNATION:
            state.dropped[DropReason.LAST_INCARNATION] += 1
            return False
        return True

    def _refute(self, status: MemberStatus, now: float) -> None:
        state = self._state
        self._jump_reporters.clear()
        self._refuted_at = now
        state.incarnation = status.incarnation + 1
        state.table.merge(state.number, state.own_status)
        self._broadcaster.announce(state.number)
        refuted = status.state.reported_name
        change = Change(
            now, state.number, ChangeKind.REFUTED, state.incarnation, refuted, state.number
        )
        state.view.note(change, now)
