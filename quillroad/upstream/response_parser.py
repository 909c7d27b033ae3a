"""Parses and validates the answers received on one connection to a host. No I/O.

Hosts are not trusted to follow HTTP: the head, the body, the number of interim answers and the
framing overhead of each answer are limited, and a violation is reported as a typed `ResponseError`.
"""

from __future__ import annotations

from enum import IntEnum

import httptools

from quillroad.config import SHORT_BODY
from quillroad.framing import MAX_FRAMING_RATIO
from quillroad.http_answer import HEAD_LIMIT_BYTES
from quillroad.upstream.outcome import STATUS_OK

# Maximum number of interim (1xx) answers before the final answer. Hosts send none or one; without a
# limit a host could keep an attempt busy forever without answering.
MAX_INTERIM_ANSWERS = 8
# Bytes that are kept of the body of an answer that is not passed on to a client.
MAX_ERROR_BODY_BYTES = 1024
# The headers that the gateway uses; the others are not stored.
USED_HEADERS = frozenset(
    (b"connection", b"content-length", b"content-type", b"not-started", b"transfer-encoding")
)


class ResponseError(Exception):
    """An answer violates HTTP or a limit; later bytes of the connection cannot be trusted."""


class MalformedResponseError(ResponseError):
    """The received bytes are not valid HTTP/1.1."""


class HeadTooLongError(ResponseError):
    """The head is longer than `HEAD_LIMIT_BYTES`."""


class BodyTooLongError(ResponseError):
    """The body is longer than the limit for the status of its answer."""


class TooManyInterimAnswersError(ResponseError):
    """More than `MAX_INTERIM_ANSWERS` interim answers precede the final answer."""


class FramingTooLongError(ResponseError):
    """The framing is much longer than the content, for example endless chunk extensions."""


class SurplusDataError(ResponseError):
    """More bytes follow a complete answer."""


class ResponsePhase(IntEnum):
    """How far the answer to the current request has been read."""

    AWAITING = 0  # nothing received, or interim answers only
    HEAD = 1
    BODY = 2
    COMPLETE = 3


class ResponseParser:
    """Parses the answer to one request at a time; `reset` prepares for the next answer.

    `feed` never raises; a violation is stored in `error`. A complete answer stays valid if an error
    follows it, but its connection must then not be reused.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.work = 0  # callbacks so far: how much work the received bytes were
        self.reset()

    def reset(self) -> None:
        """Discard the previous answer; the next bytes belong to the answer to a new request."""
        self.phase = ResponsePhase.AWAITING
        self.error: ResponseError | None = None
        self.status = 0
        self.headers: dict[bytes, bytes] = {}  # names in lower case
        self.body = bytearray()  # received bytes that `take_body` has not returned
        self.body_length = -1  # declared length of the body in bytes; -1: unknown
        self.keep_alive = False
        self.streamed = False  # the caller takes the body as it arrives; it is not buffered here
        self._size_bytes = 0  # received bytes of the head or, after it, of the body
        self._body_limit_bytes = SHORT_BODY
        self._received_bytes = 0  # including interim answers and all framing
        self._interim_answers = 0

    def close(self) -> None:
        """Release the underlying parser.

        It holds a reference to this object; without this call both would stay in memory until the
        garbage collector finds the reference cycle.
        """
        self._parser = None

    def feed(self, data: bytes) -> None:
        """Parse more bytes and update `phase` and `error`."""
        if self._parser is None:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.error is None:
                self.error = MalformedResponseError()
            # The traceback refers back to this object, which would stay in memory until the garbage
            # collector runs.
            self.error.__traceback__ = None
        if self._received_bytes > HEAD_LIMIT_BYTES:
            self._check_framing()

    def _check_framing(self) -> None:
        """Limit the received bytes, including those that reach no callback (chunk extensions).

        Without this a host could send chunk extensions forever, each time just before the wait for
        the rest of the answer times out.
        """
        if self.streamed or self.phase is ResponsePhase.COMPLETE:
            return
        max_received_bytes = HEAD_LIMIT_BYTES
        if self.phase is ResponsePhase.BODY:
            max_received_bytes = MAX_FRAMING_RATIO * (HEAD_LIMIT_BYTES + self._size_bytes)
        if self._received_bytes > max_received_bytes and self.error is None:
            self.error = FramingTooLongError()

    def is_partial(self) -> bool:
        """Return whether an answer has begun and is not complete."""
        return self.phase is ResponsePhase.HEAD or self.phase is ResponsePhase.BODY

    def is_long(self) -> bool:
        """Return whether the body, as declared or received, is too long to be buffered."""
        return (
            self.status == STATUS_OK
            and self.phase is ResponsePhase.BODY
            and max(self._size_bytes, self.body_length) > SHORT_BODY
        )

    def may_be_long(self) -> bool:
        """Return whether long bodies are allowed, so that hosts may pause within an answer."""
        return self._max_body_bytes > SHORT_BODY

    def has_unknown_length(self) -> bool:
        """Return whether the head is complete and declares no length of a body that may be long."""
        return self.status == STATUS_OK and self.body_length < 0 and self.may_be_long()

    def finish_at_close(self) -> bool:
        """Handle the end of file; return whether it completes the answer (RFC 9112, 6.3).

        It does so only if the head declares it (`Connection: close`, or HTTP/1.0). Otherwise the
        answer may have been cut short, and a partial body must not be taken for the whole body.
        """
        if self._parser is None or self.phase is not ResponsePhase.BODY or self.body_length >= 0:
            return False
        if self.status != STATUS_OK or b"transfer-encoding" in self.headers:
            return False
        has_close_header = self.headers.get(b"connection", b"").lower() == b"close"
        if not has_close_header and self._parser.get_http_version() != "1.0":
            return False
        self.phase = ResponsePhase.COMPLETE
        self.keep_alive = False
        return True

    def take_body(self) -> bytes:
        """Return the bytes of the body received since the last call, and remove them."""
        body = bytes(self.body)
        self.body.clear()
        return body

    # Callbacks of the underlying parser, which stops if one of them raises.

    def on_message_begin(self) -> None:
        """Handle the start of an answer."""
        if self.phase is ResponsePhase.COMPLETE:
            if self.error is None:
                self.error = SurplusDataError()
        else:
            self.phase = ResponsePhase.HEAD

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers, which arrive here too, are ignored."""
        self.work += 1
        if self.phase is not ResponsePhase.HEAD:
            return
        self._size_bytes += len(name) + len(value)
        if self._size_bytes > HEAD_LIMIT_BYTES:
            self.error = HeadTooLongError()
            raise self.error
        lower_name = name.lower()
        if lower_name in USED_HEADERS:
            self.headers[lower_name] = value.strip()

    def on_headers_complete(self) -> None:
        """Handle the end of the head; fail at once if the declared body is too long."""
        if self.phase is ResponsePhase.COMPLETE or self._parser is None:
            return
        self.phase = ResponsePhase.BODY
        self._size_bytes = 0
        self.status = self._parser.get_status_code()
        length = self.headers.get(b"content-length")
        if length is not None and b"transfer-encoding" not in self.headers:
            self.body_length = int(length)
        if self.status == STATUS_OK:  # only answers that are forwarded may have a long body
            self._body_limit_bytes = self._max_body_bytes
        if self.body_length > self._body_limit_bytes:
            self.error = BodyTooLongError()
            raise self.error

    def on_body(self, body: bytes) -> None:
        """Add received bytes to the body."""
        self.work += 1
        if self.phase is ResponsePhase.COMPLETE:
            return
        self._size_bytes += len(body)
        if self._size_bytes > self._body_limit_bytes:
            self.error = BodyTooLongError()
            raise self.error
        if self.status == STATUS_OK:
            self.body += body
        else:  # it is not passed on
            self.body += body[: max(0, MAX_ERROR_BODY_BYTES - len(self.body))]

    def on_message_complete(self) -> None:
        """Handle the end of the answer, or of an interim answer before it."""
        if self.phase is ResponsePhase.COMPLETE or self._parser is None:
            return
        if 100 <= self.status < STATUS_OK:
            self._finish_interim_answer()
        else:
            self.phase = ResponsePhase.COMPLETE
            self.keep_alive = self._parser.should_keep_alive()

    def _finish_interim_answer(self) -> None:
        """Prepare for the final answer; bytes of interim answers count towards its limits."""
        received_bytes = self._received_bytes
        interim_answers = self._interim_answers + 1
        self.reset()
        self._received_bytes = received_bytes
        self._interim_answers = interim_answers
        if interim_answers > MAX_INTERIM_ANSWERS:
            self.error = TooManyInterimAnswersError()
            raise self.error
