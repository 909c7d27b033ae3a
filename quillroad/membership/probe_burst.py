"""Schedules bursts of direct-only probes when many members fail at once. Does no I/O.

With round-robin probes, indirect probes and piggybacked updates, the survivors of a mass failure
would spend the send budget of many seconds on faulty members. In a burst each member sends
direct-only probes to a few members that it has not heard recently, so that the cluster as a whole
probes each member several times within a second. Faulty members send no probes, so a survivor sends
more of them the more of its own probes stay unanswered.
"""

from __future__ import annotations

STEP_S = 0.1  # between two steps of a burst
FULL_RATE_S = 0.7  # time at the full rate
TAIL_S = 1.0  # then time at `TAIL_RATE`, for members that no probe has reached yet
TAIL_RATE = 0.1  # fraction of the full rate
REST_S = 5.0  # between bursts; with less, false suspicions of one burst would trigger the next
PROBES_PER_MEMBER = 8.0  # sent to each member by the whole cluster at the full rate
BUDGET_FRACTION = 0.8  # of the send budget, for the probes of a burst
GOSSIP_FRACTION = 0.4  # of the send budget, for gossip during the full rate of a burst


class ProbeBurst:
    """Timing and rate of one gateway's bursts. Times in seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._until = float("-inf")
        self.next_at = float("-inf")
        self._sent = 1
        self._answered = 1

    def begin(self, now: float) -> None:
        """Start a burst, unless one is running or ended less than `REST_S` ago."""
        if now >= self._until + REST_S:
            self._until = now + FULL_RATE_S + TAIL_S
            self.next_at = now
            self._sent = 1
            self._answered = 1

    def is_due(self, now: float) -> bool:
        """Whether a step is due now."""
        return self.next_at <= now < self._until

    def is_active(self, now: float) -> bool:
        """Whether a burst is running."""
        return now < self._until

    def record_result(self, answered: bool) -> None:
        """Record whether a direct-only probe was answered."""
        self._sent += 1
        self._answered += answered

    def step(self, now: float) -> float:
        """Return the number of members to probe now.

        The fractional part is the probability of one more.
        """
        self.next_at = now + STEP_S
        count = PROBES_PER_MEMBER * STEP_S / FULL_RATE_S * self._sent / self._answered
        return count if now <= self._until - TAIL_S else TAIL_RATE * count

    def gossip_fraction(self, now: float, usual: float) -> float:
        """Return the fraction of the send budget for gossip, `usual` outside the full rate."""
        return GOSSIP_FRACTION if now < self._until - TAIL_S else usual
