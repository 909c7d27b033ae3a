"""Whether a parsed request may go on: method, path, headers, deadline, tenant and idempotency key.

No I/O.
"""

from __future__ import annotations

import math
from urllib.parse import unquote

from quillroad.balancing.settings import Idempotency
from quillroad.config import SHORT_BODY, Config
from quillroad.engine.engine import ClientRequest
from quillroad.errors import (
    HeaderError,
    UnexpectedBodyError,
    UnknownPathError,
    UnknownRouteError,
    WrongMethodError,
)

# Two of these would let two readers of one request see different values.
AT_MOST_ONCE = frozenset((b"request-id", b"idempotency-key", b"request-timeout-ms"))
# Of one connection only (RFC 9110, 7.6.1), or written anew for the host.
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect "
    b"content-length request-timeout-ms proxy-authorization proxy-authenticate".split()
)
TIMEOUT_DIGITS = 12  # of Request-Timeout-Ms at most: thirty years
WORK_HINT_DIGITS = 11  # of Work-Hint at most (µs): a longer one is left out


class RequestValidator:
    """The settings that requests are checked against.

    `longest_body` is the most bytes that a request's body may have, `answers_by` the monotonic time
    (s) by which each answer has to be out: infinite until the process is about to end.
    """

    def __init__(self, config: Config) -> None:
        routes = config.settings.routes
        self._routes = {route.name: number for number, route in enumerate(routes)}
        self._idempotencies = [route.idempotency for route in routes]
        self._deadlines_s = [route.deadline_us / 1e6 for route in routes]
        self._tenants = {name: number for number, name in enumerate(config.tenants)}
        self.longest_body = config.longest_body
        self.answers_by = math.inf

    def route(self, segment: bytes) -> int | None:
        """The number of the route that the first segment of a path names; None for none."""
        name = segment.decode("latin-1")
        return self._routes.get(unquote(name) if "%" in name else name)

    def route_of(self, url: bytes) -> int | None:
        """The number of the route that a URL names, be it whole or cut short.

        None where it names none.
        """
        segments = url.partition(b"?")[0].split(b"/")
        return self.route(segments[1]) if len(segments) > 1 else None

    def wait_s(self, route: int, timeout_ms: int | None) -> float:
        """Seconds that a client waits for its answer.

        What it told, its route's deadline at the most.
        """
        if timeout_ms is None:
            return self._deadlines_s[route]
        return min(timeout_ms / 1000, self._deadlines_s[route])

    def tenant(self, name: bytes) -> int:
        """The number of the tenant of this name; -1 for an unknown one."""
        return self._tenants.get(name.decode("latin-1"), -1)

    def check(
        self,
        method: bytes,
        url: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytearray,
        since: float,
    ) -> ClientRequest:
        """The request that these parts make.

        `headers` are pairs of name and stripped value as they came, `since` is the monotonic time
        (s) at which the request came. Raises `BadRequestError`.
        """
        route, key = self._read_path(url)
        forwarded = [b"%b %b HTTP/1.1" % (method, url)]
        values = _read_headers(headers, forwarded)
        idempotency = self._idempotencies[route]
        idempotent = idempotency is Idempotency.IDEMPOTENT
        keyed = idempotency is Idempotency.KEYED
        _check_rules(method, bool(body), values, idempotent, keyed)
        if not idempotent:
            forwarded.append(b"Content-Length: %d" % len(body))
        hint = values.get(b"work-hint", b"")
        return ClientRequest(
            id=values[b"request-id"].decode("latin-1"),
            route=route,
            tenant=self._tenants.get(values.get(b"tenant", b"").decode("latin-1"), -1),
            key=key,
            received_at=since,
            deadline_at=min(
                since + min(_timeout_ms(values) / 1000, self._deadlines_s[route]), self.answers_by
            ),
            is_retry=values.get(b"client-retry") == b"1",
            work_estimate_us=int(hint)
            if hint.isdigit() and len(hint) <= WORK_HINT_DIGITS
            else None,
            head=b"\r\n".join(forwarded) + b"\r\n",
            # A long body is handed on as it is: a second copy would double the memory it takes.
            body=b"" if idempotent else body if len(body) > SHORT_BODY else bytes(body),
        )

    def _read_path(self, url: bytes) -> tuple[int, str | None]:
        """The route that a URL names, and the key of what is asked for; None without one."""
        segments = url.partition(b"?")[0].split(b"/")
        if len(segments) < 2 or segments[0] or not segments[1]:
            raise UnknownPathError()
        route = self.route(segments[1])
        if route is None:
            raise UnknownRouteError(400 if len(segments) == 3 else 404)
        if len(segments) == 2 or not segments[-1]:
            return route, None
        return route, unquote(segments[-1].decode("latin-1"))


def _read_headers(headers: list[tuple[bytes, bytes]], forwarded: list[bytes]) -> dict[bytes, bytes]:
    """Values by lower-case name, the last of each.

    Lines that go on to the host are added to `forwarded`.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        lower = name.lower()
        if lower in values and lower in AT_MOST_ONCE:
            raise HeaderError(f"two headers {lower.decode()}", lower.decode(), "one")
        values[lower] = value
        if lower not in HOP_BY_HOP:
            forwarded.append(name + b": " + value)
    return values


def _check_rules(
    method: bytes, has_body: bool, values: dict[bytes, bytes], idempotent: bool, keyed: bool
) -> None:
    """Check a request against its route's idempotency."""
    expected = b"GET" if idempotent else b"POST"
    if method != expected:
        raise WrongMethodError(expected.decode())
    if idempotent and has_body:
        raise UnexpectedBodyError()
    if keyed != bool(values.get(b"idempotency-key")):
        raise HeaderError(
            "Idempotency-Key and class do not go together",
            "Idempotency-Key",
            "a key" if keyed else "none",
        )
    if not values.get(b"request-id"):
        raise HeaderError("no Request-Id", "Request-Id", "an id")


def _timeout_ms(values: dict[bytes, bytes]) -> int:
    """How long the client says that it waits, in ms."""
    value = values.get(b"request-timeout-ms", b"")
    if value.isdigit() and len(value) <= TIMEOUT_DIGITS:
        timeout_ms = int(value)
        if timeout_ms > 0:
            return timeout_ms
    raise HeaderError("bad Request-Timeout-Ms", "Request-Timeout-Ms", "milliseconds above 0")
