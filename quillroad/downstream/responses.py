"""Serialisation of responses to clients: status line, headers, body and streamed bodies.

No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class BodyStream(Protocol):
    """The rest of a long response body, as it is received from the host.

    The receiver sets `on_data` (called with the bytes) and `on_end` (called with whether the body
    is complete), calls `pause_reading` while its write buffer is full, and `abandon` if the rest is
    not needed; after that neither callback is called.
    """

    on_data: Callable[[bytes], None] | None
    on_end: Callable[[bool], None] | None

    def pause_reading(self) -> None:
        """Stop reading from the host for now."""

    def resume_reading(self) -> None:
        """Continue after `pause_reading`."""

    def abandon(self) -> None:
        """Discard the rest of the body."""


def response(
    status: int,
    body: bytes,
    content_type: bytes | None,
    retry_after_us: int | None,
    keep_alive: bool,
) -> bytes:
    """Return a complete response.

    `retry_after_us` is the `Retry-After` time in microseconds; `keep_alive` tells whether the
    connection stays open.
    """
    type_line = b"" if content_type is None else b"Content-Type: %b\r\n" % content_type
    retry_line = (
        b"" if retry_after_us is None else b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6)
    )
    return b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\nConnection: %b\r\n\r\n%b" % (
        status,
        REASONS[status],
        type_line,
        retry_line,
        len(body),
        b"keep-alive" if keep_alive else b"close",
        body,
    )


def rejection(keep_alive: bool, retry_after_us: int) -> bytes:
    """Return a complete 503 response.

    `retry_after_us` is the `Retry-After` time in microseconds, 0 for none.
    """
    return response(503, b"", None, retry_after_us or None, keep_alive)


def streamed_head(
    content_type: bytes | None, length: int, chunked: bool, keep_alive: bool
) -> bytes:
    """Return the head of a 200 response whose body follows.

    `length` is the size of the body in bytes, -1 if the host sent none; such a body is `chunked` or
    ends with the connection.
    """
    lines = [b"HTTP/1.1 200 OK"]
    if content_type is not None:
        lines.append(b"Content-Type: " + content_type)
    if chunked:
        lines.append(b"Transfer-Encoding: chunked")
    elif length >= 0:
        lines.append(b"Content-Length: %d" % length)
    lines.append(b"Connection: keep-alive" if keep_alive else b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body in chunked coding; `data` must not be empty."""
    return b"%x\r\n%b\r\n" % (len(data), data)
