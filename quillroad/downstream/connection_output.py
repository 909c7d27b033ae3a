"""The output half of a client connection.

The one answer to each request, streamed ones, and the close.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from contextlib import suppress
from time import monotonic
from typing import TYPE_CHECKING

from quillroad.downstream.request_parser import RequestParser
from quillroad.downstream.responses import (
    LAST_CHUNK,
    BodyStream,
    chunk,
    response,
    streamed_head,
)
from quillroad.downstream.state import ANSWER_AFTER, AnswerEvent, AnswerState
from quillroad.downstream.time_limits import LINGER_BYTES, LINGER_S, UNREAD_S
from quillroad.engine.engine import OpenRequest, Reply
from quillroad.overload.socket_age import has_ended, unacknowledged

if TYPE_CHECKING:
    from quillroad.downstream.server import Server

log = logging.getLogger("quillroad.downstream")

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close by RST, with nothing more sent


class ConnectionOutput(asyncio.Protocol):
    """What a connection writes, and how it ends.

    `last_change` is the monotonic time (s) that the limits on time count from; `reading_paused`,
    `may_have_disconnected` and `output_pending` are explained in `state.py`.
    """

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self._server = server
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(server.validator, server.buffers, server.up_status)
        self._answering = AnswerState.IDLE
        self.reading_paused = False
        self.may_have_disconnected = False
        self.output_pending = False
        self.last_change = monotonic()
        self._unread_bytes = 0  # of an answer that its client had not taken, at the last look
        self._discarded = 0  # bytes that came after the last answer
        # Of the request that is served or streamed.
        self._opened: OpenRequest | None = None
        self._stream: BodyStream | None = None  # what is left of its long answer
        self._chunked = False  # how that is framed
        self._keep = True
        self._version = "1.1"
        self._route = -1  # its route while it is owed an answer; -1: none
        self._reserved = 0  # bytes of its body in the budget of long ones

    # What the other half does.

    def _written(self, keep: bool, ahead: bool) -> None:
        """An answer is on its way.

        `keep` says whether the connection stays, `ahead` whether it has more requests.
        """
        raise NotImplementedError

    def _mark_leaving(self) -> None:
        """Tell the server that the last answer has left."""
        raise NotImplementedError

    def _mark_closing(self) -> None:
        """Tell the server that the connection ends."""
        raise NotImplementedError

    # The answer to one request.

    def answer(self, reply: Reply) -> None:
        """Write the one final answer to the request that is served."""
        answer = reply.answer
        content_type = None
        body = b""
        if answer is not None:
            content_type = answer.content_type
            body = answer.body
            if answer.stream is not None:
                self._begin_stream(content_type, body, answer.body_length, answer.stream)
                return
        self._opened = None
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.FINISH]
        if self._reserved:
            self._release_body()
        self.last_change = monotonic()
        if self._route >= 0:
            if self._server.on_end is not None:
                self._server.on_end(self._route, reply.status)
            self._route = -1
        if self._transport is None:
            return
        # What was sent ahead has been taken and is owed an answer: the last one says `close`.
        ahead = self._parser.has_more()
        keep = self._keep and (ahead or not self._server.draining)
        retry_after_us = None
        if reply.retry_after_us:
            retry_after_us = self._server.retry_after_jitter.jittered_us(reply.retry_after_us)
        message = response(reply.status, body, content_type, retry_after_us, keep)
        self._transport.write(message)
        self._written(keep, ahead)

    def _release_body(self) -> None:
        self._server.buffers.give(self._reserved)
        self._reserved = 0

    # A long answer, which goes on as it comes.

    def _begin_stream(
        self, content_type: bytes | None, body: bytes, length: int, stream: BodyStream
    ) -> None:
        """Write the head of a long answer and as much of its body as has come.

        -1 stands for no told length.
        """
        self._opened = None
        if self._reserved:
            self._release_body()
        self.last_change = monotonic()
        if self._transport is None:
            return  # with nobody to take the rest its connection ends
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.STREAM]
        self._stream = stream
        self._server.streams += 1
        self._chunked = length < 0 and self._version == "1.1"
        if self._server.draining or (length < 0 and not self._chunked):
            self._keep = False  # a body of no told length ends with the connection
        self._transport.write(streamed_head(content_type, length, self._chunked, self._keep))
        stream.on_data = self._stream_data
        stream.on_end = self._stream_ended
        if body:
            self._stream_data(body)

    def _stream_data(self, data: bytes) -> None:
        if self._transport is None or self._stream is None:
            return
        self._transport.write(chunk(data) if self._chunked else data)
        if self.output_pending:
            self._stream.pause_reading()

    def _stream_ended(self, whole: bool) -> None:
        """The host has given all, or nothing more comes.

        Then the client is to see that it has not all.
        """
        self._stream = None
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.FINISH]
        self._server.streams -= 1
        if self._route >= 0:
            if self._server.on_end is not None:
                self._server.on_end(self._route, 200 if whole else 502)
            self._route = -1
        self.last_change = monotonic()
        if self._transport is None:
            return
        if not whole:
            log.info("a long answer broke off")
            # By a reset: where the end of the body is the connection's an orderly close would look
            # whole.
            with suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self._mark_closing()
            self._transport.abort()
            return
        if self._chunked:
            self._transport.write(LAST_CHUNK)
        self._written(self._keep, self._parser.has_more())

    def break_off(self) -> None:
        """The process ends.

        A long answer on its way ends so that its client can tell that it is not whole.

        The system closes connections in good order at exit: for a body whose end is the
        connection's the client would take that for all of it.
        """
        stream = self._stream
        if stream is not None:
            stream.abandon()
            self._stream_ended(False)

    # The end of the connection.

    def _close(self) -> None:
        """End the connection after its last answer.

        A close on unread bytes would reset it and could take the answer along, so the sending side
        ends first and what still comes is thrown away for a while.
        """
        self._reserved += self._parser.clear_backlog()
        self._parser.end()
        if self._transport is not None:
            self._pause_reading(False)
            if not self.output_pending:
                self._mark_leaving()
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._server.loop.call_later(LINGER_S, self._linger)

    def _linger(self) -> None:
        """The client had its time to read why.

        Not so while its answer has not even left this process.
        """
        if self.output_pending and self._transport is not None:
            # `enforce_time_limits` ends one that takes nothing.
            self._server.loop.call_later(LINGER_S, self._linger)
        else:
            self.abort()

    def _discard(self, size: int) -> None:
        """Throw away what comes after the last answer, up to a limit."""
        self._discarded += size
        if self._discarded > LINGER_BYTES:
            self.abort()

    def abort(self) -> None:
        """End it at once.

        The loop gets round to the close a turn later only, and turns of a busy core are long: a
        client would go on sending meanwhile, and be reset.
        """
        self._mark_closing()
        if self._transport is not None:
            with suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
            self._transport.abort()

    def has_disconnected(self) -> bool:
        """Whether the client has closed, also where that was not read yet.

        Then its connection ends.
        """
        if self._transport is None:
            return True
        if not has_ended(self._sock):
            return False
        self.abort()
        return True

    def _enforce_output_limit(self, transport: asyncio.Transport, now: float) -> None:
        """End the connection of a client that takes nothing of its answer; a slow one goes on."""
        unread = transport.get_write_buffer_size() + unacknowledged(self._sock)
        if unread != self._unread_bytes:
            self._unread_bytes = unread
            self.last_change = now
        elif now - self.last_change > UNREAD_S:
            self.abort()

    def pause_writing(self) -> None:
        """Bytes of an answer could not leave at once."""
        self.output_pending = True
        self.last_change = monotonic()

    def _pause_reading(self, paused: bool) -> None:
        if paused != self.reading_paused and self._transport is not None:
            self.reading_paused = paused
            if paused:
                self.may_have_disconnected = True
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()
