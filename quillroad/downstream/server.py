"""Server for client connections: accepting, the connection limit and draining."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from time import monotonic

from quillroad.balancing.settings import Route
from quillroad.config import Config, Descriptors
from quillroad.downstream.connection import ClientConnection
from quillroad.downstream.connection_limit import MIN_SILENT_S, ConnectionLimit, ConnectionState
from quillroad.downstream.early_rejection import EarlyRejection, Rejections
from quillroad.downstream.input_scheduler import InputScheduler
from quillroad.downstream.request_parser import LONG_BODY_READ_BYTES, READ_BYTES, SHORT_READ_BYTES
from quillroad.downstream.request_scheduler import CAPACITY_RECHECK_S, RequestScheduler
from quillroad.downstream.request_validation import RequestValidator
from quillroad.engine.engine import Engine
from quillroad.overload.acceptor import Acceptor
from quillroad.overload.admission_queue import AdmissionQueue, RoutePriority
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.overload.memory_account import MemoryAccount
from quillroad.overload.read_buffer import ReadBuffer
from quillroad.overload.retry_after import RetryAfterJitter

__all__ = ["CAPACITY_RECHECK_S", "MAX_EXCESS_DESCRIPTORS", "ClientConnection", "Server"]

# Connections beyond the descriptor limit, for those that replace another or are rejected. Together
# with descriptors other than connections (22 in one process) and the one of an accept in progress,
# they fit into RESERVED.
MAX_EXCESS_DESCRIPTORS = 6
# Idle host connections dropped for clients at a time: the number doubles up to this limit while it
# is too small.
MAX_CONNECTIONS_DROPPED = 64
# Time without drops after which the number starts at one again.
DROP_RESET_S = 0.05
# Resting connections closed per response: with one only, their number would never fall.
MAX_RESTING_CLOSED = 2
# The seed modulo this prime is the first phase of the Retry-After jitter, so that gateways with
# neighbouring seeds do not send the same times.
JITTER_MODULUS = 997


class Server:
    """All client connections of the gateway.

    `memory` accounts for what clients make the process hold. `drop_idle_upstream` closes an idle
    connection to a host and returns whether there was one.
    `retry_after_us` is the longest `Retry-After` of a rejection (µs, 0 for none), `streams` the
    number of responses being streamed. While `draining`, the last response on each connection
    carries `Connection: close`. `on_end` is called with the route and status of each request that
    has ended.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        engine: Engine,
        descriptors: Descriptors,
        drop_idle_upstream: Callable[[], bool],
        loop_monitor: EventLoopMonitor,
        memory: MemoryAccount,
    ) -> None:
        self.loop = loop
        self.engine = engine
        self.loop_monitor = loop_monitor
        self._descriptors = descriptors
        self._drop_idle_upstream = drop_idle_upstream
        self._drop_count = 1  # host connections to drop at a time
        self._dropped_at = 0.0  # time of the last drop, monotonic (s)
        self.draining = False
        self.streams = 0
        self.on_end: Callable[[int, int], None] | None = None
        self.memory = memory
        buffer = ReadBuffer(LONG_BODY_READ_BYTES)
        self.long_read_buffer = buffer.whole
        self.read_buffer = buffer.part(READ_BYTES)
        self.short_read_buffer = buffer.part(SHORT_READ_BYTES)
        self.input_scheduler = InputScheduler(loop)
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
        self._acceptor = Acceptor(loop, self._accept_connection, self._may_accept, self.mark_closed)
        self._early_rejection = EarlyRejection(
            self.validator,
            self.admission,
            limit,
            self._acceptor,
            self._rejections,
            self._request_ended,
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that are queued, open in the engine or being streamed."""
        return self.admission.waiting + self.engine.unanswered + self.streams

    def up_status(self) -> int:
        """Return the status of the health check: 200, or 503 if not ready or draining."""
        return 200 if self.engine.ready and not self.draining else 503

    def _request_ended(self, route: int, status: int) -> None:
        if self.on_end is not None:
            self.on_end(route, status)

    # Accepting.

    def listen(self, listener: socket.socket) -> None:
        """Accept connections from a listening socket, which the server owns from now on."""
        self._acceptor.listen(listener)

    def pause_accepting(self) -> None:
        """Stop accepting and give the listening socket back to the caller."""
        self._acceptor.detach()

    def resize(self) -> None:
        """Adapt the limits to a changed number of descriptors."""
        places = _client_connections(self._descriptors)
        self.connection_limit.resize(places)
        self.admission.resize(places)

    def _may_accept(self) -> bool:
        """Whether one more connection can be accepted, even if only to be rejected.

        Otherwise connections wait in the kernel: closing an accepted one would lose the request
        that its client has sent.
        """
        limit = self.connection_limit
        free = (
            limit.has_place()
            or limit.may_accept_to_reject()
            or limit.connection_to_end(monotonic()) is not None
        )
        if not free and not (
            limit.may_accept_unclassified() and self._early_rejection.has_cpu_time()
        ):
            return False
        if self._descriptors.spare() > -MAX_EXCESS_DESCRIPTORS:
            return True
        if limit.has_place():
            self._drop_idle_upstream_connections()
        elif (candidate := limit.connection_to_end(monotonic())) is not None:
            # Closing it at the accept would need one more descriptor for a moment, and none is
            # left: no client would be accepted until others disconnect by themselves.
            candidate.abort()
            self._acceptor.descriptors_freeing = True
        return False

    def _drop_idle_upstream_connections(self) -> None:
        """Close idle host connections to free descriptors for waiting clients.

        The descriptors are free in the next iteration of the event loop, and no client is accepted
        on them before. The number doubles with each call until it is sufficient.
        """
        now = monotonic()
        self._drop_count = (
            min(2 * self._drop_count, MAX_CONNECTIONS_DROPPED)
            if now - self._dropped_at < DROP_RESET_S
            else 1
        )
        self._dropped_at = now
        for _ in range(self._drop_count):
            if not self._drop_idle_upstream():
                break
            self._acceptor.descriptors_freeing = True

    def end_silent_connection(self) -> bool:
        """Close a silent client connection so that a connection to a host can be opened.

        Used when clients hold all their places or more; the descriptor is free in the next
        iteration of the event loop. Return False if there is none to close. A connection that
        rests between two requests is not closed: its client relies on it, and rejecting another
        client's request does less harm.
        """
        limit = self.connection_limit
        candidate = None if limit.has_place() else limit.connection_to_end(monotonic())
        if candidate is None or limit.state(candidate) is ConnectionState.RESTING:
            return False
        candidate.abort()
        return True

    def _accept_connection(self, sock: socket.socket) -> ClientConnection | None:
        """Create the connection for an accepted socket; return None if it was rejected.

        Beyond the places, another connection is closed for it. If none can be closed, its request
        is rejected where the fast path can do so; otherwise the connection is accepted. While the
        listener closes, silent connections beyond the places are closed unread.
        """
        now = monotonic()
        limit = self.connection_limit
        candidate = None
        if not limit.has_place():
            if self._acceptor.closing and not _has_data(sock):
                sock.close()
                return None
            candidate = limit.connection_to_end(now)
            # Silent connections may never send a request, so they do not count as a reason to
            # reject one.
            full = limit.busy >= limit.max_connections and not limit.may_accept_to_reject()
            if candidate is None and self._early_rejection.reject(sock, now, full):
                return None
        connection = ClientConnection(self, sock)
        self._descriptors.used += 1
        limit.set_state(connection, ConnectionState.SILENT, now)
        if candidate is not None:
            candidate.abort()
            self._acceptor.descriptors_freeing = True
        return connection

    def adopt(self, sock: socket.socket, requests_served: int) -> None:
        """Take over a connection from another process of this gateway, between two requests."""
        sock.setblocking(False)
        connection = ClientConnection(self, sock)
        connection.restore_requests_served(requests_served)
        self._descriptors.used += 1
        self.connection_limit.set_state(connection, ConnectionState.RESTING, monotonic())
        self._acceptor.set_up_connection(sock, connection)

    # State changes, called by connections.

    def mark_receiving(self, connection: ClientConnection, body: bool) -> None:
        """Note that a part of a request was received; `body` tells whether its body has begun.

        Further parts of a body count as progress, further parts of a head do not. A connection with
        a queued request stays busy.
        """
        state = self.connection_limit.state(connection)
        if state is None or state is ConnectionState.BUSY:
            return
        if body or state is not ConnectionState.RECEIVING:
            self.connection_limit.set_state(connection, ConnectionState.RECEIVING, monotonic())

    def mark_busy(self, connection: ClientConnection) -> None:
        """Note that the connection must not be closed to make room."""
        if self.connection_limit.state(connection) is not None:
            self.connection_limit.set_state(connection, ConnectionState.BUSY, monotonic())

    def mark_resting(self, connection: ClientConnection) -> None:
        """Note that the connection is between two requests; close those resting too long."""
        if self.connection_limit.state(connection) is None:
            return
        now = monotonic()
        self.connection_limit.set_state(connection, ConnectionState.RESTING, now)
        for _ in range(MAX_RESTING_CLOSED):
            longest_resting = self.connection_limit.longest_resting_to_end(now)
            if longest_resting is None or longest_resting is connection:
                return
            longest_resting.abort()

    def mark_leaving(self, connection: ClientConnection) -> None:
        """Note that the last response was written, which the client only has to read."""
        if self.connection_limit.state(connection) is not None:
            self.connection_limit.set_state(connection, ConnectionState.LEAVING, monotonic())

    def mark_closing(self, connection: ClientConnection) -> None:
        """Note a close; the descriptor stays in use until the event loop closes the socket."""
        self.connection_limit.remove(connection)

    def mark_closed(self, connection: ClientConnection) -> None:
        """Note that the socket was closed and its descriptor is free."""
        self._descriptors.used -= 1
        self.mark_closing(connection)

    # Pressure.

    def under_pressure(self) -> bool:
        """Whether requests may have to be rejected.

        If so, connections try the fast-path parse before the full parser.
        """
        limit = self.connection_limit
        return self.admission.waiting > 0 or 2 * limit.busy > limit.max_connections

    def rejection(self) -> bytes:
        """Return a complete response that rejects a request."""
        return self._rejections.closing() if self.draining else self._rejections.keep_alive()

    # Time limits and shutdown.

    def enforce_time_limits(self) -> None:
        """Close connections past their time limits; called periodically."""
        now = monotonic()
        for connection in self.connection_limit.connections():
            connection.enforce_time_limits(now)
        self.scheduler.log_rejections()

    def stop_listening(self) -> None:
        """Stop accepting and close idle connections; the load balancer sends no new ones."""
        self._acceptor.close()
        self.close_idle()

    def has_connections(self) -> bool:
        """Whether there are client connections, or some are accepted from a closing listener."""
        return len(self.connection_limit) > 0 or self._acceptor.closing

    def reject_partial_requests(self) -> None:
        """Reject the requests received in part: no answer could follow before the process exits."""
        for connection in self.connection_limit.connections():
            connection.reject_partial_request()

    def answer_waiting_requests(self) -> None:
        """Reject the received requests that the engine does not have: the process exits now."""
        for connection in self.connection_limit.connections():
            connection.reject_waiting_request()

    def has_unanswered(self) -> bool:
        """Whether any completely received request is unanswered, and can be answered now."""
        return any(c.has_unanswered() for c in self.connection_limit.connections())

    def has_output(self) -> bool:
        """Whether any response is being streamed, or has bytes that are buffered here."""
        return any(connection.has_output() for connection in self.connection_limit.connections())

    def reset_streams(self) -> None:
        """Reset connections whose response is still being streamed, at the end of shutdown."""
        for connection in self.connection_limit.connections():
            connection.reset_streams()

    def close_idle(self) -> None:
        """Close connections that are between two requests.

        Excluded are new connections, whose first request may be in transit, and those with response
        bytes buffered in this process.
        """
        settled_before = monotonic() - MIN_SILENT_S
        for connection in self.connection_limit.connections():
            silent = self.connection_limit.state(connection) is ConnectionState.SILENT
            if connection.may_close() and not (silent and connection.last_change > settled_before):
                connection.abort()


def _has_data(sock: socket.socket) -> bool:
    """Return whether an accepted connection has received anything."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def _client_connections(descriptors: Descriptors) -> int:
    """Half of the descriptors; the other half is for host connections, one per request."""
    return max(1, descriptors.limit // 2)


def _full_value_us(route: Route) -> int:
    """Return the time (µs) within which a response of this route has its full value."""
    if route.latency_objective_us and not route.late_weight:
        return route.latency_objective_us
    return route.deadline_us


def _retry_after_us(config: Config) -> int:
    """Return the longest `Retry-After` of a rejection (µs); 0 if the settings allow none."""
    settings = config.settings
    return settings.max_retry_after_us if settings.retry_after_allowed else 0


def _admission(config: Config, places: int) -> AdmissionQueue:
    """Create the admission queue from the settings."""
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
