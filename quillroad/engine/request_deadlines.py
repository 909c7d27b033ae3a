"""Answers open requests by their deadlines, and shortens these when the process ends."""

from __future__ import annotations

import asyncio
import logging
from time import monotonic

from quillroad.balancing.events import ClientDisconnected, DeadlineShortened, Event
from quillroad.engine.clock import EngineClock
from quillroad.engine.deadlines import DECISION_MARGIN_S, FALLBACK_MARGIN_S, margin_scale
from quillroad.engine.open_request import OpenRequest
from quillroad.engine.reply import TIMED_OUT, Reply
from quillroad.engine.request_table import RequestTable
from quillroad.engine.shutdown_schedule import ShutdownSchedule
from quillroad.overload.event_loop_monitor import EventLoopMonitor

log = logging.getLogger("quillroad.engine.engine")


class RequestDeadlines(RequestTable):
    """The open requests of one engine, each of which is answered before its deadline.

    `shutdown` is the schedule of the process's end, which its owner sets.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, loop_monitor: EventLoopMonitor, clock: EngineClock
    ) -> None:
        super().__init__()
        self.shutdown = ShutdownSchedule()
        self._loop = loop
        self._loop_monitor = loop_monitor
        self._clock = clock

    def feed(self, event: Event) -> None:
        """Pass one event to the balancer and perform the resulting actions."""
        raise NotImplementedError

    def _on_fallback_timer(self, open_request: OpenRequest) -> None:
        """Time out a request that the balancer has not answered.

        This answer does not promise that a retry is safe, so it is always correct.
        """
        if self._loop_monitor.stalled():
            self._loop_monitor.defer(self._on_fallback_timer, open_request)
        elif open_request.reply is not None:
            log.error(
                "request %s: timed out, no decision by the balancer before its deadline",
                open_request.request.id,
            )
            self._answer_undecided(open_request, Reply(TIMED_OUT))

    def _answer_undecided(self, open_request: OpenRequest, reply: Reply) -> None:
        """Answer in place of the balancer, and report the client to it as disconnected."""
        self._answer(open_request, reply)
        self.feed(ClientDisconnected(open_request.number))
        self._remove_if_finished(open_request)

    # The end of the process.

    def shorten_deadlines(self) -> None:
        """Have every open request answered before the end of the process."""
        now = monotonic()
        for open_request in list(self._open.values()):
            if open_request.reply is None:
                continue
            deadline_at = self.shutdown.deadline(open_request.deadline_at, now)
            if deadline_at < open_request.deadline_at:
                self._shorten_deadline(open_request, deadline_at, now)

    def _shorten_deadline(self, open_request: OpenRequest, deadline_at: float, now: float) -> None:
        scale = margin_scale(max(0.0, deadline_at - now))
        open_request.shorten_deadline(deadline_at, deadline_at - DECISION_MARGIN_S * scale)
        open_request.fallback_timer = self._loop.call_at(
            deadline_at - FALLBACK_MARGIN_S * scale, self._on_fallback_timer, open_request
        )
        attempts_end_us = self._clock.epoch_us + int(open_request.attempts_end_at * 1e6)
        self.feed(DeadlineShortened(open_request.number, attempts_end_us))

    def answer_all(self) -> int:
        """Answer every open request because the process exits now; return how many there were."""
        unanswered = [opened for opened in self._open.values() if opened.reply is not None]
        for open_request in unanswered:
            self._answer_undecided(open_request, Reply(TIMED_OUT))
        return len(unanswered)
