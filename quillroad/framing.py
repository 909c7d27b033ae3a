"""Message framing: determines where a request ends and rejects ambiguous requests. No I/O.

If Content-Length and Transfer-Encoding disagree, a request can be hidden in the body of another
one (request smuggling, RFC 9112 section 11.2): a host that obeys the other header would execute
it. The HTTP parser checks this too, but which deviations it tolerates depends on its version.
"""

from __future__ import annotations

from quillroad.errors import BadRequestError, FramingError

__all__ = ["HEAD_LIMIT", "MAX_FRAMING_RATIO", "BadRequestError", "FramingError", "check_framing"]

# Maximum size in bytes of a start line and all headers, of a request or a response. Clients and
# hosts send far less.
HEAD_LIMIT = 16 * 1024
# Maximum ratio of the raw bytes of a message to its head limit plus its decoded body. The parser
# reports chunk extensions and trailers to no callback, so without this limit an endless one would
# be read forever.
MAX_FRAMING_RATIO = 8

_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"
_MAX_CONTENT_LENGTH_DIGITS = 19  # exceeds any body size and still fits into 64 bits


def check_framing(version: str, headers: list[tuple[bytes, bytes]]) -> int:
    """Return the body length in bytes that the framing header declares.

    0 without a framing header, -1 for a chunked body.

    `version` is the HTTP version ("1.0" or "1.1"). Raises `FramingError` if the end of the request
    is ambiguous or the version is unsupported.
    """
    framing = _framing_headers(headers)
    length = 0
    if framing:
        for _, name, _ in framing:
            if b"_" in name or name != name.strip():
                raise FramingError(
                    "framing header name contains an underscore or whitespace",
                    name.decode("latin-1"),
                    "Content-Length or Transfer-Encoding",
                )
        if len(framing) > 1:
            raise FramingError(
                "more than one framing header", "Content-Length, Transfer-Encoding", "exactly one"
            )
        canonical_name, _, value = framing[0]
        length = (
            _content_length(value)
            if canonical_name == _CONTENT_LENGTH
            else _chunked(value, version)
        )
    if version not in ("1.0", "1.1"):
        raise FramingError("unsupported HTTP version", "version", "1.0 or 1.1")
    return length


def _content_length(value: bytes) -> int:
    if value.isdigit() and len(value) <= _MAX_CONTENT_LENGTH_DIGITS:
        return int(value)
    raise FramingError("invalid Content-Length", "Content-Length", "1 to 19 decimal digits")


def _chunked(value: bytes, version: str) -> int:
    """Return -1, the length that stands for a chunked body."""
    if value.lower() == b"chunked" and version == "1.1":
        return -1
    raise FramingError(
        "unsupported Transfer-Encoding", "Transfer-Encoding", "chunked, with HTTP/1.1"
    )


def _framing_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes, bytes]]:
    """Return the framing headers as (canonical name, name as received, value).

    Includes variants that only a lenient host would accept, such as `content_length`.
    """
    found: list[tuple[bytes, bytes, bytes]] = []
    for name, value in headers:
        if name[:1] in b"cCtT":
            canonical_name = name.lower().replace(b"_", b"-").strip()
            if canonical_name in (_CONTENT_LENGTH, _TRANSFER_ENCODING):
                found.append((canonical_name, name, value))
    return found
