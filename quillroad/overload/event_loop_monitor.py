"""Ticks of one event loop while there is work, and callbacks that wait for it to catch up."""

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
    """Sees that one event loop stood still, and holds timers until what came meanwhile is read."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._has_work: Callable[[], bool] = bool
        self.loop_lag = EventLoopLag(time.monotonic())
        self.busy = False  # set by the owner: the loop has much to do, and its turns are long
        self._held_back: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()

    def work_begins(self, working: Callable[[], bool]) -> None:
        """Tick from now on, for as long as `working` returns True."""
        self._has_work = working
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
        """Whether what is read now may have waited, so that its age has to be asked for."""
        return self.busy or self.loop_lag.late(time.monotonic())

    def stalled(self) -> bool:
        """Whether callbacks have to wait with `defer`.

        A stall is found by whoever comes first after it, a timer or a socket.
        """
        before = self.loop_lag.catching_up
        stalled = self.loop_lag.stalled(time.monotonic())
        if stalled and not before:
            log.warning(
                "the loop stood still: what was due meanwhile waits until all that came is read"
            )
            # The next turn polls before it runs what a callback of this turn asked for; the turn
            # behind that one has then read from every socket at least once.
            self._loop.call_soon(self._loop.call_soon, self._loop.call_soon, self._caught_up)
        return stalled

    def defer(self, act: Callable[..., None], *args: Any) -> None:
        """Call `act(*args)` once the loop has caught up; calls keep their order."""
        self._held_back.append((act, args))

    def _caught_up(self) -> None:
        self.loop_lag.caught_up(time.monotonic())
        held_back = self._held_back
        self._held_back = deque()
        for act, args in held_back:
            try:
                act(*args)
            except Exception:  # one request's fault must not keep the others from being served
                log.exception("what had waited for the loop failed")
