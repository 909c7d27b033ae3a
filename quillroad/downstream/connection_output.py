"""The output half of a client connection: responses, streamed responses and the close."""

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
from quillroad.downstream.time_limits import LINGER_S, MAX_LINGER_BYTES, OUTPUT_STALL_S
from quillroad.engine.engine import ClientRequest, OpenRequest, Reply
from quillroad.overload.socket_age import has_ended, unacknowledged

if TYPE_CHECKING:
    from quillroad.downstream.server import Server

log = logging.getLogger("quillroad.downstream")

ORDERLY_CLOSE = struct.pack("ii", 0, 0)
RESET = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close with RST, unsent bytes are dropped


class ConnectionOutput(asyncio.BufferedProtocol):
    """Writes the responses of a connection and closes it.

    The time limits count from `last_change`, in monotonic time (s); `reading_paused`,
    `may_have_disconnected` and `output_pending` are explained in `state.py`.
    """

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self._server = server
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(server.validator, server.memory, server.up_status)
        self._answering = AnswerState.IDLE
        self.reading_paused = False
        self.may_have_disconnected = False
        self.output_pending = False
        self.last_change = monotonic()
        self._answered_at = 0.0  # time of the last response, monotonic (s)
        self._unread_bytes = (
            0  # response bytes that the client had not acknowledged at the last check
        )
        self._linger_timer: asyncio.TimerHandle | None = None
        self._discarded = 0  # bytes received after the last response
        # State of the request that is served or streamed:
        self._open_request: OpenRequest | None = None
        self._stream: BodyStream | None = None  # the rest of its streamed response body
        self._streamed_request: ClientRequest | None = None  # the request of that response
        self._ends_with_close = False  # whether the end of the connection ends that body
        self._chunked = False  # whether that body uses chunked coding
        self._keep_alive = True
        self._version = "1.1"
        self._route = -1  # its route while its answer is due; -1: none
        self._reserved = 0  # bytes of the request that are counted in `MemoryAccount`
        self._output_reserved = 0  # the same of responses that the client has not read

    # Hooks that the subclass implements.

    def _response_written(self, keep_alive: bool, has_next: bool) -> None:
        """Go on after a response was written.

        `keep_alive` tells whether the connection stays open, `has_next` whether data of a
        further request was received.
        """
        raise NotImplementedError

    def _mark_leaving(self) -> None:
        """Tell the server that the last response has left this process."""
        raise NotImplementedError

    def _mark_closing(self) -> None:
        """Tell the server that the connection is being closed."""
        raise NotImplementedError

    # Responses that are written at once.

    def answer(self, reply: Reply) -> None:
        """Write the final response to the request that is served, or begin to stream it."""
        answer = reply.answer
        content_type = None
        body = b""
        if answer is not None:
            content_type = answer.content_type
            body = answer.body
            if answer.stream is not None:
                self._begin_stream(content_type, body, answer.body_length, answer.stream)
                return
        self._open_request = None
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.FINISH]
        if self._reserved:
            self._release_request()
        self._answered_at = self.last_change = monotonic()
        if self._route >= 0:
            if self._server.on_end is not None:
                self._server.on_end(self._route, reply.status)
            self._route = -1
        if self._transport is None:
            return
        # Pipelined requests were received and must be answered: while draining, only the last
        # response carries `Connection: close`.
        has_next = self._parser.has_more()
        keep_alive = self._keep_alive and (has_next or not self._server.draining)
        retry_after_us = None
        if reply.retry_after_us:
            retry_after_us = self._server.retry_after_jitter.jittered_us(reply.retry_after_us)
        message = response(reply.status, body, content_type, retry_after_us, keep_alive)
        self._transport.write(message)
        if self.output_pending:
            self._reserve_output(self._transport)
        self._response_written(keep_alive, has_next)

    def _release_request(self) -> None:
        self._server.memory.give(self._reserved)
        self._reserved = 0

    def _reserve_output(self, transport: asyncio.Transport) -> None:
        """Count the response bytes that the kernel has not taken.

        They are in memory already, and no further response is written before they have left.
        """
        unsent_bytes = transport.get_write_buffer_size()
        self._server.memory.force(unsent_bytes - self._output_reserved)
        self._output_reserved = unsent_bytes

    def _release_output(self) -> None:
        if self._output_reserved:
            self._server.memory.give(self._output_reserved)
            self._output_reserved = 0

    # Streamed responses.

    def _begin_stream(
        self, content_type: bytes | None, body: bytes, length: int, stream: BodyStream
    ) -> None:
        """Write the head of a long response and the part of its body that was received.

        A `length` of -1 means that the host sent no length.
        """
        if self._open_request is not None:
            self._streamed_request = self._open_request.request
        self._open_request = None
        if self._reserved:
            self._release_request()
        self.last_change = monotonic()
        if self._transport is None:
            return  # disconnected: while `on_end` is unset, the host connection is closed
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.STREAM]
        self._stream = stream
        self._server.streams += 1
        self._chunked = length < 0 and self._version == "1.1"
        if self._server.draining or (length < 0 and not self._chunked):
            self._keep_alive = False  # a body without length and chunks ends with the connection
        self._ends_with_close = length < 0 and not self._chunked
        if self._ends_with_close:
            self._reset_on_close(True)
        self._transport.write(streamed_head(content_type, length, self._chunked, self._keep_alive))
        stream.on_data = self._stream_data
        stream.on_end = self._stream_ended
        if body:
            self._stream_data(body)

    def _stream_data(self, data: bytes) -> None:
        if self._transport is None or self._stream is None:
            return
        self._transport.write(chunk(data) if self._chunked else data)
        if self.output_pending:
            self._reserve_output(self._transport)
            self._stream.pause_reading()

    def _stream_ended(self, whole: bool) -> None:
        """End a streamed response.

        If the host did not send it `whole`, the client connection is reset so that the client can
        tell.
        """
        self._stream = None
        self._streamed_request = None
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
            log.info(
                "streamed response ended before its body was complete: resetting the connection"
            )
            self._reset_on_close(True)
            self._mark_closing()
            self._transport.abort()
            return
        if self._chunked:
            self._transport.write(LAST_CHUNK)
        elif self._ends_with_close:
            self._reset_on_close(False)
        self._response_written(self._keep_alive, self._parser.has_more())

    def _reset_on_close(self, reset: bool) -> None:
        """Set whether the kernel resets the connection at a close, also if the process is killed.

        Where the end of the connection ends the body, an orderly close would make a truncated body
        look complete.
        """
        with suppress(OSError):
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET if reset else ORDERLY_CLOSE
            )

    def has_output(self) -> bool:
        """Whether a response is being streamed, or has bytes that are buffered here."""
        return self._stream is not None or self.output_pending

    def reset_streams(self) -> None:
        """Reset the connection if a response is being streamed, because the process exits."""
        stream = self._stream
        if stream is not None:
            stream.abandon()
            self._stream_ended(False)

    # The end of the connection.

    def _close(self) -> None:
        """Close the connection after its last response.

        A close with unread bytes would send RST, and the client could lose the response. So the
        sending side is shut down first, and input is discarded for `LINGER_S`.
        """
        self._reserved += self._parser.clear_backlog()
        self._parser.end()
        if self._transport is not None:
            self._pause_reading(False)
            if not self.output_pending:
                self._mark_leaving()
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._start_lingering()

    def _start_lingering(self) -> None:
        self._linger_timer = self._server.loop.call_later(LINGER_S, self._linger)

    def _stop_lingering(self) -> None:
        """Cancel the timer, which would keep a closed connection in memory."""
        if self._linger_timer is not None:
            self._linger_timer.cancel()
            self._linger_timer = None

    def _linger(self) -> None:
        """Close the connection after the client had time to read the last response.

        While response bytes are still buffered in this process, wait again.
        """
        if self.output_pending and self._transport is not None:
            # `enforce_time_limits` closes the connection of a client that reads nothing.
            self._start_lingering()
        else:
            self.abort()

    def _discard(self, size: int) -> None:
        """Count input discarded after the last response, and close past `MAX_LINGER_BYTES`."""
        self._discarded += size
        if self._discarded > MAX_LINGER_BYTES:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once.

        The socket is shut down here because the transport closes it only in the next iteration of
        the event loop, which can take long on a busy core: meanwhile the client would go on
        sending, and get a reset.
        """
        self._mark_closing()
        if self._transport is not None:
            with suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
            self._transport.abort()

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the end of its input was not read yet.

        If so, the connection is closed.
        """
        if self._transport is None:
            return True
        if not has_ended(self._sock):
            return False
        self.abort()
        return True

    def _enforce_output_limit(self, transport: asyncio.Transport, now: float) -> None:
        """Close the connection if the client reads nothing; a slow reader is kept."""
        unread = transport.get_write_buffer_size() + unacknowledged(self._sock)
        if unread != self._unread_bytes:
            self._unread_bytes = unread
            self.last_change = now
        elif now - self.last_change > OUTPUT_STALL_S:
            self.abort()

    def pause_writing(self) -> None:
        """Note that response bytes are buffered in this process."""
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
