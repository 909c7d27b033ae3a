"""Reads route, tenant and time-out of a request off its bytes, without a parser. Free of I/O.

For rejections alone, which must cost a small part of what they save. Only what is plainly one whole
request and nothing else is read. All the rest gives None, and goes to the parser with its checks.
Nothing that is read here is ever passed on to a host.
"""

from __future__ import annotations

import re
from typing import NamedTuple

# Bytes of a head that is read here: longer ones are rare, and the search for their end is dear.
MAX_HEAD_BYTES = 4096
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,6})[ \t]*\r\n")
_TENANT = re.compile(rb"\r\ntenant:[ \t]*([^\r\n]*?)[ \t]*\r\n", re.IGNORECASE)
_TIMEOUT_MS = re.compile(rb"\r\nrequest-timeout-ms:[ \t]*([0-9]{1,12})[ \t]*\r\n")


class RequestPreview(NamedTuple):
    """What admission asks of a request.

    `route_name` is the first part of its path, which names the route; `tenant` is empty where none
    is named; `wait_ms` is how long its client waits for the answer in milliseconds, None where that
    is not plainly there.
    """

    route_name: bytes
    tenant: bytes
    wait_ms: int | None


def preview_request(data: bytes) -> RequestPreview | None:
    """What admission asks of a request; None where that is not plain.

    It is plain where `data` is exactly one GET or POST request of HTTP/1.1, whole, on a connection
    that stays open after it.
    """
    head_end = data.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES)
    if head_end < 0:
        return None
    head = data[: head_end + 2]
    line, _, _ = head.partition(b"\r\n")
    if not line.endswith(b" HTTP/1.1"):
        return None
    path = _path(line)
    if path is None:
        return None
    lower = head.lower()
    size = _body_size(lower)
    if size is None or len(data) != head_end + 4 + size:
        return None
    tenants = _TENANT.findall(head) if b"\r\ntenant" in lower else ()
    timeouts = _TIMEOUT_MS.findall(lower) if b"\r\nrequest-timeout-ms" in lower else ()
    return RequestPreview(
        path.partition(b"/")[0],
        tenants[0] if len(tenants) == 1 else b"",
        int(timeouts[0]) if len(timeouts) == 1 else None,
    )


def _path(line: bytes) -> bytes | None:
    """The path of a request line, without its first slash; None for other methods than two."""
    if line.startswith(b"GET /"):
        return line[len(b"GET /") : -len(b" HTTP/1.1")]
    if line.startswith(b"POST /"):
        return line[len(b"POST /") : -len(b" HTTP/1.1")]
    return None


def _body_size(lower_head: bytes) -> int | None:
    """Bytes of the body that a head in lower case announces; None where that is not plain."""
    if b"transfer-encoding" in lower_head:
        return None
    if b"\r\nconnection" in lower_head or b"\r\nexpect" in lower_head:
        return None
    if b"content" not in lower_head:
        return 0
    lengths = _CONTENT_LENGTH.findall(lower_head)
    named = lower_head.count(b"content-length") + lower_head.count(b"content_length")
    if len(lengths) != 1 or named != 1:
        return None
    return int(lengths[0])
