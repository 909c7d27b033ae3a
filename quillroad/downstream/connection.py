"""One client connection: reads input and serves its requests one at a time.

Clients are not trusted: the size of heads and bodies and the time that a partial request, an idle
connection or an unread response may take are bounded. Input that cannot be parsed closes only the
connection that sent it. `state.py` explains the states.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING, cast

from quillroad.downstream.connection_migration import MigratableConnection
from quillroad.downstream.request_parser import (
    FREE_INPUT_BYTES,
    READ_BYTES,
    TURN_WORK,
    PendingRequest,
)
from quillroad.downstream.responses import CONTINUE
from quillroad.downstream.state import (
    ANSWER_AFTER,
    NOT_BEGUN,
    PARTIAL,
    AnswerEvent,
    AnswerState,
    ReadState,
)
from quillroad.downstream.time_limits import (
    idle_limit_s,
    receive_limit_s,
)
from quillroad.engine.abandoned_ids import table_key
from quillroad.engine.client_request import ClientRequest
from quillroad.engine.engine import Reply
from quillroad.engine.reply import REJECTED
from quillroad.engine.request_table import has_effect
from quillroad.errors import RequestTimeoutError, ShuttingDownError
from quillroad.overload.admission_queue import QueuedRequest
from quillroad.overload.fast_path_parse import preview_request
from quillroad.overload.socket_age import data_age, has_ended, is_window_short

if TYPE_CHECKING:
    from quillroad.downstream.server import Server

log = logging.getLogger("quillroad.downstream")

# Time for the end of the other process of an upgrade to be noticed. Clients may notice it first,
# and send the requests again that it had not answered.
SIBLING_END_S = 0.05
# Callbacks of the parser in which deferred input may result before the next connection's turn.
DEFERRED_WORK = 256
# Age of received data from which a disconnect of the client is checked for: a client may give up
# within 0.1 s.
DISCONNECT_CHECK_AGE_S = 0.05
# A client that leaves so soon after a response may have left before it, and not have read it.
UNREAD_RESPONSE_S = 0.1


class ClientConnection(MigratableConnection):
    """One client connection; serves pipelined requests one at a time and in order."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        super().__init__(server, sock)
        self._advancing = False
        self._has_read = False
        self._input_reserved = 0  # bytes of unparsed input that are counted in `MemoryAccount`
        # State of the request that is queued or served:
        self._queue_entry: QueuedRequest | None = None  # its entry in the admission queue
        self._began_at = 0.0  # when processing began, in monotonic time (s)
        # Bounded key of the last response's request, if that failed and may have had an effect.
        self._failed_id = ""

    # asyncio.Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and configure its write buffer."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class is no subclass
        # With a high-water mark of 0, `output_pending` is true whenever response bytes are buffered
        # in this process.
        self._transport.set_write_buffer_limits(high=0)
        if self._server.connection_limit.state(self) is None:
            self._transport.abort()  # closed for another connection during setup

    def connection_lost(self, exc: Exception | None) -> None:
        """Release everything that the connection holds and cancel its request."""
        self._transport = None
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.DISCONNECT]
        self._reserved += self._parser.close()
        self._stop_lingering()
        self._release_request()
        self._release_output()
        self._reserve_input(0)
        if self._stream is not None:
            stream = self._stream
            self._stream = None
            self._server.streams -= 1
            stream.abandon()
            if self._streamed_request is not None:
                self._server.engine.answer_abandoned(self._streamed_request)
                self._streamed_request = None
        if self._failed_id and monotonic() - self._answered_at < UNREAD_RESPONSE_S:
            self._server.engine.remember_abandoned(self._failed_id)
        self._server.mark_closed(self)
        if self._queue_entry is not None:
            self._server.admission.leave(self._queue_entry)
            self._queue_entry = None
        if self._open_request is not None:
            opened = self._open_request
            self._open_request = None
            self._server.engine.client_disconnected(opened)

    def resume_writing(self) -> None:
        """Continue after the write buffer has become empty."""
        self.output_pending = False
        self._release_output()
        if self._stream is not None:
            self._stream.resume_reading()
            return
        parser = self._parser
        if parser.state is ReadState.ENDED and not parser.backlog and self._answering in NOT_BEGUN:
            self._server.mark_leaving(self)  # its last response was written
            return
        self._advance()
        if self.idle():
            self._server.mark_resting(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next bytes of the client are read into."""
        server = self._server
        memory = server.memory
        parser = self._parser
        if parser.state is ReadState.BODY and (body_left := parser.body_left()) > READ_BYTES:
            return server.long_read_buffer[:body_left]
        return server.short_read_buffer if 2 * memory.used > memory.limit else server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse bytes from the client, or queue or reject their request without parsing."""
        data = self._server.long_read_buffer[:nbytes].tobytes()
        parser = self._parser
        if parser.state is ReadState.ENDED:
            self._discard(len(data))
            return
        # Without this, the time in which reading was paused would not count for the request.
        was_paused = self.may_have_disconnected
        self.may_have_disconnected = False
        if parser.unparsed:
            parser.append(data)
        else:
            parser.unparsed = data
            parser.read_at = monotonic()
            # The data may have waited in the kernel before the accept or while the loop was busy.
            waited = not self._has_read or was_paused or self._server.loop_monitor.late()
            if waited and self._backdate_read_time():
                return
            if (
                self._server.under_pressure()
                and self.idle(unparsed=False)
                and self._queue_or_reject_unparsed(data)
            ):
                return
        if self._answering is AnswerState.QUEUED:
            # Further input waits in the kernel until the queued request has begun.
            self._pause_reading(True)
        else:
            self._advance()

    def eof_received(self) -> bool:
        """Let the transport close after the client closed, which cancels an open request."""
        return False

    def _backdate_read_time(self) -> bool:
        """Set `read_at` to the time at which the kernel received the data.

        Deadlines count from that time. Return True if the data must not be processed in this
        iteration of the event loop.
        """
        self._has_read = True
        age_s = data_age(self._sock)
        self._parser.read_at -= age_s
        if age_s < DISCONNECT_CHECK_AGE_S:
            return False
        if has_ended(self._sock):
            # The client disconnected before its request was read: no answer can reach it.
            self.abort()
            return True
        if not self._server.under_pressure():
            # The loop was blocked, which the event loop monitor does not detect with few open
            # requests. An endpoint list that arrived meanwhile is read in the next iteration of the
            # loop: without this delay a request could go to a host that this list reports as
            # draining.
            self._server.loop.call_soon(self._advance)
            return True
        return False

    def _queue_or_reject_unparsed(self, data: bytes) -> bool:
        """Queue or reject a request without the full parser, so that rejections are cheap.

        Return False if the fast-path parse does not recognise the request or its route.
        """
        preview = preview_request(data)
        validator = self._server.validator
        route = None if preview is None else validator.route(preview.route_name)
        if preview is None or route is None:
            return False
        wait_s = validator.wait_s(route, preview.wait_ms)
        if not self._queue(self._parser.read_at, wait_s, route, validator.tenant(preview.tenant)):
            self._parser.unparsed = b""
            self._reject_unparsed(route)
        return True

    def _reject_unparsed(self, route: int) -> None:
        """Reject a request that was not passed to the parser."""
        if self._server.on_end is not None:
            self._server.on_end(route, 503)
        self._answered_at = self.last_change = monotonic()
        self._parser.completed += 1
        if self._transport is None:
            return
        self._transport.write(self._server.rejection())
        if self._server.draining:
            self._close()
        elif not self.output_pending:
            self._server.mark_resting(self)

    # Requests, one at a time.

    def _feed(self, max_work: int = TURN_WORK) -> None:
        """Parse received bytes, and pause reading while some of them are left.

        Those are parsed in a later iteration of the event loop, or when the backlog has room.
        """
        parser = self._parser
        begun = parser.begun
        parser.feed(max_work)
        if self._answering in NOT_BEGUN:
            if parser.begun != begun:
                self.last_change = monotonic()
            if parser.state in PARTIAL:
                self._server.mark_receiving(self, parser.state is ReadState.BODY)
                if parser.expects_continue() and self._transport is not None:
                    parser.continue_sent = True
                    self._transport.write(CONTINUE)
        paused = bool(parser.unparsed)
        if paused != self.reading_paused:
            self._pause_reading(paused)
        if paused or self._input_reserved:
            self._reserve_input(len(parser.unparsed) - FREE_INPUT_BYTES)
        if paused and parser.can_parse():
            self._server.input_scheduler.add(self)

    def _reserve_input(self, size: int) -> None:
        """Count `size` bytes (0 if negative) of input that are in memory and not parsed."""
        size = max(0, size)
        if size != self._input_reserved:
            self._server.memory.force(size - self._input_reserved)
            self._input_reserved = size

    def _queue(self, arrived_at: float, wait_s: float, route: int, tenant: int) -> bool:
        """Put the request in the admission queue; return False if it is rejected."""
        self._queue_entry = self._server.scheduler.queue(self, arrived_at, wait_s, route, tenant)
        if self._queue_entry is None:
            return False
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.QUEUE]
        return True

    def continue_parsing(self) -> None:
        """Parse more of the received bytes; called by the scheduler of deferred input."""
        # While reading is paused, a disconnect is not noticed.
        if self._transport is not None and not self.has_disconnected():
            self._advance(DEFERRED_WORK)

    def _advance(self, max_work: int = TURN_WORK) -> None:
        """Queue the next request once the previous response has left this process.

        Only one request is queued at a time, so that other connections are served in between.
        """
        if self._advancing:
            return
        self._advancing = True
        try:
            self._feed(max_work)
            backlog = self._parser.backlog
            if not backlog or self._answering is not AnswerState.IDLE or self.output_pending:
                return
            request = backlog[0].request
            if request is None:
                self._serve(backlog.popleft())
            elif not self._queue(
                request.received_at,
                request.deadline_at - request.received_at,
                request.route,
                request.tenant,
            ):
                self._serve(backlog.popleft(), rejected=True)
        finally:
            self._advancing = False

    def begin(self) -> None:
        """Begin the queued request; called by the scheduler."""
        if self._transport is None:
            return
        self._queue_entry = None
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.DISPATCH]
        if self._parser.unparsed:
            self._advancing = True
            try:
                self._feed()
            finally:
                self._advancing = False
        if self._parser.backlog:
            self._serve(self._parser.backlog.popleft())

    def _serve(self, pending: PendingRequest, rejected: bool = False) -> None:
        """Begin a request; from here on exactly one answer to it is due."""
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.SERVE]
        self._keep_alive = pending.keep_alive
        self._version = pending.version
        self._reserved = pending.reserved
        self._route = pending.route
        request = pending.request
        if request is None:
            self._answer_error(pending)
            return
        if rejected:
            self._reject()
            return
        sibling_ids = self._server.engine.sibling_request_ids
        if sibling_ids and request.id in sibling_ids:
            self._server.loop.call_later(SIBLING_END_S, self._accept, request)
        else:
            self._accept(request)

    def _accept(self, request: ClientRequest) -> None:
        """Pass a request to the engine, or answer it if it cannot be sent any more."""
        if self._answering is AnswerState.CLOSED:
            return  # the client has disconnected meanwhile
        engine = self._server.engine
        if engine.is_repeated(request):
            log.info("400: Request-Id of a request that may have been executed")
            self.answer(Reply(400))
            return
        arrived_at = request.received_at
        self._began_at = monotonic()
        # The request may have waited in the kernel or behind earlier responses for so long that no
        # answer can arrive before its deadline.
        deadline_at = request.deadline_at
        if engine.shutdown.begun:
            deadline_at = min(deadline_at, engine.shutdown.last_answer_at)
        if self._server.admission.cannot_meet_deadline(
            self._began_at, arrived_at, deadline_at - arrived_at, request.route
        ):
            self._reject()
            return
        try:
            opened = engine.accept(request, partial(self._request_finished, request), self)
        except Exception:  # a failed request must not affect the others
            log.exception("request %s: the engine raised an exception", request.id)
            if self._answering is AnswerState.SERVING:
                self.answer(Reply(500))
            return
        if self._answering is AnswerState.SERVING:  # otherwise `accept` has already answered it
            self._open_request = opened
            if self._reserved:
                # The attempts need the body, and may go on after the client was answered.
                engine.release_when_removed(
                    opened, partial(self._server.memory.give, self._reserved)
                )
                self._reserved = 0

    def _reject(self) -> None:
        self.answer(Reply(503, None, self._server.retry_after_us))

    def _answer_error(self, pending: PendingRequest) -> None:
        """Answer a request that failed to parse or validate, or the health check."""
        if pending.status >= 400 and pending.status != 503:
            log.info("%d: %s", pending.status, pending.reason)
        retry_after_us = self._server.retry_after_us if pending.route >= 0 else 0
        self.answer(Reply(pending.status, None, retry_after_us))

    def _request_finished(self, request: ClientRequest, reply: Reply) -> None:
        """Answer a request that the engine accepted."""
        self._failed_id = ""
        if reply.answer is not None:
            self._server.admission.host_answered(request.route, monotonic() - self._began_at)
        elif reply.status != REJECTED and has_effect(request):
            self._failed_id = table_key(request.id)
        self.answer(reply)

    def enforce_time_limits(self, now: float) -> None:
        """End a request or connection past its time limit; silent ones would use up descriptors."""
        parser = self._parser
        waited_s = now - self.last_change
        if self.output_pending and self._transport is not None:
            self._enforce_output_limit(self._transport, now)
        elif parser.state in PARTIAL and self._answering in NOT_BEGUN:
            longest_body = self._server.validator.longest_body
            if waited_s > receive_limit_s(longest_body, parser.state, parser.size):
                parser.fail(RequestTimeoutError())
                self._advance()
        elif self.idle() and waited_s > idle_limit_s(parser.completed) and not self.unread():
            self.abort()  # with unread bytes it is the event loop that is late

    # The end of the process.

    def reject_partial_request(self) -> None:
        """Reject a request that was received in part; earlier ones are answered first."""
        if self._parser.state in PARTIAL and self._answering in NOT_BEGUN:
            self._parser.fail(ShuttingDownError())
            self._advance()

    def has_unanswered(self) -> bool:
        """Whether a received request is unanswered, and earlier responses are written."""
        if self._answering in (AnswerState.QUEUED, AnswerState.SERVING):
            return True
        waits = bool(self._parser.backlog) and self._answering is AnswerState.IDLE
        return waits and not self.output_pending

    def reject_waiting_request(self) -> None:
        """Reject a received request that waits to be begun, or for the end of a sibling process."""
        if self._queue_entry is not None:
            self._server.admission.leave(self._queue_entry)
            self.begin()
        elif self._answering is AnswerState.SERVING and self._open_request is None:
            self._reject()

    # Hooks of the base classes.

    def _response_written(self, keep_alive: bool, has_next: bool) -> None:
        if not keep_alive:
            self._close()
        elif has_next:
            self._server.input_scheduler.add(self)
        elif not self.output_pending:
            self._server.mark_resting(self)

    def _mark_leaving(self) -> None:
        self._server.mark_leaving(self)

    def _mark_closing(self) -> None:
        self._server.mark_closing(self)

    def _mark_busy(self) -> None:
        self._server.mark_busy(self)

    def _mark_resting(self) -> None:
        self._server.mark_resting(self)

    # Queries of the server and the engine.

    def may_have_left(self) -> bool:
        """Whether the client may have disconnected without a sign of it.

        Behind input that exceeds the receive window, the end of the connection is still at the
        client's kernel. A client that had left by the last answer would have reset the connection.
        """
        return (
            self.reading_paused
            and monotonic() - self._answered_at > DISCONNECT_CHECK_AGE_S
            and is_window_short(self._sock)
        )

    def may_close(self) -> bool:
        """Whether it is idle, with no response bytes to write and no received bytes to read."""
        return self.idle() and not self.output_pending and not self.unread()

    def unread(self) -> bool:
        """Whether there are received bytes that this process has not read, or not parsed."""
        if self._parser.unparsed:
            return True
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False
