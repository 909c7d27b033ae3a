"""The operators' listener: one call a connection, within limits of its own.

Nothing here waits for the clients' side, and no caller can keep others out: a connection has so long for its
call, and where all places are taken the one that has been there longest with no whole call ends.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from time import monotonic
from typing import NamedTuple, cast

import httptools

from quillroad.admin.calls import BadCall, Call, read_call
from quillroad.framing import BadRequestError, check_framing
from quillroad.overload.acceptor import Acceptor

log = logging.getLogger("quillroad.admin")

PLACES = 16  # connections at once: a few programs that ask, and room for those that hold one
YOUNG_S = 0.03  # before which none ends for another: a call that was written has been read by then
CALL_S = 5.0  # for a whole call; longer than those who hold a connection on the operators' days
READ_S = 1.0  # for the caller to take its answer and close
LONGEST = 16 * 1024  # bytes of a call
BODY_MOST = 4 * 1024  # bytes of a body, which no call needs
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Page(NamedTuple):
    """The answer to a call."""

    status: int
    body: bytes
    content_type: str = "text/plain; charset=utf-8"
    allow: str = ""


def page(status: int, text: str = "", allow: str = "") -> Page:
    """A page of one line."""
    return Page(status, (text or REASONS[status].lower()).encode() + b"\n", allow=allow)


class _Caller(asyncio.Protocol):
    """One connection: reads one call, answers it, closes."""

    def __init__(self, front: Front) -> None:
        self._front = front
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._url, self._read, self._body = b"", 0, 0
        self._bad: BadRequestError | None = None
        self._head = True
        self.answered = False
        self.since = monotonic()
        self._timer = front.loop.call_at(self.since + CALL_S, self._late)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = self._parser = (
            None  # the parser refers back: a cycle waits for the collector
        )
        self._timer.cancel()
        self._front.left(self)

    def data_received(self, data: bytes) -> None:
        if self.answered or self._parser is None:
            return
        self._read += len(data)
        try:
            self._parser.feed_data(data)
            if self._read > LONGEST and not self.answered:
                raise BadRequestError(431 if self._head else 413, "a call too long")
        except httptools.HttpParserUpgrade:
            pass  # the offer is not taken up; the call has been answered
        except (httptools.HttpParserError, BadRequestError) as error:
            if self.answered:
                return  # what follows a whole call is nobody's
            bad = error if isinstance(error, BadRequestError) else self._bad
            self._answer(page(400, "not HTTP") if bad is None else page(bad.status, str(bad)))

    def eof_received(self) -> bool:
        return self.answered  # with its answer on the way it may still be read: the transport stays

    # The parser's side.

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head:
            self._headers.append((name, value.strip()))

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self._head = False
        try:
            if check_framing(self._parser.get_http_version(), self._headers) > BODY_MOST:
                raise BadRequestError(413, "no call has such a body")
        except BadRequestError as bad:
            self._bad = bad
            raise

    def on_body(self, body: bytes) -> None:
        self._body += len(body)
        if self._body > BODY_MOST:
            self._bad = BadRequestError(413, "no call has such a body")
            raise self._bad

    def on_message_complete(self) -> None:
        if self.answered or self._parser is None:
            return
        try:
            call = read_call(self._parser.get_method(), self._url)
        except BadCall as bad:
            self._answer(page(bad.status, str(bad), bad.allow))
            return
        try:
            told = self._front.act(call)
        except Exception:  # a call's fault is its own
            log.exception("%s failed", call.act.value)
            told = page(500)
        self._answer(told)

    def _answer(self, told: Page) -> None:
        self.answered = True
        transport = self._transport
        if transport is None:
            return
        lines = [
            f"HTTP/1.1 {told.status} {REASONS[told.status]}",
            f"Content-Type: {told.content_type}",
            f"Content-Length: {len(told.body)}",
            "Connection: close",
        ]
        if told.allow:
            lines.append(f"Allow: {told.allow}")
        transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + told.body)
        # Its sending side ends first: a close on unread bytes would take the answer along.
        transport.write_eof()
        self._timer.cancel()
        self._timer = self._front.loop.call_later(READ_S, self.end)

    def _late(self) -> None:
        """No whole call in time."""
        self._answer(page(408))

    def end(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class Front:
    """The listener and its connections. `act` answers a call, at once."""

    def __init__(self, loop: asyncio.AbstractEventLoop, act: Callable[[Call], Page]) -> None:
        self.loop, self.act = loop, act
        self._callers: dict[_Caller, None] = {}  # the oldest first
        self._acceptor = Acceptor(loop, self._take, self._room, self.left)

    def listen(self, listener: socket.socket) -> None:
        """Take calls from a socket that listens, which is the front's own from now on."""
        self._acceptor.listen(listener)

    def __len__(self) -> int:
        return len(self._callers)

    def _oldest(self) -> _Caller | None:
        """The connection to end for a new one; None: all are too new."""
        settled = monotonic() - YOUNG_S
        for caller in self._callers:
            if caller.since < settled:
                return caller
        return None

    def _room(self) -> bool:
        return len(self._callers) < PLACES or self._oldest() is not None

    def _take(self, sock: socket.socket) -> _Caller:
        if len(self._callers) >= PLACES and (oldest := self._oldest()) is not None:
            oldest.end()
            self.left(oldest)
        caller = _Caller(self)
        self._callers[caller] = None
        return caller

    def left(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)

    def pause(self) -> None:
        """Close the listener; calls that have come are still answered."""
        self._acceptor.close()

    def stop(self) -> None:
        """Take no more calls and end those that are there."""
        self.pause()
        for caller in list(self._callers):
            caller.end()
