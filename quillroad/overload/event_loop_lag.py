"""Detects event loop lag and stalls, and provides the clock while the loop catches up. No I/O.

After a process was stopped, or after a long loop iteration, expired timers and answers that waited
in the kernel's socket buffers are due at the same time. The loop would run the time-outs before it
reads the answers that arrived in time, and healthy hosts would be ejected because the gateway read
late.
"""

from __future__ import annotations

# Interval of ticks while there is work: short enough to detect a lag before it reaches LATE_S.
TICK_S = 0.025
# Time since the last tick after which data being read may have waited in the kernel, so that its
# age is queried.
LATE_S = 0.040
# Time since the last tick after which timers are deferred until all sockets have been read.
STALL_S = 0.150


class EventLoopLag:
    """Detects lag and stalls of one event loop from missing ticks.

    Times are seconds of a monotonic clock. Ticks are expected only while there is work; without
    work, missing ticks mean nothing.
    """

    def __init__(self, now: float) -> None:
        self.last_tick = now  # time of the last tick
        self._tick_was_late = False  # the last one: data read since then may have waited
        self._lag_s = 0.0  # by which all late ticks together were late
        self._ticking = False
        self.catching_up = False  # a stall was detected; not all sockets have been read yet
        self.stalls = 0  # number of stalls detected

    def begin(self, now: float) -> bool:
        """Expect ticks from now on; return False if they were already expected."""
        if self._ticking:
            return False
        self._ticking = True
        self.last_tick = now
        return True

    def end(self) -> None:
        """Expect no more ticks because there is no more work."""
        self._ticking = False

    def tick(self, now: float) -> None:
        """Record that the loop ran the tick timer."""
        self._tick_was_late = now - self.last_tick > LATE_S
        if self._tick_was_late:
            self._lag_s += self._current_lag_s(now)
        self.last_tick = now

    def _current_lag_s(self, now: float) -> float:
        since_tick_s = now - self.last_tick
        return since_tick_s - TICK_S if self._ticking and since_tick_s > LATE_S else 0.0

    def total_lag_s(self, now: float) -> float:
        """Return the seconds by which all late ticks together were late.

        The difference of two results tells for how long the loop read no sockets in between.
        """
        return self._lag_s + self._current_lag_s(now)

    def late(self, now: float) -> bool:
        """Return whether data read now may have waited longer than in a healthy loop.

        Also True while no ticks are expected: the lag is unknown then, and querying the age of data
        is cheap while there is no work.
        """
        return self._tick_was_late or now - self.last_tick > LATE_S

    def stalled(self, now: float) -> bool:
        """Return whether timers must be deferred: the loop stalled and has not caught up yet."""
        if not self.catching_up and self._ticking and now - self.last_tick > STALL_S:
            self.catching_up = True
            self.stalls += 1
        return self.catching_up

    def caught_up(self, now: float) -> None:
        """End the stall, after all sockets have been read."""
        self._lag_s += self._current_lag_s(now)
        self.catching_up = False
        self._tick_was_late = True
        self.last_tick = now

    def clock(self, now: float) -> float:
        """Return the time against which attempts are judged.

        After a stall it stays at the last tick until all sockets have been read, so that the time
        in which the gateway read nothing does not count against a host.
        """
        return self.last_tick if self.catching_up else now
