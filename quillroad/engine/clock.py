"""The clock of the balancing decisions."""

from __future__ import annotations

import time
from time import monotonic

from quillroad.overload.event_loop_lag import EventLoopLag


class EngineClock:
    """Unix time in microseconds that never goes back, also where the system's clock is set back.

    Unix time, since hosts tell their starts in it, also those before this process began. While the
    event loop catches up after a stall the clock stands still, so that none of the time in which
    nothing could be read counts against a host.
    """

    def __init__(self, loop_lag: EventLoopLag) -> None:
        # Unix time at the zero of the monotonic clock: `epoch_us + int(monotonic_s * 1e6)` is a
        # moment.
        self.epoch_us = time.time_ns() // 1000 - int(monotonic() * 1e6)
        self.latest_us = 0  # that `now_us` has told
        self._loop_lag = loop_lag

    def now_us(self) -> int:
        """The moment now."""
        now_us = self.epoch_us + int(self._loop_lag.clock(monotonic()) * 1e6)
        self.latest_us = max(self.latest_us, now_us)
        return self.latest_us
