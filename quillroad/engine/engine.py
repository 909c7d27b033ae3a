"""Drives the decision module: events in, actions out, alarms, one clock. Owns the open requests.

Nothing about hosts, retries or refusals is decided here. What the engine adds is what real sockets need: an
answer in time even if the module says nothing, and a fault in one request that stays that request's own.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from time import monotonic
from typing import NamedTuple, Protocol

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
from quillroad.balancing.endpoint import EndpointStatus
from quillroad.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    StreamStarted,
    TimerFired,
    UpdateKind,
)
from quillroad.config import SHORT_BODY, Address
from quillroad.upstream.pool import Answer, Attempt, Done, Host, Upstream

log = logging.getLogger("quillroad.engine.engine")

# Before the client's deadline by this much the attempts are timed out and the module says its last word:
# room for the way to the client, for a loop that runs late and for a core that another gateway has just now.
MARGIN_S = 0.040
GUARD_S = 0.015  # and this much before it the engine answers by itself, if the module said nothing
LEFT_S = 0.075  # since the loop's last beat: what left then may be unread, and counts as gone after 0.1 s
MARGIN_PART = (
    0.25  # of the time that a client in a hurry gives: both margins shrink to fit into that
)


class Reply(NamedTuple):
    """The one final answer to a client."""

    status: int
    answer: Answer | None = None
    retry_after_us: int = 0


SERVED, FAILED, REFUSED, TIMED_OUT = 200, 502, 503, 504


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request that has passed all checks of its form."""

    id: str
    route: int
    tenant: int
    key: str | None
    since: float  # monotonic time at which it came, wherever it has waited since
    expires: float  # at which the client stops waiting
    repeat: bool
    work_us: int | None
    head: bytes  # what goes on unchanged: request line and headers, the deadline's and the last line apart
    body: bytes | bytearray  # whole; nobody changes it any more


class Requester(Protocol):
    """Who waits for the answer, as far as the engine has to know: whether it still does."""

    blind: bool  # nothing is read from it at the moment, not even that it has gone

    def gone(self) -> bool:
        """Whether it has gone, as far as can be told without reading."""


class OpenRequest:
    """Kept from the arrival until the final answer and the outcome of every attempt."""

    def __init__(
        self,
        number: int,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        give_up: float,
        client: Requester | None,
    ) -> None:
        self.number, self.request, self.client = number, request, client
        self.give_up = give_up  # monotonic time at which its attempts end
        self.reply: Callable[[Reply], None] | None = reply
        self.attempts: list[Attempt | None] = []  # None: not sent at all
        self.out = 0
        self.guard: asyncio.TimerHandle | None = None


class Engine:
    """One module, one clock. `now_us` is Unix time that never goes back, so starts of hosts told in Unix
    time, also those before this process began, lie where they belong on it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, balancer: Balancer, upstream: Upstream
    ) -> None:
        self._loop, self._balancer, self._upstream = loop, balancer, upstream
        self._loop_monitor, self._loop_lag = upstream.loop_monitor, upstream.loop_monitor.loop_lag
        self._epoch_us = time.time_ns() // 1000 - int(monotonic() * 1e6)
        self._latest_us = 0  # the module's clock never goes back
        self._numbers = itertools.count(1)
        self._open: dict[int, OpenRequest] = {}
        self._ids: set[str] = set()  # ids of the requests that still wait for their answer
        self._events: deque[Event] = deque()
        self._busy = False
        self.hosts: dict[int, Host] = {}
        self.on_capacity: Callable[[], None] | None = None  # told when little waits in the module
        # Asked with each attempt: its class, its host, its bytes and whom to tell; returns whom to tell.
        self.attempt_observer: Callable[[int, Host, int, Done], Done] | None = None

    def now_us(self) -> int:
        now_us = self._epoch_us + int(self._loop_lag.clock(monotonic()) * 1e6)
        self._latest_us = max(self._latest_us, now_us)
        return self._latest_us

    def is_open(self, request_id: str) -> bool:
        return request_id in self._ids

    @property
    def ready(self) -> bool:
        return bool(self.hosts)

    @property
    def unanswered(self) -> int:
        """Requests that wait for their answer."""
        return len(self._ids)

    @property
    def cold_us(self) -> int:
        """For so long after its start a host may be cold, in microseconds."""
        return self._balancer.settings.warm_up_us

    @property
    def queued(self) -> int:
        """Requests that wait in the module for a place at a host."""
        return self._balancer.queued

    @property
    def counters(self) -> dict[str, int]:
        """What the module has counted since its start."""
        return self._balancer.counters

    @property
    def gauges(self) -> dict[str, float]:
        """How the module stands at the moment."""
        return {"open": len(self._open), **self._balancer.gauges(self._latest_us)}

    # From the client side.

    def accept(
        self,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        client: Requester | None = None,
    ) -> OpenRequest:
        """Take a request; `reply` is called once, before the client's deadline, unless it departs. Before
        each attempt `client` is asked whether it has, where that may have gone unread."""
        left_s = max(0.0, request.expires - monotonic())
        shrink = min(1.0, MARGIN_PART * left_s / MARGIN_S)
        opened = OpenRequest(
            next(self._numbers), request, reply, request.expires - MARGIN_S * shrink, client
        )
        self._open[opened.number] = opened
        self._ids.add(request.id)
        opened.guard = self._loop.call_at(request.expires - GUARD_S * shrink, self._overdue, opened)
        if len(self._open) == 1:
            self._loop_monitor.work_begins(self._working)
        if self._loop_monitor.stalled():  # first the outcomes that lie in the kernel, then new work
            self._loop_monitor.hold(self._arrive, opened)
        else:
            self._arrive(opened)
        return opened

    def _working(self) -> bool:
        return bool(self._open)

    def _arrive(self, opened: OpenRequest) -> None:
        if opened.reply is None:
            return  # departed, or answered, while it was held
        request = opened.request
        give_up_us = self._epoch_us + int(opened.give_up * 1e6)
        self.feed(
            RequestArrived(
                opened.number,
                request.route,
                give_up_us,
                request.key,
                request.work_us,
                request.tenant,
                request.repeat,
                len(request.body) > SHORT_BODY,
            )
        )

    def depart(self, opened: OpenRequest) -> None:
        """The client has gone."""
        if opened.reply is not None:
            self._settle(opened)
            self.feed(ClientDisconnected(opened.number))
            self._forget(opened)

    def _overdue(self, opened: OpenRequest) -> None:
        """Rule 1's last line: a failure promises nothing and so is always allowed."""
        if self._loop_monitor.stalled():
            self._loop_monitor.hold(self._overdue, opened)
        elif opened.reply is not None:
            log.error("request %s: no decision by its deadline", opened.request.id)
            self._answer(opened, Reply(TIMED_OUT))
            self.feed(ClientDisconnected(opened.number))
            self._forget(opened)

    # From the list of hosts.

    def update(
        self, servers: EndpointUpdate, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """A list takes effect on the sockets first: what it ends must not get a byte more."""
        whole = servers.kind is not UpdateKind.INCREMENTAL
        named = {s.id for s in servers.endpoints}
        told = {s.id: s for s in servers.endpoints if s.status is not EndpointStatus.REMOVED}
        for number, host in list(self.hosts.items()):
            line = told.get(number)
            gone = line is None and (whole or number in named)
            moved = line is not None and addresses[number] != host.address
            if gone or moved:
                del self.hosts[number]
                self._upstream.retire(host)
        for number, server in told.items():
            current = self.hosts.get(number) or Host(names[number], addresses[number])
            self.hosts[number] = current
            current.zone = server.zone
            if current.started_us != server.started_us:
                current.started_us = server.started_us
                current.drop_idle()  # they lead to the process before, and may hang for ever
            if server.status is EndpointStatus.DRAINING:
                self._upstream.retire(current)
            else:
                current.ready = True
        self.feed(servers)

    # The module.

    def feed(self, event: Event) -> None:
        """Give the module one event and carry out what it decides. What an action brings about at once is
        fed after it, in order, never from inside the module."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False
        if self.on_capacity is not None and self._balancer.queued <= len(self.hosts):
            self.on_capacity()

    def _step(self, event: Event) -> None:
        try:
            actions = self._balancer.handle(self.now_us(), [event])
        except Exception:
            # One request's fault must not take the gateway down. What was decided before it still counts.
            log.exception("the module failed on %s", type(event).__name__)
            actions = self._balancer.actions
            if isinstance(event, RequestArrived | AttemptFinished | StreamStarted):
                self._fail(event.request)
                self._events.append(
                    ClientDisconnected(event.request)
                )  # or the module would keep it for ever
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
                if isinstance(action, SendAttempt | Reject | Fail | CancelAttempt):
                    self._fail(action.request)

    def _fail(self, number: int) -> None:
        opened = self._open.get(number)
        if opened is not None and opened.reply is not None:
            self._answer(opened, Reply(FAILED))
            self._events.append(ClientDisconnected(number))
            self._forget(opened)

    def _perform(self, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self._send(action)
        elif isinstance(action, SetTimer):
            self._loop.call_at(
                monotonic() + action.delay_us / 1e6, self._alarm, TimerFired(action.timer_id)
            )
        elif isinstance(action, CancelAttempt):
            opened = self._open.get(action.request)
            attempt = opened.attempts[action.attempt] if opened is not None else None
            if attempt is not None:
                attempt.cancel()
        elif isinstance(action, Reject | Fail):
            opened = self._open.get(action.request)
            if opened is not None and opened.reply is not None:
                refused = isinstance(action, Reject)
                retry_after_us = action.retry_after_us if isinstance(action, Reject) else 0
                self._answer(opened, Reply(REFUSED if refused else FAILED, None, retry_after_us))
                self._forget(opened)
        elif isinstance(action, LogMessage):
            log.info("%s", action.text)
        # `Watch` asks for what the gateway always does; `Probe` the module never asks for.

    def _alarm(self, alarm: TimerFired) -> None:
        if self._loop_monitor.stalled():
            self._loop_monitor.hold(self.feed, alarm)
        else:
            self.feed(alarm)

    def _send(self, action: SendAttempt) -> None:
        opened = self._open.get(action.request)
        if opened is None:
            return
        number, started, client = len(opened.attempts), monotonic(), opened.client
        # The one place where any attempt begins. Guards against work for those who left while nobody read
        # from their connection: they had sent ahead, or the loop has not come round for a while.
        if (
            client is not None
            and (client.blind or started - self._loop_lag.last > LEFT_S)
            and opened.reply is not None
            and client.gone()
        ):
            self.depart(opened)
        host = self.hosts.get(action.endpoint)
        latest = (action.send_by_us - self._epoch_us) / 1e6 if action.send_by_us else math.inf
        if opened.reply is None or host is None or started > latest:
            opened.attempts.append(None)
            self._events.append(
                AttemptFinished(action.request, number, Outcome.NOT_SENT, 0, opened.reply is None)
            )
            return
        left_s = max(0.0, opened.give_up - started)
        timeout_s = min(left_s, action.timeout_us / 1e6) if action.timeout_us else left_s
        body, later = opened.request.body, len(opened.request.body) > SHORT_BODY
        request = b"%bRequest-Timeout-Ms: %d\r\n\r\n%b" % (
            opened.request.head,
            max(1, int(timeout_s * 1000)),
            b"" if later else bytes(body),
        )
        done: Done = partial(self._done, opened, number, started)
        if self.attempt_observer is not None:
            size = len(request) + (len(body) if later else 0)
            done = self.attempt_observer(opened.request.route, host, size, done)
        try:
            attempt = self._upstream.start(
                host, request, timeout_s, done, body if later else b"", latest
            )
        except Exception:
            # A fault of ours that may have come after the first byte: the module must not take it for unsent.
            log.exception("request %s could not be sent", opened.request.id)
            opened.attempts.append(None)
            self._events.append(AttemptFinished(action.request, number, Outcome.RESET, 0))
            return
        opened.out += 1
        opened.attempts.append(attempt)

    def _done(
        self,
        opened: OpenRequest,
        number: int,
        started: float,
        outcome: Outcome,
        answer: Answer | None,
        at: float,
    ) -> None:
        opened.out -= 1
        opened.attempts[number] = None
        if answer is not None and opened.reply is not None:
            # Past its deadline nobody waits for it: it ran, and was no service.
            late = monotonic() >= opened.request.expires
            self._answer(opened, Reply(TIMED_OUT) if late else Reply(SERVED, answer))
        elapsed_us = max(1, int((at - started) * 1e6))
        self.feed(AttemptFinished(opened.number, number, outcome, elapsed_us, opened.reply is None))
        self._forget(opened)

    # The end of a request.

    def _answer(self, opened: OpenRequest, reply: Reply) -> None:
        send = opened.reply
        self._settle(opened)
        if send is not None:
            send(reply)

    def _settle(self, opened: OpenRequest) -> None:
        opened.reply = None
        self._ids.discard(opened.request.id)
        if opened.guard is not None:
            opened.guard.cancel()

    def _forget(self, opened: OpenRequest) -> None:
        if opened.reply is None and opened.out:
            for attempt in opened.attempts:
                if attempt is not None and attempt.connecting:
                    # Nobody waits for it, and no byte of it went out: none is to, however late its connection
                    # comes up. That calls nothing off at a host, so settings that forbid that allow it.
                    attempt.withdraw()
        if opened.reply is None and not opened.out:
            self._open.pop(opened.number, None)
