"""Whether the event loop comes round in time, and the clock while it catches up. Free of I/O.

A process that was stopped, or whose turns are long, finds many things due at once: timers that ran
out, and answers that lay in the kernel all that time. Taken in the order in which the loop meets
them, time-outs would come before the answers that made them void, and healthy hosts would be
ejected for a gateway that read late.
"""

from __future__ import annotations

# Between two ticks while there is work: short enough to see a lag before it reaches LATE_S.
TICK_S = 0.025
# Since the last tick: what is read now may have waited, so that its age is asked of the kernel.
LATE_S = 0.040
# Since the last tick: timers wait until all that the kernel holds has been read.
STALL_S = 0.150


class EventLoopLag:
    """Ticks of one event loop, and what their absence means.

    Times are seconds of one clock that never goes back. Ticks are due only while there is work;
    without work their absence says nothing.
    """

    def __init__(self, now: float) -> None:
        self.last_tick = now  # time of the last tick
        self._ticking = False
        self.catching_up = False  # a stall was seen, and not all has been read yet
        self.stalls = 0  # how many were seen

    def begin(self, now: float) -> bool:
        """Work begins: ticks are due. Returns whether they were not due before."""
        if self._ticking:
            return False
        self._ticking = True
        self.last_tick = now
        return True

    def end(self) -> None:
        """Work has ended: no ticks are due."""
        self._ticking = False

    def tick(self, now: float) -> None:
        """The loop has come round."""
        self.last_tick = now

    def late(self, now: float) -> bool:
        """Whether what is read now may have waited for longer than a healthy loop takes.

        Also true where no ticks were due: nothing is known then, and asking for an age costs little
        where there is no work.
        """
        return now - self.last_tick > LATE_S

    def stalled(self, now: float) -> bool:
        """Whether timers must wait: the loop did not come round for long, and has not caught up."""
        if not self.catching_up and self._ticking and now - self.last_tick > STALL_S:
            self.catching_up = True
            self.stalls += 1
        return self.catching_up

    def caught_up(self, now: float) -> None:
        """All that the kernel held has been read."""
        self.catching_up = False
        self.last_tick = now

    def clock(self, now: float) -> float:
        """The time by which outcomes are judged.

        After a stall it stands still at the last tick until all outcomes have been read, so that
        none of the time in which nothing could be read counts against a host.
        """
        return self.last_tick if self.catching_up else now
