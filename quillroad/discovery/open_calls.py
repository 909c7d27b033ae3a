"""Runs the calls to the platform's discovery: begins them, and closes those that are superseded.

Calls may overlap. The newest call on which discovery was heard is the watch. When a newer call is
heard, all older ones are closed: what they would bring, the newer one has brought or will bring,
and their late answers must not undo it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from quillroad.discovery.call_pacing import CallPacing, EndedCall
from quillroad.discovery.list_call import CallEnd, ListCall

log = logging.getLogger("quillroad.discovery.platform")

REPEAT_LOG_S = 10.0  # between two log lines on calls that end for the same reason


@dataclass(eq=False, slots=True)
class _OpenCall:
    call: ListCall
    task: asyncio.Task[None]


class OpenCalls:
    """The open calls to one discovery service, oldest first.

    `make_call` returns a call that begins now and has the given patience in seconds. `on_end` is
    called with each call that ended, except those closed by `stop` or by a newer call, before the
    next call begins.
    """

    def __init__(
        self,
        pacing: CallPacing,
        make_call: Callable[[float], ListCall],
        on_end: Callable[[ListCall], None],
    ) -> None:
        self._pacing = pacing
        self._make_call = make_call
        self._on_end = on_end
        self._loop = asyncio.get_running_loop()
        self._open: list[_OpenCall] = []
        self._watch: ListCall | None = None
        self._next_call: asyncio.TimerHandle | None = None
        self._next_call_at = 0.0  # of the event loop's clock
        self._failures = _Failures()

    @property
    def watch(self) -> ListCall | None:
        """The newest call on which discovery was heard; None if that one has ended."""
        return self._watch

    def start(self, wait_s: float) -> None:
        """Begin the first call after `wait_s` seconds."""
        self._begin_within(wait_s)

    def stop(self) -> None:
        """Close all calls; nothing that they still receive is reported."""
        self._cancel_next_call()
        for call in self._open:
            call.task.cancel()
        self._open = []
        self._watch = None

    def heard(self, call: ListCall) -> None:
        """Record that discovery was heard on this call: it becomes the watch, older calls close."""
        if call is self._watch:
            return
        now = monotonic()
        self._failures.heard(now, call, has_watch=self._watch is not None)
        self._watch = call
        least_wait_s = self._pacing.answered(now, call.received_bytes)
        while self._open and self._open[0].call is not call:
            self._open.pop(0).task.cancel()
        if self._pacing.overlap_s(now, has_watch=True) is None:
            self._keep_only_the_watch()
        else:
            self._postpone(least_wait_s)

    def _keep_only_the_watch(self) -> None:
        while len(self._open) > 1:
            self._open.pop().task.cancel()
        self._cancel_next_call()

    def _cancel_next_call(self) -> None:
        if self._next_call is not None:
            self._next_call.cancel()
            self._next_call = None

    def _postpone(self, wait_s: float) -> None:
        """Begin the next call, if one is due, no earlier than in `wait_s` seconds."""
        if self._next_call is not None:
            due_s = max(wait_s, self._next_call_at - self._loop.time())
            self._cancel_next_call()
            self._begin_within(due_s)

    def _begin_within(self, wait_s: float) -> None:
        """Begin the next call after `wait_s` seconds, unless it is due earlier."""
        at = self._loop.time() + wait_s
        if self._next_call is not None:
            if self._next_call_at <= at:
                return
            self._next_call.cancel()
        self._next_call = self._loop.call_at(at, self._begin)
        self._next_call_at = at

    def _begin(self) -> None:
        self._next_call = None
        if len(self._open) >= self._pacing.max_calls:
            self._close_one()
        call = self._make_call(self._pacing.patience_s())
        self._open.append(_OpenCall(call, self._loop.create_task(self._run(call))))
        overlap_s = self._pacing.overlap_s(monotonic(), self._watch is not None)
        if overlap_s is not None:
            self._begin_within(overlap_s)

    def _close_one(self) -> None:
        """Close the newest call without any byte, or the newest one, to make room for another.

        The older ones stay, so that a slow service can complete its answer to one of them.
        """
        unanswered = [entry for entry in self._open if not entry.call.received_bytes]
        newest = unanswered[-1] if unanswered else self._open[-1]
        self._open.remove(newest)
        newest.task.cancel()

    async def _run(self, call: ListCall) -> None:
        """Run a call to its end. A call that is closed before does not get past `run`."""
        end = await call.run()
        self._open = [entry for entry in self._open if entry.call is not call]
        if call is self._watch:
            self._watch = None
        try:
            self._on_end(call)
        except Exception:
            # Without the next call the gateway would miss drains with no other sign of a failure.
            log.exception("internal error at the end of a watch of the host list")
        ended = EndedCall(
            call.began_at,
            monotonic(),
            call.list_received,
            call.partly_received,
            end.is_silent,
            has_watch=self._watch is not None,
        )
        wait_s = self._pacing.wait_s(ended)
        if wait_s is not None:
            self._begin_within(wait_s)
        if not ended.has_watch and self._next_call is not None:
            self._failures.ended(ended, end, self._next_call_at - self._loop.time())


class _Failures:
    """Log of calls that end while no watch is open, without a line for each repetition."""

    def __init__(self) -> None:
        self._count = 0  # since discovery was heard
        self._first_at = 0.0
        self._last_reason = ""
        self._logged_at = 0.0

    def ended(self, ended: EndedCall, end: CallEnd, next_s: float) -> None:
        """Record the end of a call; `next_s` is the time until the next one begins."""
        if not self._count:
            self._first_at = ended.ended_at
        self._count += 1
        is_repeated = end.reason == self._last_reason and not ended.list_received
        if is_repeated and ended.ended_at < self._logged_at + REPEAT_LOG_S:
            return
        self._last_reason = end.reason
        self._logged_at = ended.ended_at
        log.warning(
            "watch of the host list ended: %s; it began %.2f s ago; next watch in %.2f s",
            end.reason,
            ended.ended_at - ended.began_at,
            next_s,
        )

    def heard(self, now: float, call: ListCall, has_watch: bool) -> None:
        """Record that discovery was heard on `call`; `has_watch`: another one was open."""
        if self._count and not has_watch:
            log.info(
                "the host list is heard again after %.2f s and %d calls without it; this call"
                " began %.2f s ago",
                now - self._first_at,
                self._count,
                now - call.began_at,
            )
        self._count = 0
        self._last_reason = ""
