"""Refuting what others say of this member, by a higher incarnation. Pure."""

from __future__ import annotations

from quillroad.membership.broadcast import Broadcaster
from quillroad.membership.member_table import (
    MAX_INCARNATION,
    MemberState,
    MemberStatus,
    credible,
)
from quillroad.membership.state import LocalState
from quillroad.membership.view import Change, ChangeKind
from quillroad.membership.wire import DropReason

# between two refutations: two processes of one number would refute without end
MIN_INTERVAL_S = 0.1


class Refutation:
    """Raises this member's incarnation when it has to."""

    def __init__(self, state: LocalState, broadcaster: Broadcaster) -> None:
        self._state = state
        self._broadcaster = broadcaster
        self._refuted_at = float("-inf")
        self._jump_reporters: set[int] = set()  # who reported an incarnation that is not credible

    def consider(self, status: MemberStatus, reporter: int, now: float) -> None:
        """Another member says this of this one: refute it where it is worse than the own status."""
        state = self._state
        if status[:2] <= state.own_status[:2] or state.has_left:
            return
        if now - self._refuted_at < MIN_INTERVAL_S:
            return  # it will be said again
        if status.state is MemberState.SUSPECT:
            state.health.record_suspected()
        if self._is_believed(status.incarnation, reporter):
            self._refute(status, now)

    def _is_believed(self, incarnation: int, reporter: int) -> bool:
        """Whether this member may have had that incarnation, and there is one after it.

        One that is not credible is a lie, unless this member got that far before it restarted from
        nothing: then several members know of it.
        """
        state = self._state
        if not credible(incarnation, state.incarnation):
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
