"""This gateway's own health, checked before it suspects others (Lifeguard). Does no I/O.

To a gateway that was stopped, gets too little CPU time or has lost its network, all peers seem to
have failed. While a gateway is not healthy it starts no suspicion and lets none expire.
"""

from __future__ import annotations

from enum import StrEnum

MAX_MULTIPLIER_SCORE = 8  # upper bound of Lifeguard's local health score
LOSS_SMOOTHING = 0.05  # weight of the newest probe: averages over about 10 s
FAST_LOSS_SMOOTHING = 0.2  # averages over about 3 s, with more noise
USUAL_LOSS = 0.15  # fraction of probes repeated up to which timeouts need not be longer
STOPPED_S = 2.0  # a timer this late means that the process was stopped, not just loaded
UNANSWERED_IN_A_ROW = 3  # above this the fault may be this gateway's own
DUPLICATE_REPORT_S = 30.0  # validity of a report that two processes use one member number
LOSS_TIMEOUT_FACTOR = 2.0  # increase of timeouts per fraction of probes that were repeated


class HealthState(StrEnum):
    """A gateway's view of its own health; the values appear in reports."""

    HEALTHY = "sound"
    SLOW = "slow"  # its own timers fire late
    ISOLATED = "alone"  # the last member alive or cut off from the others; it cannot tell which
    DUPLICATED = "doubled"  # another process uses its number


class LocalHealth:
    """Derives the health from timer delays, probe results and received datagrams.

    `late_timer_s` is the timer delay from which the gateway counts as slow, `isolation_s` the time
    without a datagram or an answer after which it counts as isolated, `recovery_s` the time without
    late timers until it is healthy again, `witnesses` the number of other members that have to
    report a second process under its number. Times in seconds.
    """

    def __init__(
        self,
        late_timer_s: float,
        isolation_s: float,
        recovery_s: float,
        witnesses: int,
        lifeguard: bool = True,
    ) -> None:
        self._late_timer_s = late_timer_s
        self._isolation_s = isolation_s
        self._recovery_s = recovery_s
        self._witnesses_needed = witnesses
        self._lifeguard = lifeguard
        self._slow_until = float("-inf")
        self._heard_at = float("-inf")
        self._answered_at = float("-inf")
        self._unanswered_in_a_row = 0
        self._duplicate_reports: dict[int, float] = {}  # time of the latest report by witness
        self.score = 0  # 0 is healthy; own timeouts grow with it
        self.loss = 0.0  # smoothed fraction of answered probes that took several PINGs
        self.fast_loss = 0.0  # the same, averaged over fewer probes

    @property
    def multiplier(self) -> int:
        """Lifeguard's local health multiplier for own timeouts and periods, 1 to 9."""
        return 1 + self.score if self._lifeguard else 1

    def record_tick(self, late_s: float, now: float) -> bool:
        """Record a late timer; return whether the process was stopped.

        If it was, answers that it waits for may be unread in the socket.
        """
        if late_s < self._late_timer_s:
            return False
        self._slow_until = now + self._recovery_s
        self._degrade()
        return late_s >= STOPPED_S

    def record_heard(self, now: float) -> None:
        """Record a datagram from another member."""
        self._heard_at = now

    def record_answer(self, now: float, repeated: bool) -> None:
        """Record an answered probe; `repeated` tells that it took more than one PING."""
        self._answered_at = now
        self._unanswered_in_a_row = 0
        self.loss += (repeated - self.loss) * LOSS_SMOOTHING
        self.fast_loss += (repeated - self.fast_loss) * FAST_LOSS_SMOOTHING
        if not repeated:
            self.score = max(0, self.score - 1)

    def record_no_answer(self, helpers_heard: bool) -> None:
        """Record an unanswered probe; it lowers the health only if no helper was heard either."""
        self._unanswered_in_a_row += 1
        if not helpers_heard:
            self._degrade()

    def record_suspected(self) -> None:
        """Record that others suspected this gateway: it answers late or is hard to reach."""
        self._degrade()

    def record_duplicate(self, witness: int, now: float) -> None:
        """Record that another member receives from two processes under this number."""
        self._duplicate_reports[witness] = now

    def _degrade(self) -> None:
        self.score = min(MAX_MULTIPLIER_SCORE, self.score + 1)

    @property
    def probe_loss_factor(self) -> float:
        """The factor (1 or more) on probe timeouts while loss exceeds `USUAL_LOSS`."""
        if not self._lifeguard:
            return 1.0
        return 1.0 + LOSS_TIMEOUT_FACTOR * max(0.0, self.loss - USUAL_LOSS)

    @property
    def refutation_loss_factor(self) -> float:
        """The factor (1 or more) on suspicion timeouts; a refutation takes a longer path."""
        if not self._lifeguard:
            return 1.0
        loss = max(self.loss, self.fast_loss) if self.loss > USUAL_LOSS else self.loss
        return 1.0 + LOSS_TIMEOUT_FACTOR * loss

    def answered_since(self, at: float) -> bool:
        """Whether a probe was answered at or after this time."""
        return self._answered_at >= at

    @property
    def may_be_at_fault(self) -> bool:
        """Whether to probe a recently heard member next, to tell an own fault from a peer's."""
        return self._unanswered_in_a_row >= UNANSWERED_IN_A_ROW - 1

    def state(self, now: float) -> HealthState:
        """Return the health at this time; without Lifeguard only healthy or duplicated."""
        reports = sum(now - at < DUPLICATE_REPORT_S for at in self._duplicate_reports.values())
        if reports >= self._witnesses_needed:
            return HealthState.DUPLICATED
        if not self._lifeguard:
            return HealthState.HEALTHY
        if now < self._slow_until:
            return HealthState.SLOW
        return HealthState.ISOLATED if self._is_isolated(now) else HealthState.HEALTHY

    def _is_isolated(self, now: float) -> bool:
        receives_nothing = now - self._heard_at > self._isolation_s
        gets_no_answer = (
            self._unanswered_in_a_row > UNANSWERED_IN_A_ROW
            and now - self._answered_at > self._isolation_s
        )
        return receives_nothing or gets_no_answer
