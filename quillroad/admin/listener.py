"""HTTP listener of the admin address: one call per connection, with its own connection limit.

Calls never wait for the gateway's client connections. No caller can lock out others: each
connection must send its call within `CALL_TIMEOUT_S`, and at the connection limit the oldest one is
aborted in favor of a new one.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from time import monotonic
from typing import cast

import httptools

from quillroad.admin.calls import Call, read_call
from quillroad.admin.errors import BadCallError
from quillroad.admin.pages import Page, page, response
from quillroad.framing import BadRequestError, check_framing
from quillroad.overload.acceptor import Acceptor

log = logging.getLogger("quillroad.admin")

# Maximum number of open connections: a few for monitoring programs, and spare ones because callers
# may hold theirs open.
MAX_CONNECTIONS = 16
# Minimum age at which a connection may be aborted in favor of a new one. A call that was sent at
# once has been read by then.
MIN_REPLACEABLE_AGE_S = 0.03
# Time for a complete call to arrive: longer than a person or a slow script needs to send one.
CALL_TIMEOUT_S = 5.0
# Time for the caller to read the response and close the connection.
ANSWER_TIMEOUT_S = 1.0
# Maximum size of a whole call, and of its body, which is read but ignored: no call needs one.
MAX_CALL_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024
# Maximum number of headers, whose objects take more memory than their bytes.
MAX_HEADER_FIELDS = 128


class _CallConnection(asyncio.Protocol):
    """Server side of one connection: reads one call, sends the response, closes."""

    def __init__(self, listener: OperatorListener) -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._target = b""
        self._bytes_read = 0
        self._body_bytes = 0
        self._bad_request: BadRequestError | None = None
        self._in_head = True
        self.answered = False
        self.opened_at_s = monotonic()
        self._timer = listener.loop.call_at(self.opened_at_s + CALL_TIMEOUT_S, self._time_out)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transports are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the parser and the timer, and free the connection's place in the listener."""
        self._transport = None
        # Both are parts of reference cycles, which would last until a garbage collection.
        self._parser = None
        self._bad_request = None
        self._timer.cancel()
        self._listener.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the call; respond once the call is complete, malformed or too long."""
        if self.answered or self._parser is None:
            return
        # What exceeds the limit is not parsed: a read can have much more, and costly input.
        data = data[: MAX_CALL_BYTES + 1 - self._bytes_read]
        self._bytes_read += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # upgrade offers are ignored; the call has been answered already
        except (httptools.HttpParserError, BadRequestError) as error:
            bad = error if isinstance(error, BadRequestError) else self._bad_request
            self._respond_with_error(
                page(400, "not HTTP") if bad is None else page(bad.status, str(bad))
            )
            return
        if self._bytes_read > MAX_CALL_BYTES:
            self._respond_with_error(page(431 if self._in_head else 413, "a call too long"))

    def _respond_with_error(self, answer: Page) -> None:
        """Send an error response, unless the call has been answered: later bytes are ignored."""
        if not self.answered:
            self._answer(answer)

    def eof_received(self) -> bool:
        """Keep the transport open after a response, which the caller may still be reading."""
        return self.answered

    # Callbacks of the httptools parser.

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, up to `MAX_HEADER_FIELDS`; trailers are ignored."""
        if not self._in_head:
            return
        if len(self._headers) == MAX_HEADER_FIELDS:
            self._bad_request = BadRequestError(431, "a call with too many headers")
            raise self._bad_request
        self._headers.append((name, value.strip()))

    def on_headers_complete(self) -> None:
        """Raise `BadRequestError` if the framing is ambiguous or the declared body too long."""
        assert self._parser is not None
        self._in_head = False
        try:
            if check_framing(self._parser.get_http_version(), self._headers) > MAX_BODY_BYTES:
                raise BadRequestError(413, "no call has such a body")
        except BadRequestError as bad:
            self._bad_request = bad
            raise

    def on_body(self, body: bytes) -> None:
        """Raise `BadRequestError` if the body received is too long; a chunked one has no length."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._bad_request = BadRequestError(413, "no call has such a body")
            raise self._bad_request

    def on_message_complete(self) -> None:
        """Carry out the call and send its response."""
        if self.answered or self._parser is None:
            return
        try:
            call = read_call(self._parser.get_method(), self._target)
        except BadCallError as bad:
            self._answer(page(bad.status, str(bad), bad.allow))
            return
        try:
            answer = self._listener.act(call)
        except Exception:  # a failed call must not stop the listener or the gateway
            log.exception("operator's call %s failed", call.act.value)
            answer = page(500)
        self._answer(answer)

    def _answer(self, answer: Page) -> None:
        self.answered = True
        transport = self._transport
        if transport is None:
            return
        transport.write(response(answer))
        # Close only the sending side: closing a socket with unread bytes resets the connection, and
        # the caller would lose the response.
        transport.write_eof()
        self._timer.cancel()
        self._timer = self._listener.loop.call_later(ANSWER_TIMEOUT_S, self.abort_connection)

    def _time_out(self) -> None:
        """Respond with 408: no complete call arrived within `CALL_TIMEOUT_S`."""
        self._answer(page(408))

    def abort_connection(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()


class OperatorListener:
    """The listener and its connections. `act` carries out a call and returns its response."""

    def __init__(self, loop: asyncio.AbstractEventLoop, act: Callable[[Call], Page]) -> None:
        self.loop = loop
        self.act = act
        self._connections: dict[_CallConnection, None] = {}  # in order of acceptance
        self._acceptor = Acceptor(loop, self._make_connection, self._has_capacity, self.discard)

    def __len__(self) -> int:
        return len(self._connections)

    def listen(self, listener: socket.socket) -> None:
        """Start accepting calls on a listening socket, which this listener now owns and closes."""
        self._acceptor.listen(listener)

    def _replaceable_connection(self) -> _CallConnection | None:
        """Return the oldest connection, or None if it is younger than `MIN_REPLACEABLE_AGE_S`."""
        newest_replaceable_s = monotonic() - MIN_REPLACEABLE_AGE_S
        for connection in self._connections:
            if connection.opened_at_s < newest_replaceable_s:
                return connection
        return None

    def _has_capacity(self) -> bool:
        return (
            len(self._connections) < MAX_CONNECTIONS or self._replaceable_connection() is not None
        )

    def _make_connection(self, sock: socket.socket) -> _CallConnection:
        oldest = (
            self._replaceable_connection() if len(self._connections) >= MAX_CONNECTIONS else None
        )
        if oldest is not None:
            oldest.abort_connection()
            self.discard(oldest)
        connection = _CallConnection(self)
        self._connections[connection] = None
        return connection

    def discard(self, connection: _CallConnection) -> None:
        """Remove a closed connection from the open ones."""
        self._connections.pop(connection, None)

    def pause(self) -> None:
        """Close the listening socket; calls that have arrived are still answered."""
        self._acceptor.close()

    def stop(self) -> None:
        """Stop accepting connections and abort the open ones."""
        self.pause()
        for connection in list(self._connections):
            connection.abort_connection()
