"""Reads class, tenant and waiting time of a request off its bytes, without a parser. Free of I/O.

For refusals alone, which must cost a small part of what they save. Only what is plainly one whole request and
nothing else is read; all the rest gets `None`, and goes to the parser with its checks. Nothing read here is
ever passed on to a host.
"""

from __future__ import annotations

import re
from typing import NamedTuple

LONGEST = 4096  # bytes of a head that is read here
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,6})[ \t]*\r\n")
_TENANT = re.compile(rb"\r\ntenant:[ \t]*([^\r\n]*?)[ \t]*\r\n", re.IGNORECASE)
_WAIT = re.compile(rb"\r\nrequest-timeout-ms:[ \t]*([0-9]{1,12})[ \t]*\r\n")


class RequestPreview(NamedTuple):
    """What admission asks of a request."""

    kind: bytes  # first part of its path
    tenant: bytes  # empty where none is told
    wait_ms: int | None  # for which its client waits; None where that is not plainly told


def preview_request(data: bytes) -> RequestPreview | None:
    """What admission asks of a request, if `data` is exactly one request of HTTP/1.1 on a connection that
    stays."""
    end = data.find(b"\r\n\r\n", 0, LONGEST)
    if end < 0:
        return None
    head = data[: end + 2]
    line, _, _ = head.partition(b"\r\n")
    if not line.endswith(b" HTTP/1.1"):
        return None
    lower = head.lower()
    if b"transfer-encoding" in lower or b"\r\nconnection" in lower or b"\r\nexpect" in lower:
        return None
    size = 0
    if b"content" in lower:
        lengths = _LENGTH.findall(lower)
        if (
            len(lengths) != 1
            or lower.count(b"content-length") + lower.count(b"content_length") != 1
        ):
            return None
        size = int(lengths[0])
    if len(data) != end + 4 + size:
        return None
    if line.startswith(b"GET /"):
        path = line[5:-9]
    elif line.startswith(b"POST /"):
        path = line[6:-9]
    else:
        return None
    tenants = _TENANT.findall(head) if b"\r\ntenant" in lower else ()
    waits = _WAIT.findall(lower) if b"\r\nrequest-timeout-ms" in lower else ()
    return RequestPreview(
        path.partition(b"/")[0],
        tenants[0] if len(tenants) == 1 else b"",
        int(waits[0]) if len(waits) == 1 else None,
    )
