"""The operators' listener: one call a connection, within limits of its own.

Nothing here waits for the clients' side, and no caller can keep others out: a connection has so
long for its call, and where there are too many the one that has been there longest with no whole
call ends.
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

# Connections at once: a few programs that ask, and some more for those that hold one.
MAX_CONNECTIONS = 16
# Age before which a connection is not ended for a new one: a call that was written has been read
# by then.
MIN_AGE_S = 0.03
# For a whole call: longer than a person or a slow script needs to write one.
CALL_TIMEOUT_S = 5.0
# For the caller to take its answer and close.
ANSWER_TIMEOUT_S = 1.0
# Bytes of a call, and of a body, which no call needs.
MAX_CALL_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024


class _CallConnection(asyncio.Protocol):
    """One connection: reads one call, answers it, closes."""

    def __init__(self, listener: OperatorListener) -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._url = b""
        self._bytes_read = 0
        self._body_bytes = 0
        self._bad_request: BadRequestError | None = None
        self._in_head = True
        self.answered = False
        self.since = monotonic()
        self._timer = listener.loop.call_at(self.since + CALL_TIMEOUT_S, self._time_out)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take note of the transport."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it

    def connection_lost(self, exc: Exception | None) -> None:
        """Let go of everything; the listener has a place more."""
        self._transport = None
        self._parser = None  # it refers back: the cycle would wait for the collector
        self._timer.cancel()
        self._listener.forget(self)

    def data_received(self, data: bytes) -> None:
        """Read bytes of the call; answer it once it is whole, bad or too long."""
        if self.answered or self._parser is None:
            return
        self._bytes_read += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the offer is not taken up; the call has been answered
        except (httptools.HttpParserError, BadRequestError) as error:
            bad = error if isinstance(error, BadRequestError) else self._bad_request
            self._answer_bad(page(400, "not HTTP") if bad is None else page(bad.status, str(bad)))
            return
        if self._bytes_read > MAX_CALL_BYTES:
            self._answer_bad(page(431 if self._in_head else 413, "a call too long"))

    def _answer_bad(self, answer: Page) -> None:
        """Answer bytes that are no call; what follows a whole call is nobody's."""
        if not self.answered:
            self._answer(answer)

    def eof_received(self) -> bool:
        """Keep the transport where an answer is on its way: the caller may still read it."""
        return self.answered

    # Called by the parser.

    def on_url(self, url: bytes) -> None:
        """A piece of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer, which means nothing here."""
        if self._in_head:
            self._headers.append((name, value.strip()))

    def on_headers_complete(self) -> None:
        """Raise `BadRequestError` where the framing is ambiguous or the body too long."""
        assert self._parser is not None
        self._in_head = False
        try:
            if check_framing(self._parser.get_http_version(), self._headers) > MAX_BODY_BYTES:
                raise BadRequestError(413, "no call has such a body")
        except BadRequestError as bad:
            self._bad_request = bad
            raise

    def on_body(self, body: bytes) -> None:
        """Raise `BadRequestError` where a body of untold length is too long."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._bad_request = BadRequestError(413, "no call has such a body")
            raise self._bad_request

    def on_message_complete(self) -> None:
        """Carry the call out, and answer it."""
        if self.answered or self._parser is None:
            return
        try:
            call = read_call(self._parser.get_method(), self._url)
        except BadCallError as bad:
            self._answer(page(bad.status, str(bad), bad.allow))
            return
        try:
            answer = self._listener.act(call)
        except Exception:  # a call's fault must not end the listener, nor the gateway
            log.exception("%s failed", call.act.value)
            answer = page(500)
        self._answer(answer)

    def _answer(self, answer: Page) -> None:
        self.answered = True
        transport = self._transport
        if transport is None:
            return
        transport.write(response(answer))
        # Its sending side ends first: a close on unread bytes would take the answer along.
        transport.write_eof()
        self._timer.cancel()
        self._timer = self._listener.loop.call_later(ANSWER_TIMEOUT_S, self.end)

    def _time_out(self) -> None:
        """Answer that no whole call came in time."""
        self._answer(page(408))

    def end(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class OperatorListener:
    """The listener and its connections. `act` answers a call, at once."""

    def __init__(self, loop: asyncio.AbstractEventLoop, act: Callable[[Call], Page]) -> None:
        self.loop = loop
        self.act = act
        self._connections: dict[_CallConnection, None] = {}  # the oldest first
        self._acceptor = Acceptor(loop, self._make_connection, self._has_capacity, self.forget)

    def __len__(self) -> int:
        return len(self._connections)

    def listen(self, listener: socket.socket) -> None:
        """Take calls from a socket that listens; it is closed by this listener from now on."""
        self._acceptor.listen(listener)

    def _replaceable(self) -> _CallConnection | None:
        """The connection to end for a new one; None where all are too new."""
        latest = monotonic() - MIN_AGE_S
        for connection in self._connections:
            if connection.since < latest:
                return connection
        return None

    def _has_capacity(self) -> bool:
        return len(self._connections) < MAX_CONNECTIONS or self._replaceable() is not None

    def _make_connection(self, sock: socket.socket) -> _CallConnection:
        oldest = self._replaceable() if len(self._connections) >= MAX_CONNECTIONS else None
        if oldest is not None:
            oldest.end()
            self.forget(oldest)
        connection = _CallConnection(self)
        self._connections[connection] = None
        return connection

    def forget(self, connection: _CallConnection) -> None:
        """Count a connection no more: it has ended."""
        self._connections.pop(connection, None)

    def pause(self) -> None:
        """Close the socket; calls that have come are still answered."""
        self._acceptor.close()

    def stop(self) -> None:
        """Take no more calls and end those that are there."""
        self.pause()
        for connection in list(self._connections):
            connection.end()
