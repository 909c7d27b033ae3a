"""One attempt: a copy of a request on its way to one host, until its outcome is known."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING

from quillroad.balancing.events import Outcome
from quillroad.http_answer import Answer
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.upstream.host import Host
from quillroad.upstream.outcome import RESULTS, AttemptEnd

if TYPE_CHECKING:
    from quillroad.upstream.connection import HostConnection

# Told how an attempt ended: its outcome, the answer of a success, and the moment (seconds of the
# monotonic clock) at which that came about.
Done = Callable[[Outcome, Answer | None, float], None]


class Attempt:
    """One copy of a request on its way to one host.

    `done` is called exactly once, and never before the caller of `Upstream.start` has the attempt.
    Times are seconds of the monotonic clock; `timeout_s` counts from now, `send_by` is the last
    moment at which a byte may go out, and `silence_s` is how long a silent host may take before
    its idle connections are taken for dead, too.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        loop_monitor: EventLoopMonitor,
        host: Host,
        timeout_s: float,
        done: Done,
        silence_s: float,
        send_by: float = math.inf,
    ) -> None:
        self.host = host
        self.started_at = monotonic()
        self.send_by = send_by
        self.connection: HostConnection | None = None  # while it carries this attempt
        self.task: asyncio.Task[None] | None = None  # that brings up its connection
        self._loop_monitor = loop_monitor
        self._silence_s = silence_s
        self._done: Done | None = done
        self._timer = loop.call_at(self.started_at + max(0.0, timeout_s), self._expire)

    @property
    def is_over(self) -> bool:
        """Whether its outcome is known."""
        return self._done is None

    @property
    def connecting(self) -> bool:
        """Whether no byte of it can have gone out, since its connection is not up."""
        return self in self.host.connecting

    def cancel(self) -> None:
        """Stop waiting. The host reads the closed connection as giving up."""
        self._give_up(AttemptEnd.CANCELLED, AttemptEnd.CANCELLED_CONNECTING)

    def withdraw(self) -> None:
        """Call it off before a byte was sent.

        The host has left service, the client has gone, or there is no connection for it.
        """
        self._give_up(AttemptEnd.WITHDRAWN, AttemptEnd.WITHDRAWN)

    def _expire(self) -> None:
        """Time it out; after a stall of this process only when what came has been read."""
        if self._loop_monitor.stalled():
            self._loop_monitor.defer(self._time_out)
        else:
            self._time_out()

    def _time_out(self) -> None:
        self._give_up(AttemptEnd.TIMED_OUT, AttemptEnd.TIMED_OUT_CONNECTING)

    def _give_up(self, end: AttemptEnd, end_connecting: AttemptEnd) -> None:
        """End it from this side.

        Its connection is closed: an answer that still comes on it would be taken for that of the
        next request.
        """
        if self.is_over:
            return
        connection = self.connection
        task = self.task
        self.end(end_connecting if self.connecting else end)
        if connection is not None:
            connection.drop()
            self._drop_idle_if_silent(end)
        elif task is not None:
            task.cancel()

    def _drop_idle_if_silent(self, end: AttemptEnd) -> None:
        """Close the host's idle connections where it was silent in all the attempt's time.

        The machine may have vanished, and then each request on a kept connection would hang as long
        again; a new connection tells within the connect timeout. Only after a timeout or a long
        wait: a hedged request that soon lost to a quicker one says nothing of the kind, and would
        cost a busy host all its connections.
        """
        long_wait = end is AttemptEnd.TIMED_OUT or self.started_at < monotonic() - self._silence_s
        if long_wait and self.host.last_heard_at < self.started_at:
            self.host.drop_idle()

    def end(self, end: AttemptEnd) -> None:
        """It ended with no answer that could be passed on, now."""
        self.finish(RESULTS[end].outcome, None, monotonic())

    def finish(self, outcome: Outcome, answer: Answer | None, at: float) -> None:
        """Tell its outcome; does nothing where that is known already."""
        done = self._done
        if done is None:
            return
        self._done = None
        self._timer.cancel()
        self.host.connecting.discard(self)
        if self.connection is not None:
            self.connection.attempt = None
            self.connection = None
        done(outcome, answer, at)
