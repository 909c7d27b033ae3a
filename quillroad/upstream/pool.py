"""The pool: which connection an attempt gets, idle connections, descriptors, closing.

One attempt at a time uses a connection, and each ends with its exact `Outcome` (see `outcome.py`).
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from functools import partial
from time import monotonic

from quillroad.config import SHORT_BODY, Descriptors
from quillroad.http_answer import HEAD_LIMIT_BYTES, Answer, StreamedBody
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.upstream.attempt import Attempt, Done
from quillroad.upstream.connection import ConnectionOwner, HostConnection
from quillroad.upstream.connection_state import HostConnectionState
from quillroad.upstream.host import Host
from quillroad.upstream.outcome import AttemptEnd

__all__ = [
    "HEAD_LIMIT_BYTES",
    "SETTLE_S",
    "Answer",
    "Attempt",
    "Done",
    "Host",
    "HostConnection",
    "StreamedBody",
    "Upstream",
]

# Seconds after an answer before its connection is used again. A faulty host may write a second
# answer right behind the first; within this time it arrives at an idle connection, which is then
# closed, instead of being given to the next client.
SETTLE_S = 0.02
# Fraction of the hosts' idle timeout after which this side closes an idle connection. If the host
# closed it first, a request could cross that close on the wire and would be lost.
IDLE_TIMEOUT_FRACTION = 0.5
# Seconds without a byte of a long answer after which it is ended. Longer than a host that still
# answers pauses between two writes, and short enough that a vanished host does not hold its client
# for minutes.
STREAM_SILENCE_S = 10.0


class Upstream(ConnectionOwner):
    """Starts attempts on pooled connections.

    `connect_timeout_s` bounds each connect, `idle_s` is the hosts' own idle timeout, both in
    seconds; `longest_body_bytes` is the longest body of an answer that is passed on.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        connect_timeout_s: float,
        idle_s: float,
        loop_monitor: EventLoopMonitor,
        longest_body_bytes: int = SHORT_BODY,
    ) -> None:
        self.loop_monitor = loop_monitor
        self.connect_timeout_s = connect_timeout_s
        self.longest_body_bytes = longest_body_bytes
        self.streaming: set[HostConnection] = set()  # that bring long answers
        self.connects = 0  # begun since the start
        self.failed_connects = 0  # since the start
        self.requests_written = 0  # attempts whose last byte the kernel has taken, since the start
        # Ends one client connection where those hold more than their part of the descriptors.
        self.clients_yield: Callable[[], bool] = _no_client_yields
        self._loop = loop
        self._descriptors = descriptors
        self._idle_timeout_s = idle_s * IDLE_TIMEOUT_FRACTION
        self._tasks: set[asyncio.Task[None]] = set()  # connects under way
        self._idle: dict[HostConnection, None] = {}  # all hosts' idle ones, the longest idle first
        self._closing: set[HostConnection] = set()  # dropped, and not closed yet

    # Which connection an attempt gets.

    def start(
        self,
        host: Host,
        request: bytes,
        timeout_s: float,
        done: Done,
        body: bytes | bytearray = b"",
        send_by: float = math.inf,
    ) -> Attempt:
        """Begin an attempt, of a head (with a short body in it) and a long body.

        It gets an idle connection or a new one. On one that comes up after the monotonic time
        `send_by` nothing is sent. Without a free descriptor the attempt is withdrawn.
        """
        attempt = Attempt(
            self._loop, self.loop_monitor, host, timeout_s, done, self.connect_timeout_s, send_by
        )
        # The most recently used one that has settled: it is the least likely to be closing by now.
        settled = attempt.started_at - SETTLE_S
        for connection in reversed(host.idle.copy()):
            if connection.idle_since > settled:
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
        attempt.task.add_done_callback(partial(self._connect_ended, connection))

    async def _connect(
        self, attempt: Attempt, connection: HostConnection, request: bytes, body: bytes | bytearray
    ) -> None:
        host = attempt.host
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self._loop.create_connection(lambda: connection, *host.address)
        except TimeoutError:
            # After a stall of this process nobody knows whether the host would have been there in
            # time.
            stalled = self.loop_monitor.stalled()
            attempt.end(AttemptEnd.CONNECT_UNCLEAR if stalled else AttemptEnd.CONNECT_FAILED)
            return
        except OSError:
            attempt.end(AttemptEnd.CONNECT_FAILED)
            return
        host.connecting.discard(attempt)
        if attempt.is_over or not host.ready or monotonic() > attempt.send_by:
            connection.drop()
            attempt.end(AttemptEnd.CONNECTED_TOO_LATE)
        elif connection.is_closing():
            attempt.end(AttemptEnd.CONNECT_FAILED)
        else:
            connection.send(attempt, request, body)

    def _connect_ended(self, connection: HostConnection, task: asyncio.Task[None]) -> None:
        """Give back the descriptor of a connect that failed.

        In a callback of the task: one cancelled before its first step runs no line of its own, and
        its descriptor would count for ever.
        """
        self._tasks.discard(task)
        if connection.transport is None:
            self.failed_connects += 1
            self.forget(connection)
        elif task.cancelled():
            # Cancelled in the turn in which it came up: uvloop closes the socket and tells nobody.
            connection.drop()
            self.forget(connection)

    # Descriptors.

    def _has_descriptor(self) -> bool:
        """Whether a connect may begin.

        It takes its descriptor a turn of the event loop later, when those that are closing are
        free.
        """
        if self.descriptors_coming_free() <= 0:
            self.drop_oldest_idle()
        # Clients that send nothing may hold what a request needs: one of theirs is closed for it.
        return self.descriptors_coming_free() > 0 or self.clients_yield()

    def descriptors_coming_free(self) -> int:
        """Descriptors that are free once all dropped connections have closed."""
        return self._descriptors.spare() + len(self._closing)

    def drop_oldest_idle(self) -> bool:
        """Begin to free one descriptor for someone who needs it; False where no connection is idle.

        It is free in the next turn of the event loop.
        """
        for connection in self._idle:
            connection.drop()
            self._idle.pop(connection)
            connection.host.idle.remove(connection)
            return True
        return False

    # What connections tell.

    def release(self, connection: HostConnection) -> None:
        """Keep an idle connection for the next attempt.

        Unless its host takes none, or there are more than there may be since their limit was
        lowered.
        """
        descriptors = self._descriptors
        most = descriptors.limit + len(self._closing)
        if not connection.host.ready or descriptors.used > most:
            connection.drop()
            return
        connection.idle_since = monotonic()
        connection.host.idle.append(connection)
        self._idle[connection] = None

    def on_dropped(self, connection: HostConnection) -> None:
        """Note that a connection is about to close; its descriptor is in use until `forget`."""
        if connection.state is not HostConnectionState.CLOSED:
            self._closing.add(connection)

    def forget(self, connection: HostConnection) -> None:
        """Note that a connection has ended: its descriptor is free. May be called again."""
        self._closing.discard(connection)
        if connection.on_lost():
            self._descriptors.used -= 1
        if self._idle.pop(connection, connection) is None:
            connection.host.idle.remove(connection)

    def call_after(self, delay_s: float, act: Callable[[], None]) -> asyncio.TimerHandle:
        """Call after so many seconds; after a stall of this process when what came is read."""
        return self._loop.call_at(monotonic() + delay_s, self._unless_stalled, act)

    def _unless_stalled(self, act: Callable[[], None]) -> None:
        if self.loop_monitor.stalled():
            self.loop_monitor.defer(act)
        else:
            act()

    # Idle connections.

    @property
    def idle_connections(self) -> int:
        """Connections that carry no request."""
        return len(self._idle)

    def retire(self, host: Host) -> None:
        """The host drains or is gone: attempts with no byte sent yet are withdrawn."""
        host.ready = False
        for attempt in list(host.connecting):
            attempt.withdraw()
        host.drop_idle()

    def close_expired(self) -> None:
        """Close what has been idle for long, and end long answers that bring nothing any more.

        To be called several times a second.
        """
        for connection in list(self.streaming):
            connection.end_stream_if_silent(monotonic() - STREAM_SILENCE_S)
        oldest = monotonic() - self._idle_timeout_s
        for connection in list(self._idle):
            if connection.idle_since > oldest:
                break
            connection.drop()


def _no_client_yields() -> bool:
    return False
