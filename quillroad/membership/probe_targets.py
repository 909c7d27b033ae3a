"""Selects the next member to probe, in rounds of a new random order. Does no I/O."""

from __future__ import annotations

from quillroad.membership.member_table import ABSENT, MemberState
from quillroad.membership.state import MASS_FAILURE_SUSPECTS, LocalState

# Probability of probing a recently heard member while the fault may be this gateway's own.
SELF_CHECK_PROBABILITY = 0.5


class ProbeTargets:
    """Round-robin over a random order of the members that are not absent (SWIM)."""

    def __init__(self, state: LocalState) -> None:
        self._state = state
        self._order: list[int] = []

    def next(self, now: float) -> int | None:
        """Return the member to probe now, or None if there is none."""
        state = self._state
        if (
            state.health.may_be_at_fault
            and state.timing.lifeguard
            and state.draw() < SELF_CHECK_PROBABILITY
        ):
            latest = self._last_heard(now)
            if latest is not None:
                return latest
        for _ in range(2):  # the rest of the current order, then a new one
            while self._order:
                number = self._order.pop()
                record = state.view.members.get(number)
                if record is not None and not self._is_skipped(record.state):
                    return number
            self._order = state.sample(len(state.roster), state.view.members)
        return None

    def _is_skipped(self, member_state: MemberState) -> bool:
        """Whether to skip a member: absent ones, and suspects when many, are probed separately."""
        if member_state is MemberState.SUSPECT:
            return len(self._state.suspicions) >= MASS_FAILURE_SUSPECTS
        return member_state in ABSENT

    def _last_heard(self, now: float) -> int | None:
        """Return the most recently heard member, or None if `isolation_s` has passed since."""
        state = self._state
        since = now - state.timing.isolation_s
        heard = [
            (at, n) for n, at in state.last_heard.items() if at > since and n in state.view.members
        ]
        return max(heard)[1] if heard else None

    def shrink(self, size: int) -> None:
        """Drop the members from number `size` on, after the roster has changed."""
        self._order = [n for n in self._order if n < size]
