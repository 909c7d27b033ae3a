"""Phi-accrual (Hayashibara 2004), to measure beside: heartbeats from all to all, and a clock that learns.

Of each member the last intervals between its heartbeats are kept. Phi is how improbable so long a silence is,
by a normal distribution with their mean and spread, as the negative logarithm to the base ten.
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

KEPT = 100  # intervals of each
THRESHOLD = 8.0  # the value that Cassandra and Akka began with
LEAST_SPREAD_S = 0.1  # of a network that was quiet so far
PAUSE_PERIODS = (
    3  # of silence that are accepted on top, as Akka does: without, a lost heartbeat is an end
)


class Phi(Heartbeats):
    """One member."""

    def __init__(
        self, roster: Roster, timing: Timing, now: float, draw: Callable[[], float], life: int
    ) -> None:
        super().__init__(roster, timing, now, draw, life)
        self._intervals: dict[int, deque[float]] = {}
        self._judged: dict[
            int, tuple[float, float]
        ] = {}  # mean and spread, until the next heartbeat

    def receive(self, source: Address, data: bytes, now: float) -> None:
        number = decode(data).number
        if number in self._heard:
            self._intervals.setdefault(number, deque(maxlen=KEPT)).append(now - self._heard[number])
            self._judged.pop(number, None)
        super().receive(source, data, now)

    def phi(self, number: int, silent_s: float) -> float:
        """How improbable it is that this member lives and has been silent for so long."""
        kept = self._intervals.get(number)
        if not kept:
            kept = deque([self._period_s])
        if number not in self._judged:
            self._judged[number] = fmean(kept), max(LEAST_SPREAD_S, pstdev(kept))
        mean, spread = self._judged[number]
        later = 0.5 * erfc((silent_s - PAUSE_PERIODS * self._period_s - mean) / spread / sqrt(2))
        return -log10(later) if later > 0 else inf

    def _missed(self, number: int, at: float, now: float) -> bool:
        return self.phi(number, now - at) > THRESHOLD
