"""One connection to a host: carries one request at a time, or is idle.

An HTTP client library would resend requests after a broken keep-alive connection on its own, and
would hide whether the last byte was written. Either could execute a request twice, so the upstream
side implements HTTP itself.
"""

from __future__ import annotations

import asyncio
import select
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial
from time import monotonic
from typing import cast

from quillroad.balancing.events import Outcome
from quillroad.http_answer import Answer, StreamedBody
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.overload.heap import fix_mmap_threshold
from quillroad.overload.memory_account import MemoryAccount
from quillroad.overload.socket_age import data_age
from quillroad.upstream.attempt import Attempt
from quillroad.upstream.connection_state import (
    TRANSITIONS,
    HostConnectionEvent,
    HostConnectionState,
)
from quillroad.upstream.host import Host
from quillroad.upstream.outcome import ATTEMPT_RESULTS, AttemptEnd, outcome_of_answer
from quillroad.upstream.quick_ack import BorrowedSocket
from quillroad.upstream.response_parser import ResponseParser, ResponsePhase

# Seconds after the head of an answer of unknown length until it is streamed to the client if it is
# not complete. A client must not wait for the end of a slow stream. Short answers, which can still
# be retried while they are buffered, are nearly always complete by then.
UNKNOWN_LENGTH_WAIT_S = 0.025
# Bytes read at a time: what a stream holds while its client does not read.
READ_BYTES = 16 * 1024
# Callbacks of the parser in which one read may result before other connections are read.
TURN_WORK = 256
# Memory of a buffered answer that is not reserved in the account.
FREE_ANSWER_BYTES = 2048

_AFTER_REQUEST_SENT = TRANSITIONS[HostConnectionEvent.REQUEST_SENT]
_AFTER_ANSWER_COMPLETE = TRANSITIONS[HostConnectionEvent.ANSWER_COMPLETE]


class ConnectionOwner(ABC):
    """The interface of the connection pool that its connections use.

    `connect_timeout_s` is the connect timeout of the settings. It also limits the wait for the rest
    of a partial answer where hosts write an answer at once, which is where all answers are short.
    `max_body_bytes` limits the body of an answer, `memory` accounts for bodies that are buffered,
    `read_buffer` is what its connections read into. `requests_written` counts requests whose last
    byte was handed to the kernel.
    """

    loop_monitor: EventLoopMonitor
    connect_timeout_s: float
    max_body_bytes: int
    memory: MemoryAccount
    read_buffer: memoryview
    requests_written: int
    streaming: set[HostConnection]

    @abstractmethod
    def release(self, connection: HostConnection) -> None:
        """Return an idle connection, which can carry another request, to the pool."""

    @abstractmethod
    def on_dropped(self, connection: HostConnection) -> None:
        """Note that a connection is closing; its descriptor is in use until `on_closed`."""

    @abstractmethod
    def on_closed(self, connection: HostConnection) -> None:
        """Note that a connection has closed and its descriptor is free. Idempotent."""

    @abstractmethod
    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call `callback` in the next iteration of the event loop."""

    @abstractmethod
    def call_after(self, delay_s: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call `callback` after a delay; after an event loop stall, once pending input was read."""


class HostConnection(asyncio.BufferedProtocol):
    """One connection to a host."""

    def __init__(self, owner: ConnectionOwner, host: Host) -> None:
        self.host = host
        self.state = HostConnectionState.CONNECTING
        self.attempt: Attempt | None = None  # the attempt in flight on this connection
        self.transport: asyncio.Transport | None = None  # None: not connected yet, or closed
        self.idle_since = 0.0  # seconds of the monotonic clock
        self._owner = owner
        self._has_unsent_bytes = False  # part of the request is still in the write buffer
        self._stream_body: StreamedBody | None = None  # the body of the answer being streamed
        self._response = ResponseParser(owner.max_body_bytes)
        self._poll = select.poll()
        self._socket: BorrowedSocket | None = None  # of the transport, while it is open
        self._partial_answer_timer: asyncio.TimerHandle | None = None
        self._reserved = 0  # bytes of the answer that are counted in `MemoryAccount`
        self._throttled = False  # reading is paused until the next iteration of the event loop

    # Opening, sending, closing.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Callback of the transport: the connection is established."""
        self.state = TRANSITIONS[HostConnectionEvent.CONNECTED][self.state]
        # The cast is needed because uvloop's transports do not inherit from asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        # With a high-water mark of 0, `pause_writing` means that the write buffer holds bytes, and
        # `resume_writing` that the kernel has taken the last byte. This distinguishes a request
        # that cannot have been executed from one that may have been.
        self.transport.set_write_buffer_limits(high=0)
        descriptor = transport.get_extra_info("socket").fileno()
        self._poll.register(descriptor, select.POLLIN)
        self._socket = BorrowedSocket(descriptor)

    def pause_writing(self) -> None:
        """Callback of the transport: part of the request is still in the write buffer."""
        self._has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Callback of the transport: the kernel has taken the last byte of the request."""
        self._has_unsent_bytes = False
        self._owner.requests_written += 1

    def send(self, attempt: Attempt, request: bytes, body: bytes | bytearray) -> None:
        """Send the request of an attempt: its head with any short body, and then a long body."""
        assert self.transport is not None
        self.state = _AFTER_REQUEST_SENT[self.state]
        self._response.reset()
        self.attempt = attempt
        attempt.connection = self
        self.transport.write(request)
        if body:
            self.transport.write(body)
        if not self._has_unsent_bytes:
            self._owner.requests_written += 1

    def is_closing(self) -> bool:
        """Return whether the connection is closed or closing, by either side."""
        return self.transport is None or self.transport.is_closing()

    def is_usable(self) -> bool:
        """Return whether an idle connection can send a request; close it if it has unread data."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.has_unread_data():
            self.drop()
            return False
        return True

    def has_unread_data(self) -> bool:
        """Return whether unread bytes, or an end of file, are waiting in the socket.

        On an idle connection this means that the host closed it, or sent surplus bytes after the
        previous answer, which would be taken for the next answer.
        """
        return bool(self._poll.poll(0))

    def drop(self) -> None:
        """Close the connection at once and discard unsent bytes."""
        if self.transport is not None:
            self.state = TRANSITIONS[HostConnectionEvent.DROPPED][self.state]
            self._owner.on_dropped(self)
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Callback of the transport: the connection was closed."""
        self._owner.on_closed(self)
        self._stop_partial_answer_timer()
        self._response.close()
        self._release_memory()
        if self._stream_body is not None:
            self._end_stream(False)
        if self.attempt is not None:
            self.attempt.end(
                AttemptEnd.LOST_BEFORE_LAST_BYTE
                if self._has_unsent_bytes
                else AttemptEnd.LOST_AFTER_LAST_BYTE
            )

    def mark_closed(self) -> bool:
        """Set the state to CLOSED; False if it already was. Called by the owner's `on_closed`."""
        self.transport = None
        self._socket = None
        already_closed = self.state is HostConnectionState.CLOSED
        self.state = TRANSITIONS[HostConnectionEvent.LOST][self.state]
        return not already_closed

    # Reading an answer.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Callback of the transport: return the buffer that the next bytes are read into."""
        return self._owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Callback of the transport: bytes were read into the buffer."""
        work_before = self._response.work
        self.data_received(self._owner.read_buffer[:nbytes].tobytes())
        if self._response.work - work_before > TURN_WORK:
            self._throttle()

    def _throttle(self) -> None:
        """Read no more in this iteration of the event loop.

        Without this, an answer in very small chunks would delay everything else: the event loop
        reads a connection dozens of times before it turns to the next one.
        """
        if not self._throttled and self.transport is not None and not self.is_closing():
            self._throttled = True
            self.transport.pause_reading()
            self._owner.call_soon(self._end_throttle)

    def _end_throttle(self) -> None:
        self._throttled = False
        paused = self._stream_body is not None and self._stream_body.paused
        if not paused and self.transport is not None and not self.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Handle bytes that the host sent."""
        if self._stream_body is not None:
            self._forward_stream_data(self._stream_body, data)
            return
        attempt = self.attempt
        if attempt is None:
            self.drop()  # unrequested bytes would be taken for the next answer
            return
        self.host.last_heard_at = received_at = monotonic()
        if self._owner.loop_monitor.late() and self.transport is not None:
            # Use the time at which the answer reached the kernel, not the time at which the late
            # event loop read it.
            received_at -= data_age(self.transport.get_extra_info("socket"))
        response = self._response
        response.feed(data)
        if response.phase is ResponsePhase.COMPLETE:
            self._on_answer_complete(attempt, received_at)
        elif response.error is not None:
            self._fail_unreadable_answer()
        elif response.is_long() or (
            len(response.body) > FREE_ANSWER_BYTES and not self._reserve_answer()
        ):
            self._start_stream(attempt, received_at)
        elif response.is_partial():
            self._limit_wait_for_rest(attempt, received_at)
        else:
            self._stop_partial_answer_timer()  # the host is working on the final answer

    def _reserve_answer(self) -> bool:
        """Reserve memory for what was received of the answer; return False if there is none.

        It is then streamed, so that no more of it is read than its client takes.
        """
        size = len(self._response.body) - FREE_ANSWER_BYTES - self._reserved
        if size <= 0:
            return True
        if not self._owner.memory.take(size):
            return False
        self._reserved += size
        return True

    def _release_memory(self) -> None:
        if self._reserved:
            self._owner.memory.give(self._reserved)
            self._reserved = 0

    def _limit_wait_for_rest(self, attempt: Attempt, received_at: float) -> None:
        """Limit the wait for the rest of a partial answer.

        Where long answers are allowed, hosts may pause for seconds anywhere in an answer. An answer
        of unknown length is then streamed from its head on, since no later byte would tell its
        length; any other one is waited for until its attempt times out.

        Elsewhere hosts write an answer at once, so a rest that does not arrive within the connect
        timeout after the latest piece is not expected at all. Without that limit the request would
        wait until its deadline.
        """
        if self._response.has_unknown_length():
            if self._partial_answer_timer is None:
                self._partial_answer_timer = self._owner.call_after(
                    UNKNOWN_LENGTH_WAIT_S, partial(self._start_stream, attempt, received_at)
                )
            return
        if self._response.may_be_long():
            return
        self._stop_partial_answer_timer()
        self._partial_answer_timer = self._owner.call_after(
            self._owner.connect_timeout_s, self._fail_unreadable_answer
        )

    def _stop_partial_answer_timer(self) -> None:
        if self._partial_answer_timer is not None:
            self._partial_answer_timer.cancel()
            self._partial_answer_timer = None

    def _on_answer_complete(self, attempt: Attempt, received_at: float) -> None:
        """Finish the attempt with a complete answer, received at monotonic time `received_at`."""
        if self._partial_answer_timer is not None:
            self._stop_partial_answer_timer()
        response = self._response
        outcome = outcome_of_answer(response.status, response.headers)
        answer = None
        if outcome is Outcome.SUCCESS:
            answer = Answer(response.take_body(), response.headers.get(b"content-type"))
        self.attempt = None
        attempt.connection = None
        self.state = _AFTER_ANSWER_COMPLETE[self.state]
        self._release_or_drop()
        attempt.finish(outcome, answer, received_at)
        if self._reserved:
            self._release_memory()

    def _release_or_drop(self) -> None:
        """After a complete answer, return the connection to the pool, or close it.

        The answer is acknowledged first: only then does a second answer, written right after it,
        leave the host and reach this connection while it is idle.
        """
        if (
            self._socket is not None
            and self._response.keep_alive
            and self._response.error is None
            and not self._has_unsent_bytes
        ):
            self._socket.acknowledge_received()
            self._owner.release(self)
        else:
            self.drop()

    def _fail_unreadable_answer(self) -> None:
        """Fail the attempt and close the connection: its answer is invalid or was not completed."""
        if self._response.phase is ResponsePhase.COMPLETE:
            return  # the rest arrived while this call was deferred during an event loop stall
        self._stop_partial_answer_timer()
        if self.attempt is not None:
            self.attempt.end(AttemptEnd.ANSWER_UNREADABLE)
        self.drop()

    def eof_received(self) -> bool:
        """Callback of the transport: the host sent an end of file; the transport then closes.

        This completes an answer whose head declares that it ends when the connection closes.
        """
        if self._response.finish_at_close():
            if self._stream_body is not None:
                self._end_stream(True)
            elif self.attempt is not None:
                self._on_answer_complete(self.attempt, monotonic())
        return False

    # Long answers: the attempt finishes with the first bytes, and the rest is streamed.

    def _start_stream(self, attempt: Attempt, received_at: float) -> None:
        self._stop_partial_answer_timer()
        response = self._response
        if attempt is not self.attempt or response.phase is ResponsePhase.COMPLETE:
            return  # the rest arrived while this call was deferred during an event loop stall
        fix_mmap_threshold()
        self.state = TRANSITIONS[HostConnectionEvent.STREAM_STARTED][self.state]
        response.streamed = True
        streamed_body = StreamedBody(self)
        self._stream_body = streamed_body
        self._owner.streaming.add(self)
        content_type = response.headers.get(b"content-type")
        answer = Answer(response.take_body(), content_type, streamed_body, response.body_length)
        self.attempt = None
        attempt.connection = None
        attempt.finish(ATTEMPT_RESULTS[AttemptEnd.ANSWER_200].outcome, answer, received_at)
        self._release_memory()
        if streamed_body.on_end is None:  # the client was answered or has disconnected
            self.abandon()

    def _forward_stream_data(self, streamed_body: StreamedBody, data: bytes) -> None:
        """Forward received bytes of a streamed answer."""
        self.host.last_heard_at = monotonic()
        self._response.feed(data)
        body = self._response.take_body()
        if body:
            streamed_body.deliver(body)
        if self._stream_body is None:
            return  # the receiver of the bytes abandoned the stream
        if self._response.phase is ResponsePhase.COMPLETE:
            self._end_stream(True)
        elif self._response.error is not None:
            self._end_stream(False)

    def _end_stream(self, complete: bool) -> None:
        streamed_body = self._stream_body
        self._stream_body = None
        self._owner.streaming.discard(self)
        self.state = TRANSITIONS[HostConnectionEvent.STREAM_ENDED][self.state]
        if complete and not self.is_closing():
            if streamed_body is not None:
                # The last bytes may have paused reading; the next answer would never be read.
                streamed_body.resume_reading()
            self._release_or_drop()
        else:
            self.drop()
        if streamed_body is not None:
            streamed_body.finish(complete)

    def end_stream_if_silent(self, silent_since: float) -> None:
        """End a streamed answer if the host sent nothing since monotonic time `silent_since`.

        A stream whose reading is paused by this side is not ended.
        """
        streamed_body = self._stream_body
        if (
            streamed_body is not None
            and not streamed_body.paused
            and streamed_body.last_progress_at < silent_since
        ):
            self._end_stream(False)

    def pause_reading(self) -> bool:
        """Pause reading while the receiver of the body is full; False if already closed."""
        if self.transport is None:
            return False
        self.transport.pause_reading()
        return True

    def resume_reading(self) -> bool:
        """Resume reading; False if the connection is already closed."""
        if self.transport is None:
            return False
        if not self._throttled:
            self.transport.resume_reading()
        return True

    def abandon(self) -> None:
        """Close the connection because the rest of the streamed body is no longer needed."""
        self._stream_body = None
        self._owner.streaming.discard(self)
        self.drop()
