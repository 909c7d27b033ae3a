"""This gateway's own health, which it judges before it judges others (Lifeguard). Pure.

A gateway that was stopped, has too little of a core, or has lost its network sees what one sees
whose peers have all died. While it is not healthy it begins no suspicion and ends none.
"""

from __future__ import annotations

from enum import StrEnum

MAX_MULTIPLIER_SCORE = 8  # the bound of Lifeguard's local health multiplier
LOSS_SMOOTHING = 0.05  # weight of the newest probe: an average over about ten seconds
FAST_LOSS_SMOOTHING = 0.2  # the same within about three seconds, less certain
USUAL_LOSS = 0.15  # part of probes repeated on a network that needs no longer timeouts
STOPPED_S = 2.0  # a timer this late is a stopped process, not a loaded one
UNANSWERED_IN_A_ROW = 3  # from there on the fault may be this gateway's own
DUPLICATE_REPORT_S = 30.0  # for so long a report counts that two processes use this number
LOSS_TIMEOUT_FACTOR = 2.0  # how much longer timeouts get with the part of probes that were repeated


class HealthState(StrEnum):
    """A gateway's view of itself; the value is the word of reports."""

    HEALTHY = "sound"
    SLOW = "slow"  # its own timers come late
    ISOLATED = "alone"  # the only one, or cut off: it cannot know which
    DUPLICATED = "doubled"  # another process uses its number


class LocalHealth:
    """Fed with timers, probes and what was heard.

    `late_timer_s` is the delay of a timer that counts as slow, `isolation_s` the silence of all
    others that counts as being cut off, `recovery_s` how long it has to run well to be healthy
    again, `witnesses` how many others have to report a second process of its number. Times in
    seconds.
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
        self._duplicate_reports: dict[int, float] = {}  # by witness, when
        self.score = 0  # 0 is well; own timeouts grow with it
        self.loss = 0.0  # part of answered probes that took more than one PING, smoothed
        self.fast_loss = 0.0  # the same over fewer probes

    @property
    def multiplier(self) -> int:
        """Lifeguard's local health multiplier: the factor on own timeouts and periods, 1 to 9."""
        return 1 + self.score if self._lifeguard else 1

    def record_tick(self, late_s: float, now: float) -> bool:
        """A timer came this late; return whether the process stood still.

        In that case answers that it waits for may lie unread in the socket.
        """
        if late_s < self._late_timer_s:
            return False
        self._slow_until = now + self._recovery_s
        self._degrade()
        return late_s >= STOPPED_S

    def record_heard(self, now: float) -> None:
        """Something came from another member."""
        self._heard_at = now

    def record_answer(self, now: float, repeated: bool) -> None:
        """A probe was answered; `repeated` says that it took more than one PING."""
        self._answered_at = now
        self._unanswered_in_a_row = 0
        self.loss += (repeated - self.loss) * LOSS_SMOOTHING
        self.fast_loss += (repeated - self.fast_loss) * FAST_LOSS_SMOOTHING
        if not repeated:
            self.score = max(0, self.score - 1)

    def record_no_answer(self, helpers_heard: bool) -> None:
        """A probe was not answered; if its helpers were heard, the fault is not this gateway's."""
        self._unanswered_in_a_row += 1
        if not helpers_heard:
            self._degrade()

    def record_suspected(self) -> None:
        """Others suspected this gateway: it answers late, or is hard to reach."""
        self._degrade()

    def record_duplicate(self, witness: int, now: float) -> None:
        """Another member hears two processes under this number."""
        self._duplicate_reports[witness] = now

    def _degrade(self) -> None:
        self.score = min(MAX_MULTIPLIER_SCORE, self.score + 1)

    @property
    def probe_loss_factor(self) -> float:
        """The factor (1 or more) on waits for an answer while more than the usual gets lost."""
        if not self._lifeguard:
            return 1.0
        return 1.0 + LOSS_TIMEOUT_FACTOR * max(0.0, self.loss - USUAL_LOSS)

    @property
    def refutation_loss_factor(self) -> float:
        """The factor on waits for a refutation, which has a longer way; 1 or more."""
        if not self._lifeguard:
            return 1.0
        loss = max(self.loss, self.fast_loss) if self.loss > USUAL_LOSS else self.loss
        return 1.0 + LOSS_TIMEOUT_FACTOR * loss

    def answered_since(self, at: float) -> bool:
        """Whether a probe was answered since then."""
        return self._answered_at >= at

    @property
    def is_in_doubt(self) -> bool:
        """Whether to probe a member just heard next, to see which side is at fault."""
        return self._unanswered_in_a_row >= UNANSWERED_IN_A_ROW - 1

    def state(self, now: float) -> HealthState:
        """Return the state at this time; without Lifeguard only healthy or duplicated."""
        reports = sum(now - at < DUPLICATE_REPORT_S for at in self._duplicate_reports.values())
        if reports >= self._witnesses_needed:
            return HealthState.DUPLICATED
        if not self._lifeguard:
            return HealthState.HEALTHY
        if now < self._slow_until:
            return HealthState.SLOW
        return HealthState.ISOLATED if self._is_isolated(now) else HealthState.HEALTHY

    def _is_isolated(self, now: float) -> bool:
        hears_nobody = now - self._heard_at > self._isolation_s
        unheard = (
            self._unanswered_in_a_row > UNANSWERED_IN_A_ROW
            and now - self._answered_at > self._isolation_s
        )
        return hears_nobody or unheard
