"""Where a request ends, beyond doubt. No I/O.

Guards against a request hidden in the body of another: a host that goes by the other of two headers would run
it. The parser has checks of its own, but what it is lenient about changes with its version.
"""

from __future__ import annotations

FRAMED = (
    8  # bytes of a message at most for each of its body: a chunk's extension reaches no callback
)


class BadRequestError(Exception):
    """What came is no request; `status` says why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def check_framing(version: str, headers: list[tuple[bytes, bytes]]) -> int:
    """The length of the body that is told, in bytes; -1 for one in chunks. Raises `BadRequestError` unless it
    is beyond doubt where the request ends."""
    framing = [
        (n.lower().replace(b"_", b"-").strip(), n, v) for n, v in headers if n[:1] in b"cCtT"
    ]
    lengths = [(n, v) for plain, n, v in framing if plain == b"content-length"]
    codings = [(n, v) for plain, n, v in framing if plain == b"transfer-encoding"]
    if any(b"_" in name or name != name.strip() for name, _ in lengths + codings):
        raise BadRequestError(400, "a framing header spelt oddly")
    if len(lengths) + len(codings) > 1:
        raise BadRequestError(400, "two framing headers")
    if lengths and not (lengths[0][1].isdigit() and len(lengths[0][1]) < 20):
        raise BadRequestError(400, "bad Content-Length")
    if codings and (codings[0][1].lower() != b"chunked" or version != "1.1"):
        raise BadRequestError(400, "unknown Transfer-Encoding")
    if version not in ("1.0", "1.1"):
        raise BadRequestError(400, "unknown version of HTTP")
    if codings:
        return -1
    return int(lengths[0][1]) if lengths else 0
