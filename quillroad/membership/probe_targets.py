"""Which member is probed next: each once in a random order, then in another. Pure."""

from __future__ import annotations

from quillroad.membership.member_table import ABSENT, MemberState
from quillroad.membership.state import MASS_FAILURE_SUSPECTS, LocalState

DOUBT_CHANCE = 0.5  # that a member in doubt of itself probes one that it has just heard


class ProbeTargets:
    """Round-robin over a random order of the members that are not absent (SWIM)."""

    def __init__(self, state: LocalState) -> None:
        self._state = state
        self._order: list[int] = []

    def next(self, now: float) -> int | None:
        """Return the member to probe now; None: there is none."""
        state = self._state
        if state.health.is_in_doubt and state.timing.lifeguard and state.draw() < DOUBT_CHANCE:
            latest = self._last_heard(now)
            if latest is not None:
                return latest
        for _ in range(2):  # what is left of this order, and a whole one
            while self._order:
                number = self._order.pop()
                record = state.view.members.get(number)
                if record is not None and not self._is_skipped(record.state):
                    return number
            self._order = state.sample(len(state.roster), state.view.members)
        return None

    def _is_skipped(self, member_state: MemberState) -> bool:
        """Absent members, and suspects where they are many, are probed apart from the order."""
        if member_state is MemberState.SUSPECT:
            return len(self._state.suspicions) >= MASS_FAILURE_SUSPECTS
        return member_state in ABSENT

    def _last_heard(self, now: float) -> int | None:
        """Return the member heard last, if that is less than `isolation_s` ago."""
        state = self._state
        since = now - state.timing.isolation_s
        heard = [
            (at, n) for n, at in state.last_heard.items() if at > since and n in state.view.members
        ]
        return max(heard)[1] if heard else None

    def shrink(self, size: int) -> None:
        """The roster has this many members now."""
        self._order = [n for n in self._order if n < size]
