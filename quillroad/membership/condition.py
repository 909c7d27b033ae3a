"""What a gateway thinks of itself, before it judges others. No I/O.

A gateway that was stopped, has too little of a core, or has lost its own network sees what one sees whose
peers have all died. It may not say so: while it is not sound it begins no suspicion and ends none.
"""

from __future__ import annotations

from enum import StrEnum

WORST = 8  # of the multiplier (Lifeguard)
SMOOTH = 0.05  # weight of the newest probe in `lossy`: ten seconds of probes
BRISK = 0.2  # and in `brisk`
USUAL = 0.15  # of `lossy`: 0.1 at 5% loss, 0.5 at 30%
STOOD_S = 2.0  # longer than that in one step is no load, but a stop
FEW_PROBES = 3  # without an answer, on end: the next goes to whom was heard last
TWIN_S = 30.0  # for which word counts that two processes speak under this number


class Self(StrEnum):
    """A gateway's view of itself."""

    SOUND = "sound"
    SLOW = "slow"  # its own timers come late
    ALONE = "alone"  # alone, or cut off: it cannot know which
    DOUBLED = "doubled"  # another process speaks under its number


class Condition:
    """Told of ticks, probes and what was heard. `late_s` is a delay of a timer that counts as slow, `alone_s`
    the silence after which it may be cut off, `steady_s` how long it has to run well to count as sound,
    `witnesses` how many others have to hear a second process under its number."""

    def __init__(
        self, late_s: float, alone_s: float, steady_s: float, witnesses: int, lifeguard: bool = True
    ) -> None:
        self._late_s, self._alone_s, self._steady_s = late_s, alone_s, steady_s
        self._lifeguard, self._witnesses_wanted = lifeguard, witnesses
        self._slow_until = self._heard = self._answered = float("-inf")
        self._unanswered = 0  # probes on end
        self._witnesses: dict[int, float] = {}
        self.score = 0  # 0 is well; times and waits grow with it
        self.lossy = 0.0  # part of the answered probes that took more than one question, smoothed
        self.brisk = 0.0  # the same, sooner and less certain

    @property
    def stretch(self) -> int:
        """What own waits are to be multiplied with, 1 to 9."""
        return 1 + self.score if self._lifeguard else 1

    def ticked(self, late_s: float, now: float) -> bool:
        """A timer came so late; returns whether the process stood still, so that what it waited for may lie
        unread."""
        if late_s < self._late_s:
            return False
        self._slow_until = now + self._steady_s
        self._worse()
        return late_s >= STOOD_S

    def heard(self, now: float) -> None:
        """Something came from another gateway."""
        self._heard = now

    def probed(self, answered: bool, now: float, helped: bool = False) -> None:
        """A probe has ended. `helped` says that it took more than one question, or, where it was not
        answered, that others asked for help were heard: then the silence is not this gateway's own."""
        if answered:
            self._answered, self._unanswered = now, 0
            self.lossy += (helped - self.lossy) * SMOOTH
            self.brisk += (helped - self.brisk) * BRISK
            if not helped:
                self.score = max(0, self.score - 1)
        else:
            self._unanswered += 1
            if not helped:
                self._worse()

    def doubted(self) -> None:
        """Others suspected this gateway: it answers late, or is hard to reach."""
        self._worse()

    def _worse(self) -> None:
        self.score = min(WORST, self.score + 1)

    def doubled(self, witness: int, now: float) -> None:
        """Another gateway hears two processes under this number."""
        self._witnesses[witness] = now

    @property
    def lossy_stretch(self) -> float:
        """What waits for an answer are to be multiplied with, where more datagrams get lost than usual."""
        return 1.0 + 2.0 * max(0.0, self.lossy - USUAL) if self._lifeguard else 1.0

    @property
    def refuting(self) -> float:
        """What waits for a refutation are to be multiplied with, which has a longer way."""
        lossy = max(self.lossy, self.brisk) if self.lossy > USUAL else self.lossy
        return 1.0 + 2.0 * lossy if self._lifeguard else 1.0

    def answered_since(self, at: float) -> bool:
        """Whether somebody has answered a probe since then."""
        return self._answered >= at

    @property
    def doubtful(self) -> bool:
        """Whether the next probe should go to somebody who was just heard, to see who is at fault."""
        return self._unanswered >= FEW_PROBES - 1

    def state(self, now: float) -> Self:
        if sum(now - at < TWIN_S for at in self._witnesses.values()) >= self._witnesses_wanted:
            return Self.DOUBLED
        if not self._lifeguard:
            return Self.SOUND
        if now < self._slow_until:
            return Self.SLOW
        silent = now - self._heard > self._alone_s
        unheard = self._unanswered > FEW_PROBES and now - self._answered > self._alone_s
        return Self.ALONE if silent or unheard else Self.SOUND
