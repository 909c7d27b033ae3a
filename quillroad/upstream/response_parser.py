"""Turns the bytes of one connection to a host into checked answers. No I/O.

Hosts are not trusted to keep to HTTP: the head, the body, the interim answers and the framing of
each answer have limits, and whatever breaks one ends as a typed `ResponseError`.
"""

from __future__ import annotations

from enum import IntEnum

import httptools

from quillroad.config import SHORT_BODY
from quillroad.framing import FRAMED
from quillroad.http_answer import HEAD_LIMIT_BYTES
from quillroad.upstream.outcome import STATUS_OK

# Interim (1xx) answers ahead of the final one. Hosts send none or one; without a bound a host could
# keep an attempt busy for ever without ever answering.
MAX_INTERIM_ANSWERS = 8


class ResponseError(Exception):
    """An answer that breaks HTTP or one of the limits. Nothing later can be trusted."""


class MalformedResponseError(ResponseError):
    """What came is not HTTP/1.1."""


class HeadTooLongError(ResponseError):
    """The head is longer than `HEAD_LIMIT_BYTES`."""


class BodyTooLongError(ResponseError):
    """The body is longer than an answer of its status may have."""


class TooManyInterimAnswersError(ResponseError):
    """More than `MAX_INTERIM_ANSWERS` interim answers ahead of the final one."""


class FramingTooLongError(ResponseError):
    """Far more bytes than the content accounts for, as in endless chunk extensions."""


class SurplusDataError(ResponseError):
    """Bytes behind a complete answer."""


class ResponsePhase(IntEnum):
    """How far the answer to the current request has been read."""

    AWAITING = 0  # nothing yet, or interim answers only
    HEAD = 1
    BODY = 2
    COMPLETE = 3


class ResponseParser:
    """Reads the answer to one request at a time; `reset` prepares for the next request's.

    `feed` never raises: what is wrong with the answer stands in `error`. An answer that is complete
    stays valid also where an error follows it, but then its connection must not be used again.
    """

    def __init__(self, longest_body_bytes: int) -> None:
        self._longest_body_bytes = longest_body_bytes
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        """Forget the answer before: the next bytes belong to a new request's."""
        self.phase = ResponsePhase.AWAITING
        self.error: ResponseError | None = None
        self.status = 0
        self.headers: dict[bytes, bytes] = {}  # names in lower case
        self.body = bytearray()  # what has come of it and was not taken
        self.body_length = -1  # of the complete body in bytes, as the head tells; -1: it does not
        self.keep_alive = False
        self.streamed = False  # the caller takes the body as it comes, so it does not pile up here
        self._size_bytes = 0  # of the head, or of what has come of the body
        self._body_limit_bytes = SHORT_BODY
        self._received_bytes = 0  # of the answer and the interim ones ahead of it, with all framing
        self._interim_answers = 0

    def close(self) -> None:
        """Release the underlying parser.

        It refers back to this object; without this the two would stay in memory until the garbage
        collector finds the cycle.
        """
        self._parser = None

    def feed(self, data: bytes) -> None:
        """Read more bytes; afterwards `phase` and `error` tell where the answer stands."""
        if self._parser is None:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.error is None:
                self.error = MalformedResponseError()
        if self._received_bytes > HEAD_LIMIT_BYTES:
            self._check_framing()

    def _check_framing(self) -> None:
        """Count bytes that reach no callback (chunk extensions), too.

        Without this a host could send them for ever, each time just before its attempt is taken for
        stuck.
        """
        if self.streamed or self.phase is ResponsePhase.COMPLETE:
            return
        most = HEAD_LIMIT_BYTES
        if self.phase is ResponsePhase.BODY:
            most = FRAMED * (HEAD_LIMIT_BYTES + self._size_bytes)
        if self._received_bytes > most and self.error is None:
            self.error = FramingTooLongError()

    def is_partial(self) -> bool:
        """Whether an answer has begun and is not complete."""
        return self.phase is ResponsePhase.HEAD or self.phase is ResponsePhase.BODY

    def is_long(self) -> bool:
        """Whether the body, as told or as come so far, is too long to be held in memory."""
        return (
            self.status == STATUS_OK
            and self.phase is ResponsePhase.BODY
            and max(self._size_bytes, self.body_length) > SHORT_BODY
        )

    def has_open_length(self) -> bool:
        """Whether some of a body has come that may be passed on and is of unknown length."""
        return (
            self.status == STATUS_OK
            and self._size_bytes > 0 > self.body_length
            and self._body_limit_bytes > SHORT_BODY
        )

    def finish_at_close(self) -> bool:
        """The host has ended its side. True where that completes the answer (RFC 9112, 6.3).

        Only where the head says so (`Connection: close`, or HTTP/1.0): of an answer whose head was
        cut short, what came of the body must not pass for all of it.
        """
        if self._parser is None or self.phase is not ResponsePhase.BODY or self.body_length >= 0:
            return False
        if self.status != STATUS_OK or b"transfer-encoding" in self.headers:
            return False
        says_close = self.headers.get(b"connection", b"").lower() == b"close"
        if not says_close and self._parser.get_http_version() != "1.0":
            return False
        self.phase = ResponsePhase.COMPLETE
        self.keep_alive = False
        return True

    def take_body(self) -> bytes:
        """What has come of the body since it was last taken."""
        body = bytes(self.body)
        self.body.clear()
        return body

    # Callbacks of the underlying parser, which stops at an error that one of them raises.

    def on_message_begin(self) -> None:
        """An answer starts."""
        if self.phase is ResponsePhase.COMPLETE:
            if self.error is None:
                self.error = SurplusDataError()
        else:
            self.phase = ResponsePhase.HEAD

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header; also a trailer, which is left out."""
        if self.phase is not ResponsePhase.HEAD:
            return
        self._size_bytes += len(name) + len(value)
        if self._size_bytes > HEAD_LIMIT_BYTES:
            self.error = HeadTooLongError()
            raise self.error
        self.headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        """The head is complete: a body that is told to be too long is not waited for."""
        if self.phase is ResponsePhase.COMPLETE or self._parser is None:
            return
        self.phase = ResponsePhase.BODY
        self._size_bytes = 0
        self.status = self._parser.get_status_code()
        length = self.headers.get(b"content-length")
        if length is not None and b"transfer-encoding" not in self.headers:
            self.body_length = int(length)
        if self.status == STATUS_OK:  # only an answer that is passed on may be long
            self._body_limit_bytes = self._longest_body_bytes
        if self.body_length > self._body_limit_bytes:
            self.error = BodyTooLongError()
            raise self.error

    def on_body(self, body: bytes) -> None:
        """More of the body."""
        if self.phase is ResponsePhase.COMPLETE:
            return
        self._size_bytes += len(body)
        if self._size_bytes > self._body_limit_bytes:
            self.error = BodyTooLongError()
            raise self.error
        self.body += body

    def on_message_complete(self) -> None:
        """The answer is complete, or an interim one ahead of it."""
        if self.phase is ResponsePhase.COMPLETE or self._parser is None:
            return
        if 100 <= self.status < STATUS_OK:
            self._finish_interim_answer()
        else:
            self.phase = ResponsePhase.COMPLETE
            self.keep_alive = self._parser.should_keep_alive()

    def _finish_interim_answer(self) -> None:
        """The final answer follows, within the same limits."""
        received_bytes = self._received_bytes
        interim_answers = self._interim_answers + 1
        self.reset()
        self._received_bytes = received_bytes
        self._interim_answers = interim_answers
        if interim_answers > MAX_INTERIM_ANSWERS:
            self.error = TooManyInterimAnswersError()
            raise self.error
