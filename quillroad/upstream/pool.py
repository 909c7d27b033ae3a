"""The connection pool: assigns connections to attempts, and manages idle ones and descriptors.

A connection carries one attempt at a time, and each attempt ends with one `Outcome` (see
`outcome.py`).
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from functools import partial
from time import monotonic

from quillroad.config import MAX_PEER_MEMORY_BYTES, SHORT_BODY, Descriptors
from quillroad.http_answer import HEAD_LIMIT_BYTES, Answer, StreamedBody
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.overload.memory_account import MemoryAccount
from quillroad.overload.read_buffer import ReadBuffer
from quillroad.upstream.attempt import Attempt, Done
from quillroad.upstream.connection import READ_BYTES, ConnectionOwner, HostConnection
from quillroad.upstream.connection_state import HostConnectionState
from quillroad.upstream.host import Host
from quillroad.upstream.outcome import AttemptEnd

__all__ = [
    "HEAD_LIMIT_BYTES",
    "REUSE_DELAY_S",
    "Answer",
    "Attempt",
    "Done",
    "Host",
    "HostConnection",
    "StreamedBody",
    "Upstream",
]

# Seconds after an answer before its connection is reused. A faulty host may write a second answer
# right after the first. Within this time the second answer arrives on an idle connection, which is
# then closed; otherwise the answer would be given to the next client.
REUSE_DELAY_S = 0.02
# Fraction of the connect timeout for which this process may be late: with more, a connect that was
# not established in time is no evidence against the host.
MAX_LAG_FRACTION = 0.25
# Fraction of the hosts' idle timeout after which this side closes an idle connection. If the host
# closed it first, a request could be sent at the same time and would be lost.
IDLE_TIMEOUT_FRACTION = 0.5
# Seconds without a byte after which a streamed answer is ended. Longer than the pauses between the
# writes of a working host, and short enough that a client does not wait for minutes for a host that
# is down.
STREAM_SILENCE_S = 10.0


class Upstream(ConnectionOwner):
    """The connection pool: starts attempts on idle or new connections.

    `connect_timeout_s` limits each connect and `host_idle_timeout_s` is the idle timeout of the
    hosts, both in seconds. `max_body_bytes` is the maximum length of an answer's body that is
    forwarded. `memory` accounts for answers that are buffered.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        connect_timeout_s: float,
        host_idle_timeout_s: float,
        loop_monitor: EventLoopMonitor,
        max_body_bytes: int = SHORT_BODY,
        memory: MemoryAccount | None = None,
    ) -> None:
        self.loop_monitor = loop_monitor
        self.connect_timeout_s = connect_timeout_s
        self.max_body_bytes = max_body_bytes
        self.memory = memory or MemoryAccount(MAX_PEER_MEMORY_BYTES)
        self.read_buffer = ReadBuffer(READ_BYTES).whole
        self.streaming: set[HostConnection] = set()  # connections that stream long answers
        self.connects = 0  # connects started since the start of the process
        self.failed_connects = 0  # since the start of the process
        self.requests_written = 0  # requests whose last byte the kernel took, since the start
        # Closes one client connection if clients hold more than their share of the descriptors;
        # returns whether it did.
        self.close_silent_client: Callable[[], bool] = _no_client_closed
        self._loop = loop
        self._descriptors = descriptors
        self._idle_timeout_s = host_idle_timeout_s * IDLE_TIMEOUT_FRACTION
        self._tasks: set[asyncio.Task[None]] = set()  # connects in progress
        self._idle: dict[HostConnection, None] = {}  # of all hosts, longest idle first
        self._closing: set[HostConnection] = set()  # dropped, but not yet closed

    # Starting attempts.

    def start(
        self,
        host: Host,
        request: bytes,
        timeout_s: float,
        done: Done,
        body: bytes | bytearray = b"",
        send_by: float = math.inf,
    ) -> Attempt:
        """Start an attempt; `request` is the head with any short body, `body` a long body.

        The attempt uses an idle connection or opens a new one. If a new connection is established
        after monotonic time `send_by`, nothing is sent. The attempt is withdrawn if no descriptor
        is free or the host is not ready.
        """
        attempt = Attempt(
            self._loop, self.loop_monitor, host, timeout_s, done, self.connect_timeout_s, send_by
        )
        # Use the connection with the most recent use that was idle for REUSE_DELAY_S: it is the
        # least likely to be closed by the host by now.
        latest_idle_since = attempt.started_at - REUSE_DELAY_S
        for connection in reversed(host.idle.copy()):
            if connection.idle_since > latest_idle_since:
                continue
            host.idle.remove(connection)
            self._idle.pop(connection, None)
            if connection.is_usable():
                connection.send(attempt, request, body)
                return attempt
        if host.ready and self._has_descriptor():
            self._start_connect(attempt, request, body)
        else:
            self._loop.call_soon(attempt.withdraw)
        return attempt

    def _start_connect(self, attempt: Attempt, request: bytes, body: bytes | bytearray) -> None:
        attempt.host.connecting.add(attempt)
        self.connects += 1
        self._descriptors.used += 1
        connection = HostConnection(self, attempt.host)
        attempt.task = self._loop.create_task(self._connect(attempt, connection, request, body))
        self._tasks.add(attempt.task)
        attempt.task.add_done_callback(partial(self._on_connect_task_done, connection))

    async def _connect(
        self, attempt: Attempt, connection: HostConnection, request: bytes, body: bytes | bytearray
    ) -> None:
        host = attempt.host
        lag_before_s = self.loop_monitor.total_lag_s()
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self._loop.create_connection(lambda: connection, *host.address)
        except TimeoutError:
            attempt.end(
                AttemptEnd.CONNECT_TIMEOUT_IN_STALL
                if self._was_late(lag_before_s)
                else AttemptEnd.CONNECT_FAILED
            )
            return
        except OSError:
            attempt.end(AttemptEnd.CONNECT_FAILED)
            return
        attempt.task = None  # whoever ends the attempt from here on must not cancel this task
        if attempt.before_send is not None:
            attempt.before_send()
        host.connecting.discard(attempt)
        if attempt.is_over or not host.ready or monotonic() > attempt.send_by:
            connection.drop()
            attempt.end(AttemptEnd.CONNECTED_TOO_LATE)
        elif connection.is_closing():
            attempt.end(AttemptEnd.CONNECT_FAILED)
        else:
            connection.send(attempt, request, body)

    def _was_late(self, lag_before_s: float) -> bool:
        """Return whether this process was late for a large part of a connect.

        It is then unknown whether the host accepted the connection in time: a connect takes some
        iterations of the event loop.
        """
        own_lag_s = self.loop_monitor.total_lag_s() - lag_before_s
        return self.loop_monitor.stalled() or own_lag_s > MAX_LAG_FRACTION * self.connect_timeout_s

    def _on_connect_task_done(self, connection: HostConnection, task: asyncio.Task[None]) -> None:
        """Release the descriptor of a failed or cancelled connect.

        This is a done callback of the task because a task that is cancelled before its first step
        never runs any of its code, and its descriptor would stay counted as used forever.
        """
        self._tasks.discard(task)
        if connection.transport is None:
            self.failed_connects += 1
            self.on_closed(connection)
        elif task.cancelled():
            # Cancelled in the event loop turn in which the connection was established: uvloop
            # closes the socket without calling `connection_lost`.
            connection.drop()
            self.on_closed(connection)

    # Descriptors.

    def _has_descriptor(self) -> bool:
        """Return whether a descriptor is available for a new connection.

        The connect opens its descriptor one turn of the event loop later, when the descriptors of
        closing connections are free.
        """
        if self.descriptors_coming_free() <= 0:
            self.drop_oldest_idle()
        # Silent clients may hold the descriptors that a request needs; one of their connections is
        # closed in that case.
        return self.descriptors_coming_free() > 0 or self.close_silent_client()

    def descriptors_coming_free(self) -> int:
        """Return how many descriptors are free once all dropped connections have closed."""
        return self._descriptors.spare() + len(self._closing)

    def drop_oldest_idle(self) -> bool:
        """Close the longest idle connection to free its descriptor; False if none is idle.

        The descriptor is free in the next turn of the event loop.
        """
        for connection in self._idle:
            connection.drop()
            self._idle.pop(connection)
            connection.host.idle.remove(connection)
            return True
        return False

    # Called by connections.

    def release(self, connection: HostConnection) -> None:
        """Keep an idle connection for the next attempt.

        It is closed instead if its host is not ready, or if more descriptors are in use than
        allowed because the limit was lowered.
        """
        descriptors = self._descriptors
        max_used = descriptors.limit + len(self._closing)
        if not connection.host.ready or descriptors.used > max_used:
            connection.drop()
            return
        connection.idle_since = monotonic()
        connection.host.idle.append(connection)
        self._idle[connection] = None

    def on_dropped(self, connection: HostConnection) -> None:
        """Note that a connection is closing; its descriptor is in use until `on_closed`."""
        if connection.state is not HostConnectionState.CLOSED:
            self._closing.add(connection)

    def on_closed(self, connection: HostConnection) -> None:
        """Note that a connection has closed and its descriptor is free. Idempotent."""
        self._closing.discard(connection)
        if connection.mark_closed():
            self._descriptors.used -= 1
        if self._idle.pop(connection, connection) is None:
            connection.host.idle.remove(connection)

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call `callback` in the next iteration of the event loop."""
        self._loop.call_soon(callback)

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call `callback` after a delay; after an event loop stall, once pending input was read."""
        return self._loop.call_at(monotonic() + delay_s, self._call_or_defer, callback)

    def _call_or_defer(self, callback: Callable[[], None]) -> None:
        if self.loop_monitor.stalled():
            self.loop_monitor.defer(callback)
        else:
            callback()

    # Idle connections.

    @property
    def idle_connections(self) -> int:
        """Number of connections without a request in flight."""
        return len(self._idle)

    def retire(self, host: Host) -> None:
        """Stop using a host: withdraw its unsent attempts and close its idle connections."""
        host.ready = False
        for attempt in list(host.connecting):
            attempt.withdraw()
        host.drop_idle()

    def close_expired(self) -> None:
        """Close connections that were idle for too long, and end streams whose host is silent.

        Must be called several times per second.
        """
        for connection in list(self.streaming):
            connection.end_stream_if_silent(monotonic() - STREAM_SILENCE_S)
        idle_cutoff = monotonic() - self._idle_timeout_s
        for connection in list(self._idle):
            if connection.idle_since > idle_cutoff:
                break
            connection.drop()


def _no_client_closed() -> bool:
    return False
