"""Bursts of direct probes when many members fail at once: how many to send, and when. Pure.

Probing in turn, with indirect probes and piggybacked updates, the survivors of a mass failure would
spend their send budget of many seconds on members that are faulty. In a burst each member sends
direct-only probes to a few members that it has not heard lately, so that the whole cluster probes
each member several times within a second. Faulty members probe nobody: a survivor's part grows as
its own probes stay unanswered.
"""

from __future__ import annotations

STEP_S = 0.1  # between two steps of a burst
FULL_RATE_S = 0.7  # for so long a burst probes at its full rate
TAIL_S = 1.0  # then for so long at `TAIL_RATE`, for members whose first probes were missed
TAIL_RATE = 0.1  # part of the full rate
REST_S = 5.0  # between bursts: else members suspected wrongly in one would set off the next
PROBES_PER_MEMBER = 8.0  # that one member gets from all others together at the full rate
BUDGET_FRACTION = 0.8  # of the send budget, for a burst's probes
GOSSIP_FRACTION = 0.4  # of the send budget, for gossip while a burst is at its full rate


class ProbeBurst:
    """One gateway's part in bursts. All times are seconds of one clock that never steps back."""

    def __init__(self) -> None:
        self._until = float("-inf")
        self.next_at = float("-inf")
        self._sent = 1
        self._answered = 1

    def begin(self, now: float) -> None:
        """Many members are suspected: begin a burst, unless one has just been."""
        if now >= self._until + REST_S:
            self._until = now + FULL_RATE_S + TAIL_S
            self.next_at = now
            self._sent = 1
            self._answered = 1

    def is_due(self, now: float) -> bool:
        """Whether a step is due now."""
        return self.next_at <= now < self._until

    def is_active(self, now: float) -> bool:
        """Whether there is a step to come."""
        return now < self._until

    def record_result(self, answered: bool) -> None:
        """A direct-only probe was answered, or was not."""
        self._sent += 1
        self._answered += answered

    def step(self, now: float) -> float:
        """Return how many to probe now; the part behind the point is the chance of one more."""
        self.next_at = now + STEP_S
        count = PROBES_PER_MEMBER * STEP_S / FULL_RATE_S * self._sent / self._answered
        return count if now <= self._until - TAIL_S else TAIL_RATE * count

    def gossip_fraction(self, now: float, usual: float) -> float:
        """Return the part of the send budget for gossip, `usual` outside of a burst's full rate."""
        return GOSSIP_FRACTION if now < self._until - TAIL_S else usual
