"""One attempt: a request sent to one host, until its outcome is known."""

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
from quillroad.upstream.outcome import ATTEMPT_RESULTS, AttemptEnd

if TYPE_CHECKING:
    from quillroad.upstream.connection import HostConnection

# Callback for the end of an attempt: its outcome, the answer if it succeeded, and the time at which
# it ended, in seconds of the monotonic clock.
Done = Callable[[Outcome, Answer | None, float], None]


class Attempt:
    """One attempt to execute a request at one host.

    `done` is called exactly once, and never before `Upstream.start` has returned the attempt.
    Times are seconds of the monotonic clock. `timeout_s` counts from now, `send_by` is the latest
    time at which the request may be sent, and `silence_threshold_s` is how long an attempt must
    have waited for a silent host before the host's idle connections are considered dead as well.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        loop_monitor: EventLoopMonitor,
        host: Host,
        timeout_s: float,
        done: Done,
        silence_threshold_s: float,
        send_by: float = math.inf,
    ) -> None:
        self.host = host
        self.started_at = monotonic()
        self.send_by = send_by
        self.connection: HostConnection | None = None  # set while it carries this attempt
        self.task: asyncio.Task[None] | None = None  # establishes its connection
        # Called when its new connection is up, just before the request is sent; may end the
        # attempt.
        self.before_send: Callable[[], None] | None = None
        self._loop = loop
        self._loop_monitor = loop_monitor
        self._silence_threshold_s = silence_threshold_s
        self._done: Done | None = done
        self._expires_at = self.started_at + max(0.0, timeout_s)
        self._timer = loop.call_at(self._expires_at, self._expire)

    @property
    def is_over(self) -> bool:
        """Whether the outcome is known."""
        return self._done is None

    @property
    def connecting(self) -> bool:
        """Whether its connection is still being established, so no byte can have been sent."""
        return self in self.host.connecting

    def limit(self, expires_at: float) -> None:
        """Let it time out at this time, unless it does so earlier."""
        if not self.is_over and expires_at < self._expires_at:
            self._expires_at = expires_at
            self._timer.cancel()
            self._timer = self._loop.call_at(expires_at, self._expire)

    def cancel(self) -> None:
        """Cancel the attempt; the closed connection tells the host to stop work on the request."""
        self._abort(AttemptEnd.CANCELLED, AttemptEnd.CANCELLED_CONNECTING)

    def withdraw(self) -> None:
        """Withdraw the attempt before a byte was sent.

        Called if the host drains or was removed, the client was answered or has disconnected, or no
        connection can be opened.
        """
        self._abort(AttemptEnd.WITHDRAWN, AttemptEnd.WITHDRAWN)

    def _expire(self) -> None:
        """Time out the attempt; after an event loop stall, only once pending input was read."""
        if self._loop_monitor.stalled():
            self._loop_monitor.defer(self._time_out)
        else:
            self._time_out()

    def _time_out(self) -> None:
        self._abort(AttemptEnd.TIMED_OUT, AttemptEnd.TIMED_OUT_CONNECTING)

    def _abort(self, end: AttemptEnd, end_while_connecting: AttemptEnd) -> None:
        """End the attempt and close its connection.

        If the connection were reused, a late answer would be taken for the answer to the next
        request.
        """
        if self.is_over:
            return
        connection = self.connection
        task = self.task
        self.end(end_while_connecting if self.connecting else end)
        if connection is not None:
            connection.drop()
            self._drop_idle_if_host_silent(end)
        elif task is not None:
            task.cancel()

    def _drop_idle_if_host_silent(self, end: AttemptEnd) -> None:
        """Close the host's idle connections if it sent nothing since the attempt started.

        The machine may be down. Each request on a kept-alive connection would then hang until its
        timeout, whereas a new connection fails within the connect timeout. The connections are only
        closed after a timeout or a long wait: a hedge that is cancelled early because the other
        attempt was faster does not indicate a failure, and would cost a busy host all its idle
        connections.
        """
        waited_long = (
            end is AttemptEnd.TIMED_OUT or self.started_at < monotonic() - self._silence_threshold_s
        )
        if waited_long and self.host.last_heard_at < self.started_at:
            self.host.drop_idle()

    def end(self, end: AttemptEnd) -> None:
        """End the attempt now, without an answer to forward."""
        self.finish(ATTEMPT_RESULTS[end].outcome, None, monotonic())

    def finish(self, outcome: Outcome, answer: Answer | None, ended_at: float) -> None:
        """Report the outcome to `done`; does nothing if the attempt is already over."""
        done = self._done
        if done is None:
            return
        self._done = None
        self._timer.cancel()
        self.host.connecting.discard(self)
        if self.connection is not None:
            self.connection.attempt = None
            self.connection = None
        done(outcome, answer, ended_at)
