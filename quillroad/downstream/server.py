"""The listener of the client side: accepts, the places that connections take, and draining."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from time import monotonic

from quillroad.balancing.settings import Route
from quillroad.config import RESERVED, Config, Descriptors
from quillroad.downstream.connection import ClientConnection
from quillroad.downstream.connection_limit import UNHEARD_S, ConnectionLimit, ConnectionState
from quillroad.downstream.early_rejection import EarlyRejection, Rejections
from quillroad.downstream.request_scheduler import HOLD_S, RequestScheduler
from quillroad.downstream.request_validation import RequestValidator
from quillroad.engine.engine import Engine
from quillroad.overload.acceptor import Acceptor
from quillroad.overload.admission_queue import AdmissionQueue, RoutePriority
from quillroad.overload.body_budget import BodyBudget
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.overload.retry_after import RetryAfterJitter

__all__ = ["EXCESS", "HOLD_S", "ClientConnection", "Server"]

# Connections past the descriptors' limit at the most, for those that end others or are turned away.
# With what is no connection (15 of one process) and the accept at hand they are within RESERVED.
EXCESS = RESERVED // 4
# Idle connections to hosts that are dropped for clients at a time: it doubles up to here while that
# is too few.
MOST_DROPPED = 64
# After which it begins at one again: the need has passed meanwhile.
DROPPED_S = 0.05
# Connections that end with an answer at the most: with one, their number would never fall.
OVERSTAYED = 2
# The gateway's seed spreads its Retry-After times against those of others: a prime keeps neighbours
# apart.
JITTER_MODULUS = 997


class Server:
    """All client connections of the gateway.

    `drop_idle_upstream` ends an idle connection to a host, and says whether there was one.
    `retry_after_us` is the wait told with a refusal (µs, 0 for none), `streams` the long answers on
    their way, `draining` whether the last answer on each connection says that it closes. `on_end`
    is told of each request's end: route and status.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        engine: Engine,
        descriptors: Descriptors,
        drop_idle_upstream: Callable[[], bool],
        loop_monitor: EventLoopMonitor,
    ) -> None:
        self.loop = loop
        self.engine = engine
        self.loop_monitor = loop_monitor
        self._descriptors = descriptors
        self._drop_idle_upstream = drop_idle_upstream
        self._dropped = 1  # connections to hosts that were dropped at a time last
        self._dropped_at = 0.0  # when, in monotonic time (s)
        self.draining = False
        self.streams = 0
        self.on_end: Callable[[int, int], None] | None = None
        self.buffers = BodyBudget(config.body_budget_bytes)
        self.validator = RequestValidator(config)
        self.retry_after_us = _retry_after_us(config)
        self.retry_after_jitter = RetryAfterJitter(config.seed % JITTER_MODULUS / JITTER_MODULUS)
        self._rejections = Rejections(self.retry_after_jitter, self.retry_after_us)
        places = _client_connections(descriptors)
        self.admission = _admission(config, places)
        self.connection_limit = ConnectionLimit[ClientConnection](places, ClientConnection.unread)
        limit = self.connection_limit
        self.scheduler = RequestScheduler(loop, loop_monitor, engine, self.admission, limit)
        engine.on_capacity = self.scheduler.schedule
        self._acceptor = Acceptor(loop, self._take, self._may_accept, self.mark_closed)
        self._early_rejection = EarlyRejection(
            self.validator,
            self.admission,
            limit,
            self._acceptor,
            self._rejections,
            self._request_ended,
        )

    @property
    def answers_by(self) -> float:
        """The monotonic time (s) by which each answer has to be out.

        Infinite until the process ends.
        """
        return self.validator.answers_by

    @answers_by.setter
    def answers_by(self, end: float) -> None:
        """Set the monotonic time (s) by which each answer has to be out."""
        self.validator.answers_by = end

    @property
    def in_flight(self) -> int:
        """Requests that were read and wait for their answer."""
        return self.admission.waiting + self.engine.unanswered + self.streams

    def up_status(self) -> int:
        """The status of the health check."""
        return 200 if self.engine.ready and not self.draining else 503

    def _request_ended(self, route: int, status: int) -> None:
        if self.on_end is not None:
            self.on_end(route, status)

    # Accepting.

    def listen(self, listener: socket.socket) -> None:
        """Take connections from a listening socket, which is the server's own from now on."""
        self._acceptor.listen(listener)

    def pause_accepting(self) -> None:
        """Accept nothing more for now; the listener is the caller's."""
        self._acceptor.detach()

    def resize(self) -> None:
        """The number of descriptors has changed."""
        places = _client_connections(self._descriptors)
        self.connection_limit.resize(places)
        self.admission.resize(places)

    def _may_accept(self) -> bool:
        """Whether one more can be taken, if only to be turned away.

        Where not, connections wait in the kernel: one that is taken and ended would lose what it
        has sent.
        """
        limit = self.connection_limit
        free = (
            limit.has_place()
            or limit.may_accept_to_reject()
            or limit.connection_to_end(monotonic()) is not None
        )
        if not free and not (limit.may_accept_unclassified() and self._early_rejection.has_time()):
            return False
        if self._descriptors.spare() > -EXCESS:
            return True
        if limit.has_place():
            self._drop_upstream()
        elif (one := limit.connection_to_end(monotonic())) is not None:
            # Ended at the accept it would need a descriptor more for that moment, which there is
            # not: nobody would come in until those who hold them all go by themselves.
            one.abort()
            self._acceptor.descriptors_freeing = True
        return False

    def _drop_upstream(self) -> None:
        """Drop idle connections to hosts for clients that wait.

        Their descriptors are free in the loop's next turn, and no client is taken on them before;
        twice as many go with each turn in which that was too few.
        """
        now = monotonic()
        self._dropped = (
            min(2 * self._dropped, MOST_DROPPED) if now - self._dropped_at < DROPPED_S else 1
        )
        self._dropped_at = now
        for _ in range(self._dropped):
            if not self._drop_idle_upstream():
                break
            self._acceptor.descriptors_freeing = True

    def end_silent_connection(self) -> bool:
        """End a silent client connection so that a connection to a host can be opened.

        Done where clients hold all their places and more; the descriptor is free in the next
        iteration of the event loop. False: there is none to end. An idle connection between two
        requests is not ended: its client counts on it, and is better off with a rejection of
        another's request.
        """
        limit = self.connection_limit
        one = None if limit.has_place() else limit.connection_to_end(monotonic())
        if one is None or limit.state(one) is ConnectionState.RESTING:
            return False
        one.abort()
        return True

    def _take(self, sock: socket.socket) -> ClientConnection | None:
        """One has been accepted.

        Past the places another ends for it, if there is one to end; else it is turned away, if it
        has asked for something that can be refused.
        """
        now = monotonic()
        limit = self.connection_limit
        one = None
        if not limit.has_place():
            one = limit.connection_to_end(now)
            # Those who have said nothing yet may never: they are no reason to refuse one who has.
            full = limit.busy >= limit.most_connections and not limit.may_accept_to_reject()
            if one is None and self._early_rejection.reject(sock, now, full):
                return None
        connection = ClientConnection(self, sock)
        self._descriptors.used += 1
        limit.set_state(connection, ConnectionState.UNHEARD, now)
        if one is not None:
            one.abort()
            self._acceptor.descriptors_freeing = True
        return connection

    def adopt(self, sock: socket.socket, brought: int) -> None:
        """A connection comes from another process of this gateway, between two requests."""
        sock.setblocking(False)
        connection = ClientConnection(self, sock)
        connection.arrives(brought)
        self._descriptors.used += 1
        self.connection_limit.set_state(connection, ConnectionState.RESTING, monotonic())
        self._acceptor.bring_up(sock, connection)

    # What connections tell of themselves.

    def mark_receiving(self, connection: ClientConnection, body: bool) -> None:
        """Part of a request has come, of its `body` where that has begun: it gets on.

        Whoever sends its head in pieces does not, and a connection with a request that waits for
        its turn is busy.
        """
        state = self.connection_limit.state(connection)
        if state is None or state is ConnectionState.BUSY:
            return
        if body or state is not ConnectionState.WRITING:
            self.connection_limit.set_state(connection, ConnectionState.WRITING, monotonic())

    def mark_busy(self, connection: ClientConnection) -> None:
        """It is not ended to make room."""
        if self.connection_limit.state(connection) is not None:
            self.connection_limit.set_state(connection, ConnectionState.BUSY, monotonic())

    def mark_resting(self, connection: ClientConnection) -> None:
        """It is between two requests."""
        if self.connection_limit.state(connection) is None:
            return
        now = monotonic()
        self.connection_limit.set_state(connection, ConnectionState.RESTING, now)
        for _ in range(OVERSTAYED):
            longest = self.connection_limit.overstayed(now)
            if longest is None or longest is connection:
                return
            longest.abort()

    def mark_leaving(self, connection: ClientConnection) -> None:
        """It has its last answer, and needs no more than time to read it."""
        if self.connection_limit.state(connection) is not None:
            self.connection_limit.set_state(connection, ConnectionState.LEAVING, monotonic())

    def mark_closing(self, connection: ClientConnection) -> None:
        """Ended, though its descriptor is in use until the loop comes round to it."""
        self.connection_limit.remove(connection)

    def mark_closed(self, connection: ClientConnection) -> None:
        """Its descriptor is free."""
        self._descriptors.used -= 1
        self.mark_closing(connection)

    # Pressure.

    def pressed(self) -> bool:
        """Whether some may have to be refused.

        Then a request is looked at before it costs a parser.
        """
        limit = self.connection_limit
        return self.admission.waiting > 0 or 2 * limit.busy > limit.most_connections

    def rejection(self) -> bytes:
        """A whole answer that turns a request away."""
        return self._rejections.closing() if self.draining else self._rejections.keep_alive()

    # Time limits and the end.

    def enforce_time_limits(self) -> None:
        """Called now and then: end what takes too long."""
        now = monotonic()
        for connection in self.connection_limit.connections():
            connection.enforce_time_limits(now)
        self.scheduler.log_rejections()

    def stop_listening(self) -> None:
        """The platform's load balancer sends no more connections: accept none, close idle ones."""
        self._acceptor.close()
        self.close_idle()

    def break_off(self) -> None:
        """The time is up: what is still on its way is not going to be whole."""
        for connection in self.connection_limit.connections():
            connection.break_off()

    def close_idle(self) -> None:
        """End what is between two requests.

        Not one that came a moment ago, whose request is on its way, nor one whose answer has not
        left this process.
        """
        settled = monotonic() - UNHEARD_S
        for connection in self.connection_limit.connections():
            unheard = self.connection_limit.state(connection) is ConnectionState.UNHEARD
            if connection.may_end() and not (unheard and connection.last_change > settled):
                connection.abort()


def _client_connections(descriptors: Descriptors) -> int:
    """For clients; the other half is the hosts': each request needs one there."""
    return max(1, descriptors.limit // 2)


def _full_value_us(route: Route) -> int:
    """The time in which an answer of this route has value."""
    if route.latency_objective_us and not route.late_weight:
        return route.latency_objective_us
    return route.deadline_us


def _retry_after_us(config: Config) -> int:
    """The longest wait told with a refusal; 0 where none may be told."""
    settings = config.settings
    return settings.max_retry_after_us if settings.retry_after_allowed else 0


def _admission(config: Config, places: int) -> AdmissionQueue:
    """The admission queue as the settings have it."""
    settings = config.settings
    return AdmissionQueue(
        [
            RoutePriority(route.priority_weight, _full_value_us(route) / 1e6)
            for route in settings.routes
        ],
        settings.over_quota_weight,
        [quota / settings.gateway_count for quota in settings.tenant_quotas_per_s],
        config.cores,
        places,
    )
