"""Ticks on the event loop while there is work, and defers callbacks after a stall."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from quillroad.overload.event_loop_lag import TICK_S, EventLoopLag

log = logging.getLogger("quillroad.overload")


class EventLoopMonitor:
    """Detects stalls of one event loop, and defers timers until all sockets have been read."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._has_work: Callable[[], bool] = bool
        self.loop_lag = EventLoopLag(time.monotonic())
        self.busy = False  # set by the owner: the loop is loaded and its iterations are long
        self._deferred: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()

    def start_ticking(self, has_work: Callable[[], bool]) -> None:
        """Tick from now on, for as long as `has_work` returns True."""
        self._has_work = has_work
        now = time.monotonic()
        if self.loop_lag.begin(now):
            self._loop.call_at(now + TICK_S, self._tick)

    def _tick(self) -> None:
        now = time.monotonic()
        if not self.stalled():
            self.loop_lag.tick(now)
        if self._has_work():
            self._loop.call_at(now + TICK_S, self._tick)
        else:
            self.loop_lag.end()

    def late(self) -> bool:
        """Return whether data read now may have waited, so that its age has to be queried."""
        return self.busy or self.loop_lag.late(time.monotonic())

    def total_lag_s(self) -> float:
        """Return the seconds by which all late ticks together were late."""
        return self.loop_lag.total_lag_s(time.monotonic())

    def stalled(self) -> bool:
        """Return whether callbacks have to be postponed with `defer`.

        The first timer or socket callback after a stall detects it here.
        """
        before = self.loop_lag.catching_up
        stalled = self.loop_lag.stalled(time.monotonic())
        if stalled and not before:
            log.warning("event loop stalled: timers are deferred until all sockets have been read")
            # The next loop iteration polls the sockets before it runs callbacks scheduled in this
            # one. In the iteration after it, every readable socket has been read at least once.
            self._loop.call_soon(self._loop.call_soon, self._loop.call_soon, self._caught_up)
        return stalled

    def defer(self, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback(*args)` once the loop has caught up; calls keep their order."""
        self._deferred.append((callback, args))

    def _caught_up(self) -> None:
        self.loop_lag.caught_up(time.monotonic())
        deferred = self._deferred
        self._deferred = deque()
        for callback, args in deferred:
            try:
                callback(*args)
            except Exception:  # an error in one request must not affect the others
                log.exception("a callback deferred by an event loop stall failed")
