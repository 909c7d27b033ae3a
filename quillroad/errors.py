"""What can be wrong with a request.

One tree of errors, each with the status that its client is told.

The text of an error goes to the log; the client sees the status alone.
"""

from __future__ import annotations


class BadRequestError(Exception):
    """A request that cannot be served as it came.

    `status` is the HTTP status of the answer, `field` the part of the request that is at fault (a
    header's name, "path", "method", "body", "head") and `expected` what would have been right
    there; both are empty where there is no single such part.
    """

    def __init__(self, status: int, message: str, field: str = "", expected: str = "") -> None:
        super().__init__(message)
        self.status = status
        self.field = field
        self.expected = expected


class HttpSyntaxError(BadRequestError):
    """The bytes are no HTTP request."""

    def __init__(self, message: str) -> None:
        super().__init__(400, message, expected="a request of HTTP/1.0 or HTTP/1.1")


class FramingError(BadRequestError):
    """It is in doubt where the request ends."""

    def __init__(self, message: str, field: str, expected: str) -> None:
        super().__init__(400, message, field, expected)


class HeadTooLongError(BadRequestError):
    """Request line and headers are longer than the limit."""

    def __init__(self, most: int) -> None:
        super().__init__(431, "head too long", "head", f"at most {most} bytes")


class BodyTooLongError(BadRequestError):
    """The body, or its framing, is longer than the limit."""

    def __init__(self, message: str, most: int) -> None:
        super().__init__(413, message, "body", f"at most {most} bytes")


class UnknownPathError(BadRequestError):
    """The path names nothing that is served here."""

    def __init__(self) -> None:
        super().__init__(404, "no such path", "path", "/ROUTE or /ROUTE/KEY")


class UnknownRouteError(BadRequestError):
    """The first part of the path names no route.

    Status 400 where the path has the shape of a route's.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status, "no such class", "path", "a route of the settings as first part")


class WrongMethodError(BadRequestError):
    """The method does not go with the route's idempotency."""

    def __init__(self, expected: str) -> None:
        super().__init__(400, "wrong method for the class", "method", expected)


class UnexpectedBodyError(BadRequestError):
    """A request with GET has a body."""

    def __init__(self) -> None:
        super().__init__(400, "a body with GET", "body", "no body")


class HeaderError(BadRequestError):
    """A header is missing, stands twice, cannot be read, or does not go with the route."""

    def __init__(self, message: str, field: str, expected: str) -> None:
        super().__init__(400, message, field, expected)


class BodyMemoryError(BadRequestError):
    """All memory for long bodies is in use: nothing is wrong with the request, a retry may pass."""

    def __init__(self) -> None:
        super().__init__(503, "no memory for a body", "body")


class RequestTimeoutError(BadRequestError):
    """The request did not come in whole within the time limit."""

    def __init__(self) -> None:
        super().__init__(408, "request not whole in time")
