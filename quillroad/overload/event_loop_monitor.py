"""The pulse of an event loop: beats while there is work, and holds what must wait for it to catch up."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from quillroad.overload.event_loop_lag import BEAT_S, EventLoopLag

log = logging.getLogger("quillroad.overload")


class EventLoopMonitor:
    """One for each loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._working: Callable[[], bool] = bool
        self.loop_lag = EventLoopLag(time.monotonic())
        self.busy = False  # the loop has much to do, and its turns are long
        self._held: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()

    def work_begins(self, working: Callable[[], bool]) -> None:
        """From now on the loop has to come round, for as long as `working` says so."""
        self._working = working
        now = time.monotonic()
        if self.loop_lag.begin(now):
            self._next(now)

    def _next(self, now: float) -> None:
        self._loop.call_at(now + BEAT_S, self._beat)

    def _beat(self) -> None:
        now = time.monotonic()
        if not self.stalled():
            self.loop_lag.beat(now)
        if self._working():
            self._next(now)
        else:
            self.loop_lag.end()

    def late(self) -> bool:
        """Whether what is read now may have waited, so that its age has to be asked for."""
        return self.busy or self.loop_lag.late(time.monotonic())

    def stalled(self) -> bool:
        """Whether to wait with `hold`. Found out by whoever comes first after the stall, timer or socket."""
        before = self.loop_lag.catching_up
        stalled = self.loop_lag.stalled(time.monotonic())
        if stalled and not before:
            log.warning(
                "the loop stood still: what was due meanwhile waits until all that came is read"
            )
            # The next turn polls before it runs what a callback of this turn's asked for; the one behind that
            # has then read from every socket at least once.
            self._loop.call_soon(self._loop.call_soon, self._loop.call_soon, self._caught_up)
        return stalled

    def hold(self, act: Callable[..., None], *args: Any) -> None:
        """Do it once the loop has caught up, in the order asked for."""
        self._held.append((act, args))

    def _caught_up(self) -> None:
        self.loop_lag.caught_up(time.monotonic())
        held, self._held = self._held, deque()
        for act, args in held:
            try:
                act(*args)
            except Exception:  # one request's fault must not cost the others theirs
                log.exception("what had waited for the loop failed")
