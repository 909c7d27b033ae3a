"""Where a request ends, beyond doubt. No I/O.

Two headers that name different ends let a request hide in the body of another (request smuggling):
a host that goes by the other header would run it. The parser has checks of its own, but what it is
lenient about changes with its version.
"""

from __future__ import annotations

from quillroad.errors import BadRequestError, FramingError

__all__ = ["FRAMED", "HEAD_LIMIT", "BadRequestError", "FramingError", "check_framing"]

# Bytes of a start line and all headers, of a request or a response: far more than clients and hosts
# send.
HEAD_LIMIT = 16 * 1024
# Bytes of a message at most for each byte of its head's limit and body: chunk extensions and
# trailers reach no callback of the parser, and without this one without end would be read for ever.
FRAMED = 8

_LENGTH = b"content-length"
_CODING = b"transfer-encoding"
_LENGTH_DIGITS = 19  # of a Content-Length at most: more than any body, and within 64 bits


def check_framing(version: str, headers: list[tuple[bytes, bytes]]) -> int:
    """The length of the body in bytes as its header tells it.

    0 without one, -1 for a body in chunks.

    `version` is the protocol's ("1.0" or "1.1"). Raises `FramingError` unless it is beyond doubt
    where the request ends.
    """
    framing = _framing_headers(headers)
    length = 0
    if framing:
        for _, name, _ in framing:
            if b"_" in name or name != name.strip():
                raise FramingError(
                    "a framing header spelt oddly", name.decode("latin-1"), "its usual spelling"
                )
        if len(framing) > 1:
            raise FramingError("two framing headers", "Content-Length, Transfer-Encoding", "one")
        plain, _, value = framing[0]
        length = _content_length(value) if plain == _LENGTH else _chunked(value, version)
    if version not in ("1.0", "1.1"):
        raise FramingError("unknown version of HTTP", "version", "1.0 or 1.1")
    return length


def _content_length(value: bytes) -> int:
    if value.isdigit() and len(value) <= _LENGTH_DIGITS:
        return int(value)
    raise FramingError("bad Content-Length", "Content-Length", "decimal digits")


def _chunked(value: bytes, version: str) -> int:
    """-1, the length of a body in chunks."""
    if value.lower() == b"chunked" and version == "1.1":
        return -1
    raise FramingError("unknown Transfer-Encoding", "Transfer-Encoding", "chunked, with HTTP/1.1")


def _framing_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes, bytes]]:
    """The headers that frame a body, also those that only a lenient host takes for such.

    Plain name, name as it came, value.
    """
    found: list[tuple[bytes, bytes, bytes]] = []
    for name, value in headers:
        if name[:1] in b"cCtT":
            plain = name.lower().replace(b"_", b"-").strip()
            if plain in (_LENGTH, _CODING):
                found.append((plain, name, value))
    return found
