"""Feeds events to the balancer and performs its actions, until each request is answered.

The balancer makes all decisions about hosts, retries and rejections. The engine adds two
safeguards: a request is answered in time even if the balancer decides nothing, and an internal
error in one request does not affect the others.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable
from time import monotonic

from quillroad.balancing.actions import (
    Action,
    CancelAttempt,
    Fail,
    LimitAttempt,
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
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from quillroad.config import SHORT_BODY, Address
from quillroad.engine.attempt_starter import AttemptStarter
from quillroad.engine.client_request import ClientRequest
from quillroad.engine.deadlines import (
    CLIENT_CHECK_LAG_S,
    DECISION_MARGIN_S,
    FALLBACK_MARGIN_S,
    margin_scale,
)
from quillroad.engine.endpoint_sync import apply_endpoint_update
from quillroad.engine.open_request import OpenRequest
from quillroad.engine.reply import FAILED, REJECTED, SERVED, Reply
from quillroad.engine.requester import Requester
from quillroad.upstream.attempt import Attempt
from quillroad.upstream.pool import Upstream

__all__ = ["SERVED", "ClientRequest", "Engine", "OpenRequest", "Reply", "Requester"]

log = logging.getLogger("quillroad.engine.engine")


class Engine(AttemptStarter):
    """Connects one balancer to the sockets, and holds its clock and the open requests."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, balancer: Balancer, upstream: Upstream
    ) -> None:
        super().__init__(loop, upstream)
        # Called after events were handled, if the balancer queues no more requests than there are
        # hosts.
        self.on_capacity: Callable[[], None] | None = None
        self._balancer = balancer
        self._request_numbers = itertools.count(1)
        self._processing_events = False

    def now_us(self) -> int:
        """Return the current Unix time in microseconds; it never decreases."""
        return self._clock.now_us()

    @property
    def ready(self) -> bool:
        """Whether at least one host is known."""
        return bool(self.hosts)

    @property
    def warm_up_us(self) -> int:
        """How long after its start a host may be warming up, in microseconds."""
        return self._balancer.settings.warm_up_us

    @property
    def queued(self) -> int:
        """Number of requests in the balancer's queue, waiting for capacity at a host."""
        return self._balancer.queued

    @property
    def counters(self) -> dict[str, int]:
        """The balancer's event counts since its start, by name."""
        return self._balancer.counters

    @property
    def gauges(self) -> dict[str, float]:
        """The current values of the balancer's gauges and the number of open requests, by name."""
        return {"open": len(self._open), **self._balancer.gauges(self._clock.latest_us)}

    # Called by the downstream side.

    def accept(
        self,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        client: Requester | None = None,
    ) -> OpenRequest:
        """Accept a request; `reply` is called once, before the deadline, unless the client departs.

        Before each attempt `client` is checked for a disconnect that may not have been read yet.
        """
        now = monotonic()
        deadline_at = request.deadline_at
        if self.shutdown.begun:
            deadline_at = self.shutdown.deadline(deadline_at, now)
        scale = margin_scale(max(0.0, deadline_at - now))
        open_request = OpenRequest(
            next(self._request_numbers),
            request,
            reply,
            deadline_at,
            deadline_at - DECISION_MARGIN_S * scale,
            client,
        )
        self._open[open_request.number] = open_request
        self._unanswered_ids.add(request.id)
        open_request.fallback_timer = self._loop.call_at(
            deadline_at - FALLBACK_MARGIN_S * scale, self._on_fallback_timer, open_request
        )
        if len(self._open) == 1:
            self._loop_monitor.start_ticking(self._has_work)
        if self._loop_monitor.stalled():  # read pending outcomes before new work
            self._loop_monitor.defer(self._submit, open_request)
        else:
            self._submit(open_request)
        return open_request

    def _submit(self, open_request: OpenRequest) -> None:
        if open_request.reply is None:
            return  # the client departed or was answered while the request was deferred
        request = open_request.request
        self.feed(
            RequestArrived(
                open_request.number,
                request.route,
                self._clock.epoch_us + int(open_request.attempts_end_at * 1e6),
                request.key,
                request.work_estimate_us,
                request.tenant,
                request.is_retry,
                len(request.body) > SHORT_BODY,
                open_request.deadline_at < request.deadline_at,
            )
        )

    # Called by discovery.

    def update_endpoints(
        self, update: EndpointUpdate, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """Apply an endpoint update; `names` and `addresses` belong to its endpoints, by id.

        Connections are updated before the balancer, because a host that was removed must not
        receive another byte.
        """
        apply_endpoint_update(self.hosts, self._upstream, update, names, addresses)
        self.feed(update)

    # Handling of events and actions.

    def feed(self, event: Event) -> None:
        """Pass one event to the balancer and perform the resulting actions.

        Events that an action triggers immediately are queued and handled after it; the balancer is
        never called recursively.
        """
        self._events.append(event)
        if self._processing_events:
            return
        # The first event after a stall may be any, such as an answer. Without this, all attempts
        # would be overdue by the time of the stall, before the answers to them were read.
        if monotonic() - self._loop_lag.last_tick > CLIENT_CHECK_LAG_S:
            self._loop_monitor.stalled()
        self._processing_events = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._processing_events = False
        if self.on_capacity is not None and self._balancer.queued <= len(self.hosts):
            self.on_capacity()

    def _handle_event(self, event: Event) -> None:
        """Handle one event; an exception is logged and fails the request that it belongs to.

        Without this, one request could take the gateway down. Actions that the balancer decided
        before the exception are still performed.
        """
        try:
            actions = self._balancer.handle(self._clock.now_us(), [event])
        except Exception:
            log.exception("the balancer raised an exception on event %s", type(event).__name__)
            actions = self._balancer.actions
            if isinstance(event, RequestArrived | AttemptFinished | StreamStarted):
                self._fail_request(event.request)
                # Without this the balancer would keep the request forever.
                self._events.append(ClientDisconnected(event.request))
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                log.exception("could not perform the balancer's action %s", type(action).__name__)
                if isinstance(action, SendAttempt | Reject | Fail | CancelAttempt):
                    self._fail_request(action.request)

    def _fail_request(self, number: int) -> None:
        """Answer a request with FAILED after an internal error."""
        open_request = self._open.get(number)
        if open_request is not None and open_request.reply is not None:
            self._answer_undecided(open_request, Reply(FAILED))

    def _perform(self, action: Action) -> None:
        """Perform one action.

        `WatchEndpoints` is ignored because the gateway always watches the endpoints, and the
        balancer never emits `StartHealthCheck`.
        """
        if isinstance(action, SendAttempt):
            self._send(action)
        elif isinstance(action, SetTimer):
            fires_at = monotonic() + action.delay_us / 1e6
            self._loop.call_at(fires_at, self._on_timer, TimerFired(action.timer_id))
        elif isinstance(action, CancelAttempt):
            self._cancel(action)
        elif isinstance(action, LimitAttempt):
            self._limit(action)
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
        attempt = self._attempt(action.request, action.attempt)
        if attempt is not None:
            attempt.cancel()

    def _limit(self, action: LimitAttempt) -> None:
        attempt = self._attempt(action.request, action.attempt)
        if attempt is not None:
            attempt.limit(monotonic() + action.timeout_us / 1e6)

    def _attempt(self, request: int, number: int) -> Attempt | None:
        """Return an attempt; None if it has ended, or was never sent."""
        open_request = self._open.get(request)
        return None if open_request is None else open_request.attempts[number]

    def _finish(self, number: int, reply: Reply) -> None:
        """Send the balancer's final answer to the client."""
        open_request = self._open.get(number)
        if open_request is not None and open_request.reply is not None:
            self._answer(open_request, reply)
            self._remove_if_finished(open_request)
