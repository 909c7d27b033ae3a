"""Validation of parsed requests: method, path, headers, deadline, tenant and idempotency key.

No I/O.
"""

from __future__ import annotations

from urllib.parse import unquote

from quillroad.balancing.settings import Idempotency
from quillroad.config import Config
from quillroad.engine.client_request import MAX_COPIED_BODY_BYTES, ClientRequest
from quillroad.errors import (
    HeaderError,
    UnexpectedBodyError,
    UnknownPathError,
    UnknownRouteError,
    WrongMethodError,
)

# Headers that may appear once only: with two, gateway and host could use different values.
SINGLE_VALUE_HEADERS = frozenset((b"request-id", b"idempotency-key", b"request-timeout-ms"))
# Hop-by-hop headers (RFC 9110, 7.6.1), and headers that the gateway writes itself for the host.
NOT_FORWARDED_HEADERS = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect "
    b"content-length request-timeout-ms proxy-authorization proxy-authenticate".split()
)
MAX_TIMEOUT_DIGITS = 12  # of Request-Timeout-Ms: about thirty years
MAX_WORK_HINT_DIGITS = 11  # of Work-Hint (µs): a longer one is ignored


class RequestValidator:
    """Checks requests against the settings.

    `longest_body` is the maximum size of a request body in bytes.
    """

    def __init__(self, config: Config) -> None:
        routes = config.settings.routes
        self._routes = {route.name: number for number, route in enumerate(routes)}
        self._idempotencies = [route.idempotency for route in routes]
        self._deadlines_s = [route.deadline_us / 1e6 for route in routes]
        self._tenants = {name: number for number, name in enumerate(config.tenants)}
        self.longest_body = config.longest_body

    def route(self, segment: bytes) -> int | None:
        """Return the index of the route named by the first path segment; None if unknown."""
        name = segment.decode("latin-1")
        return self._routes.get(unquote(name) if "%" in name else name)

    def route_of(self, url: bytes) -> int | None:
        """Return the index of the route that a URL names; None if it names none.

        The URL may be truncated.
        """
        segments = url.partition(b"?")[0].split(b"/")
        return self.route(segments[1]) if len(segments) > 1 else None

    def wait_s(self, route: int, timeout_ms: int | None) -> float:
        """Return the seconds that a client waits for its answer.

        This is the timeout that it sent, limited to the deadline of its route.
        """
        if timeout_ms is None:
            return self._deadlines_s[route]
        return min(timeout_ms / 1000, self._deadlines_s[route])

    def tenant(self, name: bytes) -> int:
        """Return the index of the tenant with this name; -1 if unknown."""
        return self._tenants.get(name.decode("latin-1"), -1)

    def check(
        self,
        method: bytes,
        url: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytearray,
        arrived_at: float,
    ) -> ClientRequest:
        """Validate a request and return it in the form that the engine takes.

        `headers` are pairs of name and stripped value in the order received, `arrived_at` is the
        monotonic time (s) at which the request arrived. Raises `BadRequestError`.
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
        work_hint = values.get(b"work-hint", b"")
        has_estimate = work_hint.isdigit() and len(work_hint) <= MAX_WORK_HINT_DIGITS
        return ClientRequest(
            id=values[b"request-id"].decode("latin-1"),
            route=route,
            tenant=self._tenants.get(values.get(b"tenant", b"").decode("latin-1"), -1),
            key=key,
            received_at=arrived_at,
            deadline_at=arrived_at + min(_timeout_ms(values) / 1000, self._deadlines_s[route]),
            is_retry=values.get(b"client-retry") == b"1",
            work_estimate_us=int(work_hint) if has_estimate else None,
            head=b"\r\n".join(forwarded) + b"\r\n",
            # A copy of a larger body would double its memory.
            body=b"" if idempotent else body if len(body) > MAX_COPIED_BODY_BYTES else bytes(body),
            idempotency=idempotency,
        )

    def _read_path(self, url: bytes) -> tuple[int, str | None]:
        """Return the index of the route that a URL names, and the key in it; None without a key."""
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
    """Return header values by lower-case name; the last one where a name repeats.

    Header lines that are sent on to the host are appended to `forwarded`.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        lower = name.lower()
        if lower in values and lower in SINGLE_VALUE_HEADERS:
            raise HeaderError(
                f"header {lower.decode()} appears more than once", lower.decode(), "one"
            )
        values[lower] = value
        if lower not in NOT_FORWARDED_HEADERS:
            forwarded.append(name + b": " + value)
    return values


def _check_rules(
    method: bytes, has_body: bool, values: dict[bytes, bytes], idempotent: bool, keyed: bool
) -> None:
    """Raise `BadRequestError` if a request does not fit its route's idempotency or has no id."""
    expected = b"GET" if idempotent else b"POST"
    if method != expected:
        raise WrongMethodError(expected.decode())
    if idempotent and has_body:
        raise UnexpectedBodyError()
    if keyed != bool(values.get(b"idempotency-key")):
        raise HeaderError(
            "Idempotency-Key does not match the idempotency of the route",
            "Idempotency-Key",
            "a key" if keyed else "none",
        )
    if not values.get(b"request-id"):
        raise HeaderError("header Request-Id is missing", "Request-Id", "an id")


def _timeout_ms(values: dict[bytes, bytes]) -> int:
    """Return `Request-Timeout-Ms`; raise `HeaderError` if it is missing or not valid."""
    value = values.get(b"request-timeout-ms", b"")
    if value.isdigit() and len(value) <= MAX_TIMEOUT_DIGITS:
        timeout_ms = int(value)
        if timeout_ms > 0:
            return timeout_ms
    raise HeaderError(
        "header Request-Timeout-Ms is missing or invalid",
        "Request-Timeout-Ms",
        "milliseconds above 0",
    )
