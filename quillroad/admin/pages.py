"""Answers to calls of operators."""

from __future__ import annotations

from typing import NamedTuple

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
    """The answer to a call; `allow` is the method that its path has, or empty."""

    status: int
    body: bytes
    content_type: str = "text/plain; charset=utf-8"
    allow: str = ""


def page(status: int, text: str = "", allow: str = "") -> Page:
    """A page of one line; without a text its status says all."""
    return Page(status, (text or REASONS[status].lower()).encode() + b"\n", allow=allow)


def response(answer: Page) -> bytes:
    """The bytes of an HTTP/1.1 response, on a connection that closes after it."""
    lines = [
        f"HTTP/1.1 {answer.status} {REASONS[answer.status]}",
        f"Content-Type: {answer.content_type}",
        f"Content-Length: {len(answer.body)}",
        "Connection: close",
    ]
    if answer.allow:
        lines.append(f"Allow: {answer.allow}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + answer.body
