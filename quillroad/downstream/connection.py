"""One client connection: what it reads, and one request after another.

Clients are not trusted: heads, bodies, half requests, idle and unread connections are all bounded,
and what cannot be read costs the connection that sent it and nothing else. The states are explained
in `state.py`.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING, cast

from quillroad.downstream.connection_migration import MigratableConnection
from quillroad.downstream.request_parser import PendingRequest
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
from quillroad.engine.engine import Reply
from quillroad.errors import RequestTimeoutError
from quillroad.overload.admission_queue import QueuedRequest
from quillroad.overload.fast_path_parse import preview_request
from quillroad.overload.socket_age import data_age, has_ended

if TYPE_CHECKING:
    from quillroad.downstream.server import Server

log = logging.getLogger("quillroad.downstream")

# Bytes that waited so long in the kernel: their client may have left since, and gives up within 0.1
# s.
AGED_S = 0.05


class ClientConnection(MigratableConnection):
    """One client connection: one request at a time, those sent ahead in order."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        super().__init__(server, sock)
        self._advancing = False
        self._read_before = False
        # Of the request that is queued or served.
        self._waiting: QueuedRequest | None = None  # its place in the queue for the core
        self._began_at = 0.0  # when the core got round to it

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The transport is up."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        # With the marks at 0 `output_pending` stands for "bytes of an answer left in this process".
        self._transport.set_write_buffer_limits(high=0)
        if self._server.connection_limit.state(self) is None:
            self._transport.abort()  # it was ended for another while it came up

    def connection_lost(self, exc: Exception | None) -> None:
        """The transport is gone: everything that was under way for the client ends."""
        self._transport = None
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.DISCONNECT]
        self._reserved += self._parser.close()
        self._release_body()
        if self._stream is not None:
            stream = self._stream
            self._stream = None
            self._server.streams -= 1
            stream.abandon()
        self._server.mark_closed(self)
        if self._waiting is not None:
            self._server.admission.leave(self._waiting)
            self._waiting = None
        if self._opened is not None:
            opened = self._opened
            self._opened = None
            self._server.engine.depart(opened)

    def resume_writing(self) -> None:
        """All of the answer has left this process."""
        self.output_pending = False
        if self._stream is not None:
            self._stream.resume_reading()
            return
        parser = self._parser
        if parser.state is ReadState.ENDED and not parser.backlog and self._answering in NOT_BEGUN:
            self._server.mark_leaving(self)  # its last answer has left
            return
        self._advance()
        if self.idle():
            self._server.mark_resting(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of the client."""
        parser = self._parser
        if parser.state is ReadState.ENDED:
            self._discard(len(data))
            return
        self.may_have_disconnected = False
        if parser.unparsed:
            parser.append(data)
        else:
            parser.unparsed = data
            parser.read_at = monotonic()
            # They may have lain in the kernel, before the accept or while the loop was busy.
            waited = not self._read_before or self._server.loop_monitor.late()
            if waited and self._settle_age():
                return
            if self._server.pressed() and self.idle(unparsed=False) and self._preview(data):
                return
        if self._answering is AnswerState.QUEUED:
            # It asks for more while it waits for its turn: that can wait in the kernel.
            self._pause_reading(True)
        else:
            self._advance()

    def eof_received(self) -> bool:
        """The client has closed: the transport closes too, and an open request departs."""
        return False

    def _settle_age(self) -> bool:
        """Let deadlines count from when the bytes came in.

        True where they are not to be looked at now.
        """
        self._read_before = True
        age_s = data_age(self._sock)
        self._parser.read_at -= age_s
        if age_s < AGED_S:
            return False
        if has_ended(self._sock):
            # Its client sent and left before anybody read: what follows would be work for nobody.
            self.abort()
            return True
        if not self._server.pressed():
            # The loop stood still, and with few requests open the event loop monitor did not tell.
            # An endpoint list that came meanwhile is read in the next turn: without this a request
            # would go to a host whose drain is in that list already.
            self._server.loop.call_soon(self._advance)
            return True
        return False

    def _preview(self, data: bytes) -> bool:
        """Queue or reject a request read off its bytes, so that a rejected one costs no parser.

        False where it cannot be told from the bytes.
        """
        seen = preview_request(data)
        validator = self._server.validator
        route = None if seen is None else validator.route(seen.route_name)
        if seen is None or route is None:
            return False
        wait_s = validator.wait_s(route, seen.wait_ms)
        if not self._queue(self._parser.read_at, wait_s, route, validator.tenant(seen.tenant)):
            self._parser.unparsed = b""
            self._reject_unparsed(route)
        return True

    def _reject_unparsed(self, route: int) -> None:
        """Reject a request that no parser has seen."""
        if self._server.on_end is not None:
            self._server.on_end(route, 503)
        self.last_change = monotonic()
        self._parser.completed += 1
        if self._transport is None:
            return
        self._transport.write(self._server.rejection())
        if self._server.draining:
            self._close()
        elif not self.output_pending:
            self._server.mark_resting(self)

    # One request after another.

    def _feed(self) -> None:
        """Parse what was read, no further ahead than a client needs."""
        parser = self._parser
        begun = parser.begun
        parser.feed()
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

    def _queue(self, since: float, wait_s: float, route: int, tenant: int) -> bool:
        """Wait for the core's turn; False if there will be none in time."""
        self._waiting = self._server.scheduler.queue(self, since, wait_s, route, tenant)
        if self._waiting is None:
            return False
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.QUEUE]
        return True

    def _advance(self) -> None:
        """Queue the next request, once the answer before it is on its way and was read.

        One at a time: the other connections have their turns in between.
        """
        if self._advancing:
            return
        self._advancing = True
        try:
            self._feed()
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
        """The core has time for the request that was queued."""
        if self._transport is None:
            return
        self._waiting = None
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
        """Begin a request, which is owed its answer from here on."""
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.SERVE]
        self._keep = pending.keep
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
        engine = self._server.engine
        if engine.is_open(request.id):
            log.info("400: the id of an open request")
            self.answer(Reply(400))
            return
        since = request.received_at
        self._began_at = monotonic()
        # It lay in the kernel, or waited for the answers before it, until nothing could come in
        # time.
        if self._server.admission.is_hopeless(
            self._began_at, since, request.deadline_at - since, request.route
        ):
            self._reject()
            return
        try:
            opened = engine.accept(request, partial(self._final, request.route), self)
        except Exception:  # one request's fault must not cost the others theirs
            log.exception("request %s failed", request.id)
            if self._answering is AnswerState.SERVING:
                self.answer(Reply(500))
            return
        if self._answering is AnswerState.SERVING:  # not answered already
            self._opened = opened

    def _reject(self) -> None:
        self.answer(Reply(503, None, self._server.retry_after_us))

    def _answer_error(self, pending: PendingRequest) -> None:
        """Answer what never became a request, or the health check."""
        if pending.status >= 400 and pending.status != 503:
            log.info("%d: %s", pending.status, pending.why)
        retry_after_us = self._server.retry_after_us if pending.route >= 0 else 0
        self.answer(Reply(pending.status, None, retry_after_us))

    def _final(self, route: int, reply: Reply) -> None:
        """The end of a request that was taken on."""
        if reply.answer is not None:
            self._server.admission.host_answered(route, monotonic() - self._began_at)
        self.answer(reply)

    def enforce_time_limits(self, now: float) -> None:
        """End what takes too long: clients that come and say nothing would hold all descriptors."""
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
            self.abort()  # with bytes unread it is a loop that runs late

    # What its other halves say of it.

    def _written(self, keep: bool, ahead: bool) -> None:
        if not keep:
            self._close()
        elif ahead:
            self._server.loop.call_soon(self._advance)
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

    # What the server and the engine ask.

    def may_end(self) -> bool:
        """Whether it is idle, with nothing known to be on its way in either direction."""
        return self.idle() and not self.output_pending and not self.unread()

    def unread(self) -> bool:
        """Whether bytes have come that this process has not read yet."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False
