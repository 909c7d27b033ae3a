"""Phi-accrual failure detection (Hayashibara 2004), to compare the membership core with.

All members send heartbeats to all. Of each member the last intervals between its heartbeats are
kept. Phi is how improbable so long a silence is, by a normal distribution with their mean and
deviation, as the negative logarithm to the base ten.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import erfc, inf, log10, sqrt
from statistics import fmean, pstdev

from quillroad.membership.roster import Address, Roster
from quillroad.membership.timing import Timing
from quillroad.membership.wire import decode
from simulation.heartbeats import Heartbeats

INTERVALS = 100  # that are remembered of each member
THRESHOLD = 8.0  # the value that Cassandra and Akka began with
LEAST_DEVIATION_S = 0.1  # standard deviation that a quiet network is taken to have
# Periods of silence that are accepted on top, as Akka does: without them one lost heartbeat makes
# a member count as gone.
PAUSE_PERIODS = 3


class Phi(Heartbeats):
    """One member."""

    def __init__(
        self,
        roster: Roster,
        timing: Timing,
        now: float,
        draw: Callable[[], float],
        incarnation: int,
    ) -> None:
        super().__init__(roster, timing, now, draw, incarnation)
        self._intervals: dict[int, deque[float]] = {}
        # Mean and standard deviation (seconds) of a member's intervals, until its next heartbeat.
        self._judged: dict[int, tuple[float, float]] = {}

    def receive(self, source: Address, data: bytes, now: float) -> None:
        """Take a datagram: remember the interval since the last one of its sender."""
        number = decode(data).number
        if number in self._heard:
            self._intervals.setdefault(number, deque(maxlen=INTERVALS)).append(
                now - self._heard[number]
            )
            self._judged.pop(number, None)
        super().receive(source, data, now)

    def phi(self, number: int, silent_s: float) -> float:
        """How improbable it is that this member lives and has been silent for so long."""
        intervals = self._intervals.get(number)
        if not intervals:
            intervals = deque([self._period_s])
        if number not in self._judged:
            self._judged[number] = fmean(intervals), max(LEAST_DEVIATION_S, pstdev(intervals))
        mean, deviation = self._judged[number]
        later = 0.5 * erfc((silent_s - PAUSE_PERIODS * self._period_s - mean) / deviation / sqrt(2))
        return -log10(later) if later > 0 else inf

    def _missed(self, number: int, at: float, now: float) -> bool:
        return self.phi(number, now - at) > THRESHOLD
