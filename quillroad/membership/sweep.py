"""When much is gone at once: how many to ask lightly, and when. No I/O.

In turn, with help and news along, the probes of 140 silent ones of 200 took the survivors' budgets of five
seconds. In a sweep each asks a few of those that it has not heard lately, so that the whole fleet asks each
member some times within a second. Those that are gone ask nobody: the part of each grows as its questions
stay without an answer.
"""

from __future__ import annotations

STEP_S = 0.1  # between two steps
SWEPT_S = 0.7  # how long a sweep takes; with 1.0 seven in ten of 200 took 0.4 s longer
AFTER_S, AFTER = 1.0, 0.1  # then for so long that part of it, for what the first questions missed
REST_S = (
    5.0  # how long none begins after it: with 2.0 those it suspected wrongly set off the next one
)
SWEPT = 8.0  # that one member gets from all others; with 4 it took 0.9 s longer, with 16 it was no quicker
PART = 0.8  # of the budget, for its questions
MEANWHILE = 0.4  # of the budget, for what is told while it lasts


class Sweep:
    """One gateway's part in sweeps. All times are seconds of one clock."""

    def __init__(self) -> None:
        self._until = self.next = float("-inf")
        self._asked = self._answered = 1

    def begin(self, now: float) -> None:
        """Many are suspected: sweep, unless one has just been."""
        if now >= self._until + REST_S:
            self._until, self.next = now + SWEPT_S + AFTER_S, now
            self._asked = self._answered = 1

    def due(self, now: float) -> bool:
        return self.next <= now < self._until

    def lasts(self, now: float) -> bool:
        """Whether there is a step to come."""
        return now < self._until

    def ended(self, answered: bool) -> None:
        """A light probe has got an answer, or none."""
        self._asked += 1
        self._answered += answered

    def step(self, now: float) -> float:
        """How many to ask now, a part of one for a chance of that."""
        self.next = now + STEP_S
        share = SWEPT * STEP_S / SWEPT_S * self._asked / self._answered
        return share if now <= self._until - AFTER_S else AFTER * share

    def telling(self, now: float, usual: float) -> float:
        """The part of the budget for what can wait, `usual` where there is no sweep."""
        return MEANWHILE if now < self._until - AFTER_S else usual
