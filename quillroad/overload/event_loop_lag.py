"""Whether the loop comes round in time, and what the clock is while it catches up. Free of I/O.

A process that was stopped, or whose turns are long, finds many things due at once: timers that ran out and
answers that lay in the kernel all that time. Taken in the order in which the loop meets them, time-outs would
come before the answers that made them void, and healthy hosts would be blamed for a gateway that read late.
"""

from __future__ import annotations

BEAT_S = 0.025  # between two signs of life, while there is work
LATE_S = 0.040  # since the last one: what is read now may have waited, so its age is asked for
STALL_S = 0.150  # since the last one: timers wait until all that the kernel holds has been read


class EventLoopLag:
    """Signs of life of one loop. Times are seconds of one clock that never goes back."""

    def __init__(self, now: float) -> None:
        self.last = now  # sign of life
        self._beating = False
        self.catching_up = False
        self.stalls = 0

    def begin(self, now: float) -> bool:
        """There is work from now on: beats are due. True if they were not before."""
        if self._beating:
            return False
        self._beating, self.last = True, now
        return True

    def end(self) -> None:
        """No work: no beats are due, and silence says nothing."""
        self._beating = False

    def beat(self, now: float) -> None:
        self.last = now

    def late(self, now: float) -> bool:
        """Whether what is read now may have waited for longer than the loop takes in health. Also when there
        were no beats: nothing is known then, and asking costs little where there is no work."""
        return now - self.last > LATE_S

    def stalled(self, now: float) -> bool:
        """Whether timers must wait: the loop did not come round for long, and has not caught up yet."""
        if not self.catching_up and self._beating and now - self.last > STALL_S:
            self.catching_up = True
            self.stalls += 1
        return self.catching_up

    def caught_up(self, now: float) -> None:
        """All that the kernel held has been read."""
        self.catching_up, self.last = False, now

    def clock(self, now: float) -> float:
        """The time by which outcomes are judged: it stands still from the last sign of life until all of them
        have been read, so that none of the time in which nothing could be read counts against a host."""
        return self.last if self.catching_up else now
