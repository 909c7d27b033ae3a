"""HTTP responses to operators' calls."""

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
    """The response to a call; `allow` is the value of the `Allow` header, empty for no header."""

    status: int
    body: bytes
    content_type: str = "text/plain; charset=utf-8"
    allow: str = ""


def page(status: int, text: str = "", allow: str = "") -> Page:
    """Return a page of one line of text: `text`, or the status's reason phrase in lower case."""
    return Page(status, (text or REASONS[status].lower()).encode() + b"\n", allow=allow)


def response(answer: Page) -> bytes:
    """Return the bytes of the HTTP/1.1 response, with `Connection: close`."""
    lines = [
        f"HTTP/1.1 {answer.status} {REASONS[answer.status]}",
        f"Content-Type: {answer.content_type}",
        f"Content-Length: {len(answer.body)}",
        "Connection: close",
    ]
    if answer.allow:
        lines.append(f"Allow: {answer.allow}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + answer.body
