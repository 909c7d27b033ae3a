"""Bytes of one client to requests: limits on head, body and framing, and the parser's callbacks.

No I/O.

What comes out is a queue of `PendingRequest`: requests that passed all checks, and errors that are
owed an answer in their turn. The transport, the clock and the answers are the connection's.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

import httptools

from quillroad.config import SHORT_BODY
from quillroad.downstream.request_validation import RequestValidator
from quillroad.downstream.state import PARTIAL, READ_AFTER, ReadEvent, ReadState
from quillroad.engine.engine import ClientRequest
from quillroad.errors import (
    BadRequestError,
    BodyMemoryError,
    BodyTooLongError,
    HeadTooLongError,
    HttpSyntaxError,
)
from quillroad.framing import FRAMED, HEAD_LIMIT, check_framing
from quillroad.overload.body_budget import BodyBudget
from quillroad.overload.heap import fix_mmap_threshold

HEAD = ReadState.HEAD  # by itself, as it is looked at for each header
log = logging.getLogger("quillroad.downstream")

UP_PATH = b"/up"  # of the platform's health check
MAX_AHEAD = 2  # requests parsed ahead on one connection: clients wait for one answer at a time
HEADER_PUNCTUATION = 4  # bytes beside name and value: colon, space, CR, LF
SLICE_BYTES = 2048  # parsed at a time, a few requests: one read can hold hundreds
BODY_SLICE_BYTES = 64 * 1024  # of a body, which holds no other request
STEP_BYTES = tuple(
    BODY_SLICE_BYTES if state is ReadState.BODY else SLICE_BYTES for state in ReadState
)


class PendingRequest:
    """A request that is complete, or the error that it got, waiting for its turn on the connection.

    `request` is None for an error and for the health check, which are answered with `status`; `why`
    goes to the log. `keep` says whether the connection may stay open after the answer, `version` is
    the protocol's. `route` is -1 where none is known, and `reserved` the bytes of the body that
    count in the budget of long ones.
    """

    def __init__(
        self,
        request: ClientRequest | None,
        status: int,
        keep: bool,
        why: str = "",
        version: str = "1.1",
        route: int = -1,
        reserved: int = 0,
    ) -> None:
        self.request = request
        self.status = status
        self.keep = keep
        self.why = why
        self.version = version
        self.route = route if request is None else request.route
        self.reserved = reserved


class RequestParser:
    """The input of one connection.

    `up_status` tells the status of the health check. `unparsed` is what was read, of which `parsed`
    bytes are done with; `read_at` the monotonic time (s) at which it came, which deadlines count
    from. `backlog` holds what was parsed and has not begun. `begun` and `completed` count requests
    since the connection came up.
    """

    def __init__(
        self, validator: RequestValidator, buffers: BodyBudget, up_status: Callable[[], int]
    ) -> None:
        self._validator = validator
        self._buffers = buffers
        self._up_status = up_status
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.state = ReadState.BETWEEN
        self.unparsed = b""
        self.parsed = 0
        self.read_at = 0.0
        self.backlog: deque[PendingRequest] = deque()
        self.begun = 0
        self.completed = 0
        self._error: BadRequestError | None = None  # raised in a callback: the parser wraps it
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self.size = 0  # bytes of the head, or of the body once that has begun
        self._uncounted = 0  # bytes read of a request that reached no callback which ended it
        self._body_reserved = (
            0  # bytes of the body that comes in, taken from the budget of long ones
        )
        self.continue_sent = False

    def append(self, data: bytes) -> None:
        """Add what was read to what is not parsed yet."""
        self.unparsed = self.unparsed[self.parsed :] + data
        self.parsed = 0

    def feed(self) -> None:
        """Parse what was read, no further ahead than a client needs.

        The rest waits, as the client must.
        """
        while self.unparsed and len(self.backlog) < MAX_AHEAD and self._parser is not None:
            step = STEP_BYTES[self.state]
            data = self.unparsed[self.parsed : self.parsed + step]
            self.parsed += step
            if self.parsed >= len(self.unparsed):
                self.unparsed = b""
                self.parsed = 0
            completed = self.completed
            try:
                self._parser.feed_data(data)
                if completed == self.completed and self.state is not ReadState.BETWEEN:
                    self._uncounted += len(data)
                    if self._uncounted > HEAD_LIMIT:
                        self._check_uncounted()
            except httptools.HttpParserUpgrade:
                # The offer is not taken up: the request is served, and what follows is not HTTP any
                # more.
                self.backlog[-1].keep = False
                self.end()
            except (httptools.HttpParserError, BadRequestError) as error:
                self._reject(error)

    def _check_uncounted(self) -> None:
        """Bound the bytes that end no request.

        A header without end, or an endless extension of a chunk, reaches no callback: without this
        they would be read for as long as they come.
        """
        if self.state is ReadState.HEAD:
            raise HeadTooLongError(HEAD_LIMIT)
        most = FRAMED * (HEAD_LIMIT + self.size)
        if self._uncounted > most:
            raise BodyTooLongError("request too long", most)

    def _reject(self, error: httptools.HttpParserError | BadRequestError) -> None:
        """End the input with an error that is answered in its turn."""
        if isinstance(error, BadRequestError):
            bad = error
        else:
            bad = self._error or HttpSyntaxError(f"not HTTP: {error}")
            if self._error is None and isinstance(error, httptools.HttpParserCallbackError):
                # No fault of the client's: a callback below raised what it does not mean to.
                log.error("a fault in parsing", exc_info=error.__context__)
        # Only this one is a refusal that counts for its route: nothing is wrong with the request.
        route = self._validator.route_of(self._url) if bad.status == 503 else None
        self.fail(bad, -1 if route is None else route)

    def fail(self, error: BadRequestError, route: int = -1) -> None:
        """Take nothing more, and answer with `error` after what came before.

        Nothing is kept of the body.
        """
        self._body = bytearray()
        reserved = self._body_reserved
        self._body_reserved = 0
        self.backlog.append(
            PendingRequest(None, error.status, False, str(error), route=route, reserved=reserved)
        )
        self.end()

    def end(self) -> None:
        """Take nothing more as a request."""
        self.state = READ_AFTER[self.state][ReadEvent.END]
        self.unparsed = b""
        self.parsed = 0

    def clear_backlog(self) -> int:
        """Drop what has not begun; returns the bytes that its bodies hold of the budget."""
        reserved = sum(pending.reserved for pending in self.backlog)
        self.backlog.clear()
        return reserved

    def close(self) -> int:
        """End with the connection; returns the bytes that are to go back to the budget.

        The parser refers back here: without this the cycle would hold the memory until the
        collector runs.
        """
        self.end()
        self._parser = None
        reserved = self._body_reserved + self.clear_backlog()
        self._body_reserved = 0
        return reserved

    def has_more(self) -> bool:
        """Whether something of a request has come that is owed an answer yet."""
        return bool(self.backlog) or bool(self.unparsed) or self.state in PARTIAL

    def expects_continue(self) -> bool:
        """Whether the client waits for `100 Continue` with its body (RFC 9110, 10.1.1)."""
        if self.state is not ReadState.BODY or self.size or self.backlog or self.continue_sent:
            return False
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                return self._parser is not None and self._parser.get_http_version() == "1.1"
        return False

    # Callbacks of httptools, in the order in which they come.

    def on_message_begin(self) -> None:
        """The first byte of a request has come."""
        self.state = READ_AFTER[self.state][ReadEvent.BEGIN]
        self.begun += 1
        self._url = b""
        self._headers = []
        self._body = bytearray()
        self.size = 0
        self._uncounted = 0
        self.continue_sent = False

    def on_url(self, url: bytes) -> None:
        """A piece of the URL."""
        self._url += url
        self.size += len(url)
        if self.size > HEAD_LIMIT:
            raise self._failed(HeadTooLongError(HEAD_LIMIT))

    def on_header(self, name: bytes, value: bytes) -> None:
        """A whole header, or a trailer, which must not stand in for a header that was checked."""
        if self.state is not HEAD:
            return
        self._headers.append((name, value.strip()))
        size = self.size + len(name) + len(value) + HEADER_PUNCTUATION
        self.size = size
        if size > HEAD_LIMIT:
            raise self._failed(HeadTooLongError(HEAD_LIMIT))

    def on_headers_complete(self) -> None:
        """The head is whole: from here on `size` counts bytes of the body."""
        self.state = READ_AFTER[self.state][ReadEvent.HEAD_COMPLETE]
        self.size = 0
        assert self._parser is not None
        try:
            length = check_framing(self._parser.get_http_version(), self._headers)
        except BadRequestError as bad:
            self._error = bad
            raise
        if length > self._validator.longest_body:
            raise self._failed(BodyTooLongError("body too long", self._validator.longest_body))

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        before = self.size
        self.size += len(body)
        if self.size > SHORT_BODY:
            if self.size > self._validator.longest_body:
                raise self._failed(BodyTooLongError("body too long", self._validator.longest_body))
            # What came before it grew long was in no budget.
            self._reserve(self.size if before <= SHORT_BODY else len(body))
        self._body += body

    def on_message_complete(self) -> None:
        """The request is whole: it joins the backlog, or the error that it gets does."""
        self.state = READ_AFTER[self.state][ReadEvent.COMPLETE]
        self.completed += 1
        parser = self._parser
        assert parser is not None
        keep = parser.should_keep_alive()
        try:
            method = parser.get_method()
            if method == b"GET" and self._url.partition(b"?")[0] == UP_PATH:
                pending = PendingRequest(None, self._up_status(), keep)
            else:
                request = self._validator.check(
                    method, self._url, self._headers, self._body, self.read_at
                )
                pending = PendingRequest(request, 200, keep, version=parser.get_http_version())
        except BadRequestError as bad:
            pending = PendingRequest(None, bad.status, keep, str(bad))
        if self._body_reserved:
            # The long body is the request's alone now, which has an end.
            self._body = bytearray()
            pending.reserved = self._body_reserved
            self._body_reserved = 0
        self.backlog.append(pending)

    def _failed(self, error: BadRequestError) -> BadRequestError:
        """Note an error that is about to be raised in a callback: the parser wraps it there."""
        self._error = error
        return error

    def _reserve(self, size: int) -> None:
        """Take so many bytes more from the budget of long bodies."""
        fix_mmap_threshold()
        if not self._buffers.take(size):
            raise self._failed(BodyMemoryError())
        self._body_reserved += size
