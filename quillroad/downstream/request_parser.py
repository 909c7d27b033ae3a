"""Request parser of one connection: limits on head, body and framing, and httptools callbacks.

No I/O. The output is a queue of `PendingRequest`: requests that passed all checks, and errors that
are answered in their order. The connection handles the transport, the clock and the responses.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

import httptools

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
from quillroad.framing import HEAD_LIMIT, MAX_FRAMING_RATIO, check_framing
from quillroad.overload.heap import fix_mmap_threshold
from quillroad.overload.memory_account import MemoryAccount

HEAD = ReadState.HEAD  # a global, which is faster to read than an attribute for each header
log = logging.getLogger("quillroad.downstream")

HEALTH_CHECK_PATH = b"/up"  # path of the platform's health check
MAX_PIPELINED_REQUESTS = (
    2  # parsed requests in the backlog of a connection: one is served at a time
)
HEADER_OVERHEAD_BYTES = 4  # beside name and value: colon, space, CR, LF
MAX_HEADER_FIELDS = 1024  # of a request: each one is some objects and some work
# Bytes parsed at a time. The work is counted after each slice, and one of the shortest fields or
# chunks has a callback for each four bytes. Slices grow while they contain little work.
MIN_SLICE_BYTES = 512
MAX_SLICE_BYTES = 16 * 1024
MESSAGE_WORK = 8  # the validation of a request, in callbacks that take as long
CHEAP_SLICE_WORK = 4  # callbacks in a slice, up to which the next one is twice as long
# Callbacks in which one turn of the event loop may result, for input that was just received.
TURN_WORK = 64
# Bytes to read from a connection at a time: usually, while memory is short, and in a long body of
# known length, where all that is read is stored without further work.
READ_BYTES = 16 * 1024
SHORT_READ_BYTES = 4096
LONG_BODY_READ_BYTES = 64 * 1024
# Memory that is not reserved in the account: of unparsed input, and of a request's head and body.
FREE_INPUT_BYTES = SHORT_READ_BYTES
FREE_HEAD_BYTES = 4096
FREE_BODY_BYTES = 2048
# Objects of a header field beside its bytes: a tuple, two bytes objects, and the list's reference.
FIELD_OBJECT_BYTES = 160
# Heads are reserved in steps, so that a step is rare.
HEAD_RESERVATION_BYTES = 4096


class PendingRequest:
    """A complete request, or the error response due for it, in the backlog of its connection.

    `request` is None for an error and for the health check, which are answered with `status`;
    `reason` is logged. `keep_alive` tells whether the connection may stay open after the response,
    `version` is the HTTP version. `route` is -1 if unknown, and `reserved` is the number of bytes
    of head and body that are reserved in `MemoryAccount`.
    """

    def __init__(
        self,
        request: ClientRequest | None,
        status: int,
        keep_alive: bool,
        reason: str = "",
        version: str = "1.1",
        route: int = -1,
        reserved: int = 0,
    ) -> None:
        self.request = request
        self.status = status
        self.keep_alive = keep_alive
        self.reason = reason
        self.version = version
        self.route = route if request is None else request.route
        self.reserved = reserved


class RequestParser:
    """Parses the input of one connection.

    `up_status` returns the status of the health check. `unparsed` is received data, of which the
    first `parsed` bytes are parsed; `read_at` is the monotonic time (s) at which it was received,
    from which deadlines count. `backlog` contains the requests that were parsed and not begun.
    `begun` counts requests whose first byte was received, `completed` those received completely.
    """

    def __init__(
        self, validator: RequestValidator, memory: MemoryAccount, up_status: Callable[[], int]
    ) -> None:
        self._validator = validator
        self._memory = memory
        self._up_status = up_status
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.state = ReadState.BETWEEN
        self.unparsed = b""
        self.parsed = 0
        self.read_at = 0.0
        self.backlog: deque[PendingRequest] = deque()
        self.begun = 0
        self.completed = 0
        # Error raised in a callback, which httptools wraps.
        self._callback_error: BadRequestError | None = None
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self.size = 0  # bytes of the head, or of the body once that has begun
        self._unfinished_bytes = 0  # bytes read since a request began that did not complete it
        self._body_length = 0  # declared length of the body in bytes; -1 if it is chunked
        self._reserved = 0  # bytes of the request being received that are reserved in the account
        self._head_reserved = 0  # those for its head
        self._work = 0  # callbacks so far
        self._slice_bytes = MIN_SLICE_BYTES
        self.continue_sent = False

    def body_left(self) -> int:
        """Return how many bytes of the body are left to receive; negative if its length is unknown.

        Only meaningful in state BODY.
        """
        return self._body_length - self.size

    def can_parse(self) -> bool:
        """Whether unparsed input is left that `feed` would parse."""
        return bool(self.unparsed) and len(self.backlog) < MAX_PIPELINED_REQUESTS

    def append(self, data: bytes) -> None:
        """Append received data to the data that is not parsed yet."""
        self.unparsed = self.unparsed[self.parsed :] + data
        self.parsed = 0

    def feed(self, max_work: int = TURN_WORK) -> None:
        """Parse received data until `max_work` callbacks or the limit of the backlog are reached.

        Both may be exceeded by one slice. The rest stays in `unparsed`.
        """
        work_end = self._work + max_work
        while (
            self.unparsed
            and len(self.backlog) < MAX_PIPELINED_REQUESTS
            and self._work < work_end
            and self._parser is not None
        ):
            work_before = self._work
            self._feed_slice(self._parser)
            work = self._work - work_before
            if work > CHEAP_SLICE_WORK:
                self._slice_bytes = MIN_SLICE_BYTES
            elif self._slice_bytes < MAX_SLICE_BYTES:
                self._slice_bytes *= 2

    def _feed_slice(self, parser: httptools.HttpRequestParser) -> None:
        """Parse the next slice of the received data."""
        step = self._slice_bytes
        if self.state is ReadState.BODY:  # the rest of a body of known length is a single callback
            step = max(step, self._body_length - self.size)
        if not self.parsed and len(self.unparsed) <= step:
            data = self.unparsed
            self.unparsed = b""
        else:
            data = self.unparsed[self.parsed : self.parsed + step]
            self.parsed += step
            if self.parsed >= len(self.unparsed):
                self.unparsed = b""
                self.parsed = 0
        completed = self.completed
        try:
            parser.feed_data(data)
            if completed == self.completed and self.state is not ReadState.BETWEEN:
                self._unfinished_bytes += len(data)
                if self.state is HEAD:
                    self._reserve_head()
                if self._unfinished_bytes > HEAD_LIMIT:
                    self._check_unfinished_bytes()
        except httptools.HttpParserUpgrade:
            # The upgrade is declined: the request is served as HTTP/1.1, but httptools parses
            # nothing after it.
            self.backlog[-1].keep_alive = False
            self.end()
        except (httptools.HttpParserError, BadRequestError) as error:
            self._reject(error)

    def _check_unfinished_bytes(self) -> None:
        """Raise `BadRequestError` if an incomplete request has too many bytes.

        A header or chunk extension without end reaches no callback: without this check it would be
        read without limit.
        """
        if self.state is ReadState.HEAD:
            raise HeadTooLongError(HEAD_LIMIT)
        max_bytes = MAX_FRAMING_RATIO * (HEAD_LIMIT + self.size)
        if self._unfinished_bytes > max_bytes:
            raise BodyTooLongError("request too long", max_bytes)

    def _reject(self, error: httptools.HttpParserError | BadRequestError) -> None:
        """End the input with an error that is answered after earlier requests."""
        if isinstance(error, BadRequestError):
            bad_request = error
        else:
            bad_request = self._callback_error or HttpSyntaxError(f"invalid HTTP: {error}")
            if self._callback_error is None and isinstance(
                error, httptools.HttpParserCallbackError
            ):
                # An unexpected exception in a callback below: a bug here, not an error of the
                # client.
                log.error("unexpected exception in a parser callback", exc_info=error.__context__)
        # Its traceback refers to this object and to the input: until the garbage collector ran, the
        # cycle would hold the memory of a connection that has closed.
        self._callback_error = None
        # Only a 503 counts as a rejection of its route: the request itself is valid.
        route = self._validator.route_of(self._url) if bad_request.status == 503 else None
        self.fail(bad_request, -1 if route is None else route)

    def fail(self, error: BadRequestError, route: int = -1) -> None:
        """Stop parsing, discard the partial body and queue `error` behind earlier requests."""
        self._body = bytearray()
        self._headers = []
        reserved = self._reserved
        self._reserved = 0
        self.backlog.append(
            PendingRequest(None, error.status, False, str(error), route=route, reserved=reserved)
        )
        self.end()

    def end(self) -> None:
        """Stop parsing and discard unparsed data."""
        self.state = READ_AFTER[self.state][ReadEvent.END]
        self.unparsed = b""
        self.parsed = 0

    def clear_backlog(self) -> int:
        """Drop the backlog, and return the bytes that its bodies have reserved in the budget."""
        reserved = sum(pending.reserved for pending in self.backlog)
        self.backlog.clear()
        return reserved

    def close(self) -> int:
        """Release everything, and return the reserved bytes to give back to the budget.

        httptools refers back to this object: without breaking that reference cycle the memory would
        stay in use until the garbage collector runs.
        """
        self.end()
        self._parser = None
        reserved = self._reserved + self.clear_backlog()
        self._reserved = 0
        return reserved

    def has_more(self) -> bool:
        """Whether any data of a further request was received."""
        return bool(self.backlog) or bool(self.unparsed) or self.state in PARTIAL

    def expects_continue(self) -> bool:
        """Whether the client waits for `100 Continue` before its body (RFC 9110, 10.1.1)."""
        if self.state is not ReadState.BODY or self.size or self.backlog or self.continue_sent:
            return False
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                return self._parser is not None and self._parser.get_http_version() == "1.1"
        return False

    # httptools callbacks, in the order in which they are called.

    def on_message_begin(self) -> None:
        """Begin a new request."""
        self.state = READ_AFTER[self.state][ReadEvent.BEGIN]
        self.begun += 1
        self._url = b""
        self._headers = []
        self._body = bytearray()
        self.size = 0
        self._unfinished_bytes = 0
        self._head_reserved = 0
        self.continue_sent = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._url += url
        self.size += len(url)
        if self.size > HEAD_LIMIT:
            raise self._record_error(HeadTooLongError(HEAD_LIMIT))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; ignore a trailer, which must not replace a header that was checked."""
        self._work += 1
        if self.state is not HEAD:
            return
        self._headers.append((name, value.strip()))
        size = self.size + len(name) + len(value) + HEADER_OVERHEAD_BYTES
        self.size = size
        if size > HEAD_LIMIT:
            raise self._record_error(HeadTooLongError(HEAD_LIMIT))

    def on_headers_complete(self) -> None:
        """Check the framing; from here on `size` counts bytes of the body."""
        self.state = READ_AFTER[self.state][ReadEvent.HEAD_COMPLETE]
        self.size = 0
        assert self._parser is not None
        try:
            length = check_framing(self._parser.get_http_version(), self._headers)
        except BadRequestError as bad_request:
            self._callback_error = bad_request
            raise
        self._body_length = length
        if len(self._headers) > MAX_HEADER_FIELDS:
            raise self._record_error(HeadTooLongError(HEAD_LIMIT))
        if length > self._validator.longest_body:
            raise self._record_error(
                BodyTooLongError("body too long", self._validator.longest_body)
            )

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, and reserve memory for it past `FREE_BODY_BYTES`."""
        self._work += 1
        before = self.size
        self.size += len(body)
        if self.size > FREE_BODY_BYTES:
            if self.size > self._validator.longest_body:
                raise self._record_error(
                    BodyTooLongError("body too long", self._validator.longest_body)
                )
            # The first `FREE_BODY_BYTES` are reserved only once the body is longer than that.
            self._reserve(self.size if before <= FREE_BODY_BYTES else len(body))
        self._body += body

    def on_message_complete(self) -> None:
        """Validate the complete request, and add it or its error to the backlog."""
        self.state = READ_AFTER[self.state][ReadEvent.COMPLETE]
        self.completed += 1
        self._work += MESSAGE_WORK
        parser = self._parser
        assert parser is not None
        keep_alive = parser.should_keep_alive()
        try:
            method = parser.get_method()
            if method == b"GET" and self._url.partition(b"?")[0] == HEALTH_CHECK_PATH:
                pending = PendingRequest(None, self._up_status(), keep_alive)
            else:
                request = self._validator.check(
                    method, self._url, self._headers, self._body, self.read_at
                )
                pending = PendingRequest(
                    request, 200, keep_alive, version=parser.get_http_version()
                )
        except BadRequestError as bad_request:
            pending = PendingRequest(None, bad_request.status, keep_alive, str(bad_request))
        if self._reserved:
            # From here on the memory and its reservation belong to the request alone, and are
            # released with it.
            self._body = bytearray()
            self._headers = []
            pending.reserved = self._reserved
            self._reserved = 0
        self.backlog.append(pending)

    def _record_error(self, error: BadRequestError) -> BadRequestError:
        """Record and return an error to raise in a callback, where httptools wraps it."""
        self._callback_error = error
        return error

    def _reserve(self, size: int) -> None:
        """Reserve `size` more bytes in the account; raise `BodyMemoryError` if it is full."""
        fix_mmap_threshold()
        if not self._memory.take(size):
            raise self._record_error(BodyMemoryError())
        self._reserved += size

    def _reserve_head(self) -> None:
        """Reserve memory for the head received so far, as the objects that it consists of.

        Raises `BodyMemoryError` if the account is full, `HeadTooLongError` for too many fields.
        """
        fields = len(self._headers)
        if fields > MAX_HEADER_FIELDS:
            raise HeadTooLongError(HEAD_LIMIT)
        needed = self._unfinished_bytes + fields * FIELD_OBJECT_BYTES - FREE_HEAD_BYTES
        if needed > self._head_reserved:
            step = max(HEAD_RESERVATION_BYTES, needed - self._head_reserved)
            self._reserve(step)
            self._head_reserved += step
