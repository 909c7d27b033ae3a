"""What a call of an operator means. Free of I/O."""

from __future__ import annotations

import re
from enum import Enum
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

from quillroad.admin.errors import BadCallError


class Act(Enum):
    """What is asked for."""

    HEALTH = "health"  # whether the gateway serves
    STATS = "stats"  # the metrics
    MAINT = "maint"  # take a host out of service
    READY = "ready"  # put a host back
    FAIL = "fail"  # drain the gateway
    OK = "ok"  # put the gateway back


class Call(NamedTuple):
    """A call that makes sense; `host` is the id that it names, or empty."""

    act: Act
    host: str = ""


class _Endpoint(NamedTuple):
    """What a path is for, and the method that it has."""

    method: str
    act: Act


_BY_PATH = {
    b"/healthcheck": _Endpoint("GET", Act.HEALTH),
    b"/stats": _Endpoint("GET", Act.STATS),
    b"/healthcheck/fail": _Endpoint("POST", Act.FAIL),
    b"/healthcheck/ok": _Endpoint("POST", Act.OK),
}
_HOST_PATH = re.compile(rb"/hosts/([^/]+)/(maint|ready)")


def read_call(method: bytes, target: bytes) -> Call:
    """The call of a request line; a query is passed over.

    Raises `BadCallError`: 404 for a path that there is not, 405 for another method than the path
    has, 400 for a host's id that is no text.
    """
    path = target.partition(b"?")[0]
    endpoint = _BY_PATH.get(path)
    host = ""
    if endpoint is None:
        found = _HOST_PATH.fullmatch(path)
        if found is None:
            raise BadCallError(404, "no such path")
        endpoint = _Endpoint("POST", Act.MAINT if found[2] == b"maint" else Act.READY)
        host = _host_id(found[1])
    if method != endpoint.method.encode():
        raise BadCallError(405, f"needs {endpoint.method}", endpoint.method)
    return Call(endpoint.act, host)


def _host_id(quoted: bytes) -> str:
    """The host's id in a path; raises `BadCallError` for one that is no text."""
    try:
        return unquote_to_bytes(quoted).decode()
    except UnicodeDecodeError:
        raise BadCallError(400, "the host's id is no text") from None
