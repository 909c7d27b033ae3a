"""Parsing of operators' HTTP requests to the admin address into calls. Performs no I/O."""

from __future__ import annotations

import re
from enum import Enum
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

from quillroad.admin.errors import BadCallError


class Act(Enum):
    """The action that a call asks for."""

    HEALTH = "health"  # report whether the gateway is ready
    STATS = "stats"  # return the metrics
    MAINT = "maint"  # take a host out of service
    READY = "ready"  # put a host back into service
    FAIL = "fail"  # drain the gateway
    OK = "ok"  # put the gateway back into service


class Call(NamedTuple):
    """A valid call. `host` is the host id from the path, empty for calls that concern no host."""

    act: Act
    host: str = ""


class _Operation(NamedTuple):
    """The only method that a path accepts, and the action that it stands for."""

    method: str
    act: Act


_OPERATIONS_BY_PATH = {
    b"/healthcheck": _Operation("GET", Act.HEALTH),
    b"/stats": _Operation("GET", Act.STATS),
    b"/healthcheck/fail": _Operation("POST", Act.FAIL),
    b"/healthcheck/ok": _Operation("POST", Act.OK),
}
_HOST_PATH_PATTERN = re.compile(rb"/hosts/([^/]+)/(maint|ready)")


def read_call(method: bytes, target: bytes) -> Call:
    """Return the call that a request line stands for; the query string is ignored.

    Raise `BadCallError` with status 404 for an unknown path, 405 for a method that the path does
    not accept, and 400 for a host id that is not valid UTF-8 once its percent-encoding is decoded.
    """
    path = target.partition(b"?")[0]
    operation = _OPERATIONS_BY_PATH.get(path)
    host = ""
    if operation is None:
        path_match = _HOST_PATH_PATTERN.fullmatch(path)
        if path_match is None:
            raise BadCallError(404, "no such path")
        operation = _Operation("POST", Act.MAINT if path_match[2] == b"maint" else Act.READY)
        host = _host_id(path_match[1])
    if method != operation.method.encode():
        raise BadCallError(405, f"needs {operation.method}", operation.method)
    return Call(operation.act, host)


def _host_id(encoded: bytes) -> str:
    """Decode the percent-encoded host id of a path.

    Raise `BadCallError` if the decoded bytes are not valid UTF-8.
    """
    try:
        return unquote_to_bytes(encoded).decode()
    except UnicodeDecodeError:
        raise BadCallError(400, "the host's id is no text") from None
