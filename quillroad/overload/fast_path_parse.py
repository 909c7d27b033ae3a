"""Extracts route, tenant and time-out from the bytes of a request without a full parse. No I/O.

Used only to reject requests, which must cost a small fraction of the work that it saves. Only
input that is unambiguously one complete request is accepted. For all other input the result is
None, and the HTTP parser with its checks handles it. Nothing extracted here is sent to a host.
"""

from __future__ import annotations

import re
from typing import NamedTuple

# Maximum head size for this fast path: longer heads are rare, and finding their end is expensive.
MAX_HEAD_BYTES = 4096
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,6})[ \t]*\r\n")
_TENANT = re.compile(rb"\r\ntenant:[ \t]*([^\r\n]*?)[ \t]*\r\n", re.IGNORECASE)
_TIMEOUT_MS = re.compile(rb"\r\nrequest-timeout-ms:[ \t]*([0-9]{1,12})[ \t]*\r\n")


class RequestPreview(NamedTuple):
    """The properties of a request that admission needs.

    `route_name` is the first segment of the path; `tenant` is empty if there is not exactly one
    Tenant header; `wait_ms` is the client's time-out in milliseconds, None if there is not exactly
    one valid Request-Timeout-Ms header.
    """

    route_name: bytes
    tenant: bytes
    wait_ms: int | None


def preview_request(data: bytes) -> RequestPreview | None:
    """Return the properties of a request that admission needs, or None if they are not certain.

    They are certain if `data` is exactly one complete HTTP/1.1 GET or POST request without a
    Connection, Expect or Transfer-Encoding header.
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
    lower_case_head = head.lower()
    size = _body_size(lower_case_head)
    if size is None or len(data) != head_end + 4 + size:
        return None
    tenants = _TENANT.findall(head) if b"\r\ntenant" in lower_case_head else ()
    timeouts = (
        _TIMEOUT_MS.findall(lower_case_head) if b"\r\nrequest-timeout-ms" in lower_case_head else ()
    )
    return RequestPreview(
        path.partition(b"/")[0],
        tenants[0] if len(tenants) == 1 else b"",
        int(timeouts[0]) if len(timeouts) == 1 else None,
    )


def _path(line: bytes) -> bytes | None:
    """Return the path of a request line without its leading slash; None unless GET or POST."""
    if line.startswith(b"GET /"):
        return line[len(b"GET /") : -len(b" HTTP/1.1")]
    if line.startswith(b"POST /"):
        return line[len(b"POST /") : -len(b" HTTP/1.1")]
    return None


def _body_size(lower_head: bytes) -> int | None:
    """Return the declared body size of a lower-case head in bytes; None if not certain."""
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
