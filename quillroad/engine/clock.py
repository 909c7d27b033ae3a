"""The clock that timestamps events for the balancer."""

from __future__ import annotations

import time
from time import monotonic

from quillroad.overload.event_loop_lag import EventLoopLag


class EngineClock:
    """Unix time in microseconds that never decreases, even if the system clock is set back.

    The clock uses Unix time because hosts report their start times in it, including starts before
    this process began. It is frozen while the event loop catches up after a stall, so that the time
    during which no socket was read does not count against any host.
    """

    def __init__(self, loop_lag: EventLoopLag) -> None:
        # Unix time at zero of the monotonic clock: `epoch_us + int(monotonic_s * 1e6)` converts
        # monotonic seconds to Unix microseconds.
        self.epoch_us = time.time_ns() // 1000 - int(monotonic() * 1e6)
        self.latest_us = 0  # last value that `now_us` returned
        self._loop_lag = loop_lag

    def now_us(self) -> int:
        """Return the current Unix time in microseconds; never less than an earlier result."""
        now_us = self.epoch_us + int(self._loop_lag.clock(monotonic()) * 1e6)
        self.latest_us = max(self.latest_us, now_us)
        return self.latest_us
