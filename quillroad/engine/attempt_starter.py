"""Starts the attempts of open requests and reports their outcomes to the balancer.

All attempts of all requests start here, once it is certain that their client still waits.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from functools import partial
from time import monotonic

from quillroad.balancing.actions import SendAttempt
from quillroad.balancing.events import AttemptFinished, ClientDisconnected, Event, Outcome
from quillroad.engine.client_request import MAX_COPIED_BODY_BYTES
from quillroad.engine.clock import EngineClock
from quillroad.engine.deadlines import CLIENT_CHECK_LAG_S
from quillroad.engine.open_request import OpenRequest
from quillroad.engine.reply import FAILED, REJECTED, SERVED, TIMED_OUT, Reply
from quillroad.engine.request_deadlines import RequestDeadlines
from quillroad.engine.requester import Requester
from quillroad.http_answer import Answer
from quillroad.upstream.attempt import Done
from quillroad.upstream.host import Host
from quillroad.upstream.pool import Upstream

log = logging.getLogger("quillroad.engine.engine")


class AttemptStarter(RequestDeadlines):
    """The hosts and open requests of one engine, and the attempts that connect them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, upstream: Upstream) -> None:
        loop_monitor = upstream.loop_monitor
        super().__init__(loop, loop_monitor, EngineClock(loop_monitor.loop_lag))
        self.hosts: dict[int, Host] = {}  # by endpoint id
        # Called for each attempt with its route, host, size in bytes and `done` callback; returns
        # the callback to use instead.
        self.attempt_observer: Callable[[int, Host, int, Done], Done] | None = None
        self._upstream = upstream
        self._loop_lag = loop_monitor.loop_lag
        self._events: deque[Event] = deque()  # not yet handled

    def client_disconnected(self, open_request: OpenRequest) -> None:
        """Note that the client disconnected; does nothing if the request was already answered."""
        if open_request.reply is not None:
            self._remember(open_request)
            self._clear_reply(open_request)
            self.feed(ClientDisconnected(open_request.number))
            self._remove_if_finished(open_request)

    def _send(self, action: SendAttempt) -> None:
        """Start an attempt, unless its client left, its host is unknown or it is too late."""
        open_request = self._open.get(action.request)
        if open_request is None:
            return
        started_at = monotonic()
        client = open_request.client
        if client is not None and (
            client.may_have_disconnected
            or started_at - self._loop_lag.last_tick > CLIENT_CHECK_LAG_S
        ):
            self._check_client(open_request, client)
        host = self.hosts.get(action.endpoint)
        send_by = math.inf
        if action.send_by_us:
            send_by = (action.send_by_us - self._clock.epoch_us) / 1e6
        if open_request.reply is None or host is None or started_at > send_by:
            self._report_failed_start(open_request, Outcome.NOT_SENT)
            return
        timeout_s = max(0.0, open_request.attempts_end_at - started_at)
        if action.timeout_us:
            timeout_s = min(timeout_s, action.timeout_us / 1e6)
        self._start_attempt(open_request, host, started_at, timeout_s, send_by)

    def _start_attempt(
        self,
        open_request: OpenRequest,
        host: Host,
        started_at: float,
        timeout_s: float,
        send_by: float,
    ) -> None:
        request = open_request.request
        # A small body is sent in one write with the head, which saves a system call. The copy of a
        # larger one would not be accounted for.
        short_body = b""
        long_body: bytes | bytearray = b""
        if len(request.body) > MAX_COPIED_BODY_BYTES:
            long_body = request.body
        else:
            short_body = bytes(request.body)
        message = b"%bRequest-Timeout-Ms: %d\r\n\r\n%b" % (
            request.head,
            max(1, int(timeout_s * 1000)),
            short_body,
        )
        done: Done = partial(
            self._on_attempt_done, open_request, len(open_request.attempts), started_at
        )
        if self.attempt_observer is not None:
            done = self.attempt_observer(request.route, host, len(message) + len(long_body), done)
        try:
            attempt = self._upstream.start(host, message, timeout_s, done, long_body, send_by)
        except Exception:
            log.exception("request %s: starting an attempt failed", request.id)
            # The exception may have been raised after the first byte was sent, so the balancer must
            # not treat the attempt as not sent.
            self._report_failed_start(open_request, Outcome.RESET)
            return
        open_request.attempts_in_flight += 1
        open_request.attempts.append(attempt)
        if attempt.connection is None:  # it is sent once a new connection is up
            attempt.before_send = partial(self._before_send, open_request)

    def _before_send(self, open_request: OpenRequest) -> None:
        """Withdraw an attempt whose client has left while its connection was being established."""
        if open_request.client is not None:
            self._check_client(open_request, open_request.client)

    def _check_client(self, open_request: OpenRequest, client: Requester) -> None:
        """Check for a client disconnect that may not have been read yet.

        That happens when reading is paused because the client pipelined requests, or when the event
        loop is late. Without this, hosts would work on requests of clients that have left. Where it
        cannot be known the request is answered at once.
        """
        if open_request.reply is None:
            return
        if client.has_disconnected():
            self.client_disconnected(open_request)
        elif client.may_have_left():
            log.info(
                "request %s: not sent, its client has sent too much ahead", open_request.request.id
            )
            status = FAILED if open_request.attempts else REJECTED
            self._answer_undecided(open_request, Reply(status))

    def _report_failed_start(self, open_request: OpenRequest, outcome: Outcome) -> None:
        number = len(open_request.attempts)
        open_request.attempts.append(None)
        self._events.append(
            AttemptFinished(open_request.number, number, outcome, 0, open_request.reply is None)
        )

    def _on_attempt_done(
        self,
        open_request: OpenRequest,
        number: int,
        started_at: float,
        outcome: Outcome,
        answer: Answer | None,
        finished_at: float,
    ) -> None:
        open_request.attempts_in_flight -= 1
        open_request.attempts[number] = None
        if answer is not None and open_request.reply is not None:
            # The host executed the request, but after the deadline its client no longer waits.
            late = monotonic() >= open_request.request.deadline_at
            self._answer(open_request, Reply(TIMED_OUT) if late else Reply(SERVED, answer))
        elapsed_us = max(1, int((finished_at - started_at) * 1e6))
        self.feed(
            AttemptFinished(
                open_request.number, number, outcome, elapsed_us, open_request.reply is None
            )
        )
        self._remove_if_finished(open_request)
