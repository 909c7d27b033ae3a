"""Drives the balancer: feeds it events and performs its actions, until each request has its answer.

Nothing about hosts, retries or rejections is decided here. The engine adds what real sockets need:
an answer in time even if the balancer says nothing, and a fault in one request that stays its own.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
from collections import deque
from collections.abc import Callable
from functools import partial
from time import monotonic

from quillroad.balancing.actions import (
    Action,
    CancelAttempt,
    Fail,
    LogMessage,
    Reject,
    SendAttempt,
    SetTimer,
)
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from quillroad.config import SHORT_BODY, Address
from quillroad.engine.client_request import ClientRequest
from quillroad.engine.clock import EngineClock
from quillroad.engine.deadlines import (
    DECISION_MARGIN_S,
    FALLBACK_MARGIN_S,
    UNREAD_CLIENT_S,
    margin_scale,
)
from quillroad.engine.endpoint_sync import apply_endpoint_update
from quillroad.engine.open_request import OpenRequest
from quillroad.engine.reply import FAILED, REJECTED, SERVED, TIMED_OUT, Reply
from quillroad.engine.request_table import RequestTable
from quillroad.engine.requester import Requester
from quillroad.http_answer import Answer
from quillroad.upstream.attempt import Done
from quillroad.upstream.host import Host
from quillroad.upstream.pool import Upstream

__all__ = ["SERVED", "ClientRequest", "Engine", "OpenRequest", "Reply", "Requester"]

log = logging.getLogger("quillroad.engine.engine")


class Engine(RequestTable):
    """One balancer, one clock, and the open requests."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, balancer: Balancer, upstream: Upstream
    ) -> None:
        super().__init__()
        self.hosts: dict[int, Host] = {}  # by endpoint id
        # Called when no more requests wait in the balancer than there are hosts.
        self.on_capacity: Callable[[], None] | None = None
        # Called with each attempt's route, host, bytes and `done`; returns a `done` in its place.
        self.attempt_observer: Callable[[int, Host, int, Done], Done] | None = None
        self._loop = loop
        self._balancer = balancer
        self._upstream = upstream
        self._loop_monitor = upstream.loop_monitor
        self._loop_lag = upstream.loop_monitor.loop_lag
        self._clock = EngineClock(upstream.loop_monitor.loop_lag)
        self._numbers = itertools.count(1)
        self._events: deque[Event] = deque()
        self._feeding = False

    def now_us(self) -> int:
        """Unix time in microseconds that never goes back."""
        return self._clock.now_us()

    @property
    def ready(self) -> bool:
        """Whether there are hosts."""
        return bool(self.hosts)

    @property
    def warm_up_us(self) -> int:
        """For so long after its start a host may be warming up, in microseconds."""
        return self._balancer.settings.warm_up_us

    @property
    def queued(self) -> int:
        """Requests that wait in the balancer for a place at a host."""
        return self._balancer.queued

    @property
    def counters(self) -> dict[str, int]:
        """What the balancer has counted since its start."""
        return self._balancer.counters

    @property
    def gauges(self) -> dict[str, float]:
        """How the balancer stands at the moment."""
        return {"open": len(self._open), **self._balancer.gauges(self._clock.latest_us)}

    # From the downstream side.

    def accept(
        self,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        client: Requester | None = None,
    ) -> OpenRequest:
        """Take a request; `reply` is called once, before the client's deadline, unless it departs.

        Before each attempt `client` is asked whether it has, where that may have gone unread.
        """
        scale = margin_scale(max(0.0, request.deadline_at - monotonic()))
        give_up = request.deadline_at - DECISION_MARGIN_S * scale
        opened = OpenRequest(next(self._numbers), request, reply, give_up, client)
        self._open[opened.number] = opened
        self._unanswered_ids.add(request.id)
        opened.overdue_timer = self._loop.call_at(
            request.deadline_at - FALLBACK_MARGIN_S * scale, self._on_overdue, opened
        )
        if len(self._open) == 1:
            self._loop_monitor.work_begins(self._has_work)
        if self._loop_monitor.stalled():  # first the outcomes that lie in the kernel, then new work
            self._loop_monitor.defer(self._arrive, opened)
        else:
            self._arrive(opened)
        return opened

    def _arrive(self, opened: OpenRequest) -> None:
        if opened.reply is None:
            return  # departed, or answered, while it was held
        request = opened.request
        self.feed(
            RequestArrived(
                opened.number,
                request.route,
                self._clock.epoch_us + int(opened.attempts_end_at * 1e6),
                request.key,
                request.work_estimate_us,
                request.tenant,
                request.is_retry,
                len(request.body) > SHORT_BODY,
            )
        )

    def depart(self, opened: OpenRequest) -> None:
        """The client has gone."""
        if opened.reply is not None:
            self._settle(opened)
            self.feed(ClientDisconnected(opened.number))
            self._forget(opened)

    def _on_overdue(self, opened: OpenRequest) -> None:
        """Time out a request without a decision: that promises nothing, so it is always right."""
        if self._loop_monitor.stalled():
            self._loop_monitor.defer(self._on_overdue, opened)
        elif opened.reply is not None:
            log.error("request %s: no decision by its deadline", opened.request.id)
            self._answer_undecided(opened, Reply(TIMED_OUT))

    def _answer_undecided(self, opened: OpenRequest, reply: Reply) -> None:
        """Answer in place of the balancer, which is told that nobody waits any more."""
        self._answer(opened, reply)
        self.feed(ClientDisconnected(opened.number))
        self._forget(opened)

    # From discovery.

    def update_endpoints(
        self, servers: EndpointUpdate, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """Take an endpoint update; `names` and `addresses` are those of its endpoints, by id.

        It takes effect on the sockets first: what it ends must not get a byte more.
        """
        apply_endpoint_update(self.hosts, self._upstream, servers, names, addresses)
        self.feed(servers)

    # Events in, actions out.

    def feed(self, event: Event) -> None:
        """Give the balancer one event and perform what it decides.

        What an action brings about at once is fed after it, never from inside the balancer.
        """
        self._events.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._feeding = False
        if self.on_capacity is not None and self._balancer.queued <= len(self.hosts):
            self.on_capacity()

    def _step(self, event: Event) -> None:
        """Handle one event; a fault is logged and fails the request that it belongs to.

        Else one request could take the gateway down. What was decided before the fault counts.
        """
        try:
            actions = self._balancer.handle(self._clock.now_us(), [event])
        except Exception:
            log.exception("the balancer failed on %s", type(event).__name__)
            actions = self._balancer.actions
            if isinstance(event, RequestArrived | AttemptFinished | StreamStarted):
                self._fail_request(event.request)
                # Without this the balancer would keep the request for ever.
                self._events.append(ClientDisconnected(event.request))
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
                if isinstance(action, SendAttempt | Reject | Fail | CancelAttempt):
                    self._fail_request(action.request)

    def _fail_request(self, number: int) -> None:
        """Fail a request after a fault of this program."""
        opened = self._open.get(number)
        if opened is not None and opened.reply is not None:
            self._answer_undecided(opened, Reply(FAILED))

    def _perform(self, action: Action) -> None:
        """Perform one action.

        `WatchEndpoints` asks for what the gateway always does, `StartHealthCheck` is never asked
        for.
        """
        if isinstance(action, SendAttempt):
            self._send(action)
        elif isinstance(action, SetTimer):
            due = monotonic() + action.delay_us / 1e6
            self._loop.call_at(due, self._on_timer, TimerFired(action.timer_id))
        elif isinstance(action, CancelAttempt):
            self._cancel(action)
        elif isinstance(action, Reject):
            self._finish(action.request, Reply(REJECTED, None, action.retry_after_us))
        elif isinstance(action, Fail):
            self._finish(action.request, Reply(FAILED))
        elif isinstance(action, LogMessage):
            log.info("%s", action.text)

    def _on_timer(self, event: TimerFired) -> None:
        if self._loop_monitor.stalled():
            self._loop_monitor.defer(self.feed, event)
        else:
            self.feed(event)

    def _cancel(self, action: CancelAttempt) -> None:
        opened = self._open.get(action.request)
        attempt = opened.attempts[action.attempt] if opened is not None else None
        if attempt is not None:
            attempt.cancel()

    def _finish(self, number: int, reply: Reply) -> None:
        """Give the balancer's final answer."""
        opened = self._open.get(number)
        if opened is not None and opened.reply is not None:
            self._answer(opened, reply)
            self._forget(opened)

    # Attempts.

    def _send(self, action: SendAttempt) -> None:
        """Start an attempt. Each attempt of each request starts here."""
        opened = self._open.get(action.request)
        if opened is None:
            return
        started = monotonic()
        client = opened.client
        if client is not None and (
            client.may_have_disconnected or started - self._loop_lag.last_tick > UNREAD_CLIENT_S
        ):
            self._depart_if_gone(opened, client)
        host = self.hosts.get(action.endpoint)
        send_by = math.inf
        if action.send_by_us:
            send_by = (action.send_by_us - self._clock.epoch_us) / 1e6
        if opened.reply is None or host is None or started > send_by:
            self._attempt_not_started(opened, Outcome.NOT_SENT)
            return
        timeout_s = max(0.0, opened.attempts_end_at - started)
        if action.timeout_us:
            timeout_s = min(timeout_s, action.timeout_us / 1e6)
        self._start_attempt(opened, host, started, timeout_s, send_by)

    def _start_attempt(
        self, opened: OpenRequest, host: Host, started: float, timeout_s: float, send_by: float
    ) -> None:
        request = opened.request
        # A short body travels in one piece with the head, which saves a copy and a system call.
        short_body = b""
        long_body: bytes | bytearray = b""
        if len(request.body) > SHORT_BODY:
            long_body = request.body
        else:
            short_body = bytes(request.body)
        message = b"%bRequest-Timeout-Ms: %d\r\n\r\n%b" % (
            request.head,
            max(1, int(timeout_s * 1000)),
            short_body,
        )
        done: Done = partial(self._on_done, opened, len(opened.attempts), started)
        if self.attempt_observer is not None:
            done = self.attempt_observer(request.route, host, len(message) + len(long_body), done)
        try:
            attempt = self._upstream.start(host, message, timeout_s, done, long_body, send_by)
        except Exception:
            log.exception("request %s could not be sent", request.id)
            # The fault may have come after the first byte: the balancer must not take it for not
            # sent.
            self._attempt_not_started(opened, Outcome.RESET)
            return
        opened.attempts_in_flight += 1
        opened.attempts.append(attempt)

    def _depart_if_gone(self, opened: OpenRequest, client: Requester) -> None:
        """Note that a client has gone whose end may lie unread; else hosts would work for nobody.

        It had sent ahead, so that nothing is read from it, or the event loop is late.
        """
        if opened.reply is not None and client.has_disconnected():
            self.depart(opened)

    def _attempt_not_started(self, opened: OpenRequest, outcome: Outcome) -> None:
        number = len(opened.attempts)
        opened.attempts.append(None)
        self._events.append(
            AttemptFinished(opened.number, number, outcome, 0, opened.reply is None)
        )

    def _on_done(
        self,
        opened: OpenRequest,
        number: int,
        started: float,
        outcome: Outcome,
        answer: Answer | None,
        at: float,
    ) -> None:
        opened.attempts_in_flight -= 1
        opened.attempts[number] = None
        if answer is not None and opened.reply is not None:
            # Past its deadline nobody waits for it: it ran, and served nobody.
            late = monotonic() >= opened.request.deadline_at
            self._answer(opened, Reply(TIMED_OUT) if late else Reply(SERVED, answer))
        elapsed_us = max(1, int((at - started) * 1e6))
        self.feed(AttemptFinished(opened.number, number, outcome, elapsed_us, opened.reply is None))
        self._forget(opened)
