"""One connection to a host: carries one request at a time, or is idle.

An HTTP client library would resend on a broken kept-alive connection by itself and hide whether the
last byte was written. Either could run a request twice, so the upstream side speaks HTTP itself.
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
from quillroad.overload.socket_age import data_age
from quillroad.upstream.attempt import Attempt
from quillroad.upstream.connection_state import (
    TRANSITIONS,
    HostConnectionEvent,
    HostConnectionState,
)
from quillroad.upstream.host import Host
from quillroad.upstream.outcome import RESULTS, AttemptEnd, outcome_of_answer
from quillroad.upstream.response_parser import ResponseParser, ResponsePhase

# An answer that does not tell its length is passed on as it comes if it is not complete this long,
# in seconds, after its first bytes: a client must not wait for a slow stream's end, and short
# answers, which can still be retried while they are held here, are nearly always complete by then.
UNKNOWN_LENGTH_WAIT_S = 0.025


_AFTER_REQUEST_SENT = TRANSITIONS[HostConnectionEvent.REQUEST_SENT]
_AFTER_ANSWER_COMPLETE = TRANSITIONS[HostConnectionEvent.ANSWER_COMPLETE]


class ConnectionOwner(ABC):
    """What a connection needs of the pool that owns it.

    `connect_timeout_s` is the settings' own measure of a network that is stuck;
    `longest_body_bytes` is what an answer's body may have; `requests_written` counts requests whose
    last byte the kernel has taken.
    """

    loop_monitor: EventLoopMonitor
    connect_timeout_s: float
    longest_body_bytes: int
    requests_written: int
    streaming: set[HostConnection]

    @abstractmethod
    def release(self, connection: HostConnection) -> None:
        """The connection is idle and can carry another request."""

    @abstractmethod
    def on_dropped(self, connection: HostConnection) -> None:
        """The connection is about to close; its descriptor is in use until `forget`."""

    @abstractmethod
    def forget(self, connection: HostConnection) -> None:
        """The connection has ended, and its descriptor is free. May be called again."""

    @abstractmethod
    def call_after(self, delay_s: float, act: Callable[[], None]) -> asyncio.TimerHandle:
        """Call after so many seconds; after a stall of this process when what came is read."""


class HostConnection(asyncio.Protocol):
    """One connection to a host."""

    def __init__(self, owner: ConnectionOwner, host: Host) -> None:
        self.host = host
        self.state = HostConnectionState.CONNECTING
        self.attempt: Attempt | None = None  # that it carries
        self.transport: asyncio.Transport | None = None  # None: not up yet, or lost
        self.idle_since = 0.0  # seconds of the monotonic clock
        self._owner = owner
        self._unsent = False  # bytes of the request are still in this process
        self._stream_body: StreamedBody | None = None  # of the long answer that is coming in
        self._response = ResponseParser(owner.longest_body_bytes)
        self._poll = select.poll()
        self._partial_answer_timer: asyncio.TimerHandle | None = None

    # Opening, sending, closing.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Callback of the transport: the connection is up."""
        self.state = TRANSITIONS[HostConnectionEvent.CONNECTED][self.state]
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        # With the marks at 0 `pause_writing` means "bytes are left in this process" and
        # `resume_writing` "the kernel has the last byte". That tells a request that cannot have run
        # from one that may have.
        self.transport.set_write_buffer_limits(high=0)
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def pause_writing(self) -> None:
        """Callback of the transport: bytes of the request are left in this process."""
        self._unsent = True

    def resume_writing(self) -> None:
        """Callback of the transport: the kernel has the request's last byte."""
        self._unsent = False
        self._owner.requests_written += 1

    def send(self, attempt: Attempt, request: bytes, body: bytes | bytearray) -> None:
        """Send an attempt's request: its head, with a short body in it, and a long body."""
        assert self.transport is not None
        self.state = _AFTER_REQUEST_SENT[self.state]
        self._response.reset()
        self.attempt = attempt
        attempt.connection = self
        self.transport.write(request)
        if body:
            self.transport.write(body)
        if not self._unsent:
            self._owner.requests_written += 1

    def is_closing(self) -> bool:
        """Whether it has ended or is about to, by either side."""
        return self.transport is None or self.transport.is_closing()

    def is_usable(self) -> bool:
        """Whether an idle connection can take a request; closes it where it brings bytes."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.has_unread_data():
            self.drop()
            return False
        return True

    def has_unread_data(self) -> bool:
        """Whether bytes, or the end, have come that this process has not read yet.

        That is a close, or surplus of the answer before, which would be taken for the next one's.
        """
        return bool(self._poll.poll(0))

    def drop(self) -> None:
        """Close, also with bytes unsent."""
        if self.transport is not None:
            self.state = TRANSITIONS[HostConnectionEvent.DROPPED][self.state]
            self._owner.on_dropped(self)
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Callback of the transport: the connection has ended."""
        self._owner.forget(self)
        self._stop_partial_answer_timer()
        self._response.close()
        if self._stream_body is not None:
            self._end_stream(False)
        if self.attempt is not None:
            self.attempt.end(
                AttemptEnd.LOST_BEFORE_LAST_BYTE
                if self._unsent
                else AttemptEnd.LOST_AFTER_LAST_BYTE
            )

    def on_lost(self) -> bool:
        """Note that it has ended; False where that was known. Called by the owner's `forget`."""
        self.transport = None
        known = self.state is HostConnectionState.CLOSED
        self.state = TRANSITIONS[HostConnectionEvent.LOST][self.state]
        return not known

    # Reading an answer.

    def data_received(self, data: bytes) -> None:
        """Callback of the transport: bytes from the host."""
        if self._stream_body is not None:
            self._stream(self._stream_body, data)
            return
        attempt = self.attempt
        if attempt is None:
            self.drop()  # nothing was asked for: the next answer could not be told from these bytes
            return
        self.host.last_heard_at = at = monotonic()
        if self._owner.loop_monitor.late() and self.transport is not None:
            # The answer counts from when it came, not from when this process got round to reading
            # it.
            at -= data_age(self.transport.get_extra_info("socket"))
        response = self._response
        response.feed(data)
        if response.phase is ResponsePhase.COMPLETE:
            self._finish_answer(attempt, at)
        elif response.error is not None:
            self._fail_unreadable()
        elif response.is_long():
            self._start_stream(attempt, at)
        elif response.is_partial():
            self._wait_for_more(attempt, at)

    def _wait_for_more(self, attempt: Attempt, at: float) -> None:
        """Bound the wait for the rest of an answer of which a part has come.

        Hosts write an answer at once: a rest that does not follow within a connect timeout never
        will, and without a bound its request would wait until its deadline.
        """
        self._stop_partial_answer_timer()
        if self._response.has_open_length():
            self._partial_answer_timer = self._owner.call_after(
                UNKNOWN_LENGTH_WAIT_S, partial(self._start_stream, attempt, at)
            )
        else:
            self._partial_answer_timer = self._owner.call_after(
                self._owner.connect_timeout_s, self._fail_unreadable
            )

    def _stop_partial_answer_timer(self) -> None:
        if self._partial_answer_timer is not None:
            self._partial_answer_timer.cancel()
            self._partial_answer_timer = None

    def _finish_answer(self, attempt: Attempt, at: float) -> None:
        """The answer is complete; it came at the monotonic time `at`."""
        if self._partial_answer_timer is not None:
            self._stop_partial_answer_timer()
        response = self._response
        outcome = outcome_of_answer(response.status, response.headers)
        answer = None
        if outcome is Outcome.SUCCESS:
            answer = Answer(bytes(response.body), response.headers.get(b"content-type"))
        self.attempt = None
        attempt.connection = None
        self.state = _AFTER_ANSWER_COMPLETE[self.state]
        self._release_or_drop()
        attempt.finish(outcome, answer, at)

    def _release_or_drop(self) -> None:
        """An answer is complete: keep the connection where it can carry another request."""
        if self._response.keep_alive and self._response.error is None and not self._unsent:
            self._owner.release(self)
        else:
            self.drop()

    def _fail_unreadable(self) -> None:
        """The answer cannot be read, or does not end: nothing later on here can be trusted."""
        if self._response.phase is ResponsePhase.COMPLETE:
            return  # the rest came after all, while this waited for the event loop to catch up
        self._stop_partial_answer_timer()
        if self.attempt is not None:
            self.attempt.end(AttemptEnd.ANSWER_UNREADABLE)
        self.drop()

    def eof_received(self) -> bool:
        """Callback of the transport: the host has ended its side, and the transport then closes.

        An answer whose head said that it ends so is complete.
        """
        if self._response.finish_at_close():
            if self._stream_body is not None:
                self._end_stream(True)
            elif self.attempt is not None:
                self._finish_answer(self.attempt, monotonic())
        return False

    # A long answer: the attempt is over with its first bytes, and the rest passes through as it
    # comes.

    def _start_stream(self, attempt: Attempt, at: float) -> None:
        self._stop_partial_answer_timer()
        response = self._response
        if attempt is not self.attempt or response.phase is ResponsePhase.COMPLETE:
            return  # the rest came after all, while this waited for the event loop to catch up
        fix_mmap_threshold()
        self.state = TRANSITIONS[HostConnectionEvent.STREAM_STARTED][self.state]
        response.streamed = True
        rest = StreamedBody(self)
        self._stream_body = rest
        self._owner.streaming.add(self)
        content_type = response.headers.get(b"content-type")
        answer = Answer(response.take_body(), content_type, rest, response.body_length)
        self.attempt = None
        attempt.connection = None
        attempt.finish(RESULTS[AttemptEnd.ANSWER_200].outcome, answer, at)
        if rest.on_end is None:  # nobody waits for it any more
            self.abandon()

    def _stream(self, rest: StreamedBody, data: bytes) -> None:
        """Pass on more of a long answer."""
        self.host.last_heard_at = monotonic()
        self._response.feed(data)
        body = self._response.take_body()
        if body:
            rest.deliver(body)
        if self._stream_body is None:
            return  # given up by whoever took the bytes
        if self._response.phase is ResponsePhase.COMPLETE:
            self._end_stream(True)
        elif self._response.error is not None:
            self._end_stream(False)

    def _end_stream(self, complete: bool) -> None:
        rest = self._stream_body
        self._stream_body = None
        self._owner.streaming.discard(self)
        self.state = TRANSITIONS[HostConnectionEvent.STREAM_ENDED][self.state]
        if complete and not self.is_closing():
            if rest is not None:
                # Its last bytes filled the client's side: the next answer here would go unread.
                rest.resume_reading()
            self._release_or_drop()
        else:
            self.drop()
        if rest is not None:
            rest.finish(complete)

    def end_stream_if_silent(self, oldest: float) -> None:
        """End a long answer whose host has brought nothing since the monotonic time `oldest`.

        Unless it was held back from this side.
        """
        rest = self._stream_body
        if rest is not None and not rest.paused and rest.last_progress_at < oldest:
            self._end_stream(False)

    def pause_reading(self) -> bool:
        """Read nothing for now, as the taker of the body is full; False where it has ended."""
        if self.transport is None:
            return False
        self.transport.pause_reading()
        return True

    def resume_reading(self) -> bool:
        """Read again; False where it has ended."""
        if self.transport is None:
            return False
        self.transport.resume_reading()
        return True

    def abandon(self) -> None:
        """Close: nobody wants the rest of the streamed body."""
        self._stream_body = None
        self._owner.streaming.discard(self)
        self.drop()
