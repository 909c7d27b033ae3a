"""Exceptions for requests that cannot be served.

Each exception has the HTTP status of the answer. Its message is only logged; the client receives
only the status.
"""

from __future__ import annotations


class BadRequestError(Exception):
    """The base class: a request that cannot be served as received.

    `status` is the HTTP status of the answer, `field` the invalid part of the request (the name of
    a header, "path", "method", "body", "head", "version") and `expected` a description of a valid
    value. Both are empty if the error does not concern a single part.
    """

    def __init__(self, status: int, message: str, field: str = "", expected: str = "") -> None:
        super().__init__(message)
        self.status = status
        self.field = field
        self.expected = expected


class HttpSyntaxError(BadRequestError):
    """The received bytes are not a valid HTTP request."""

    def __init__(self, message: str) -> None:
        super().__init__(400, message, expected="an HTTP/1.0 or HTTP/1.1 request")


class FramingError(BadRequestError):
    """The end of the request is ambiguous, or its framing is not supported."""

    def __init__(self, message: str, field: str, expected: str) -> None:
        super().__init__(400, message, field, expected)


class HeadTooLongError(BadRequestError):
    """The request line and headers exceed the size limit."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(431, "head too long", "head", f"at most {max_bytes} bytes")


class BodyTooLongError(BadRequestError):
    """The body, or its chunked framing, exceeds the size limit."""

    def __init__(self, message: str, max_bytes: int) -> None:
        super().__init__(413, message, "body", f"at most {max_bytes} bytes")


class ShuttingDownError(BadRequestError):
    """The process ends before the request was received completely."""

    def __init__(self) -> None:
        super().__init__(503, "received in part when the process ended")


class UnknownPathError(BadRequestError):
    """The path is not of a form that the gateway serves."""

    def __init__(self) -> None:
        super().__init__(404, "no such path", "path", "/ROUTE or /ROUTE/KEY")


class UnknownRouteError(BadRequestError):
    """The first segment of the path is not the name of a route.

    `status` is 400 if the path otherwise has the form of a route's path, else 404.
    """

    def __init__(self, status: int) -> None:
        super().__init__(
            status, "no such route", "path", "the name of a configured route as first segment"
        )


class WrongMethodError(BadRequestError):
    """The method does not match the idempotency of the route."""

    def __init__(self, expected: str) -> None:
        super().__init__(400, "wrong method for the route", "method", expected)


class UnexpectedBodyError(BadRequestError):
    """A GET request has a body."""

    def __init__(self) -> None:
        super().__init__(400, "GET request has a body", "body", "no body")


class HeaderError(BadRequestError):
    """A header is missing, duplicated, malformed, or not valid for the route."""

    def __init__(self, message: str, field: str, expected: str) -> None:
        super().__init__(400, message, field, expected)


class BodyMemoryError(BadRequestError):
    """The memory budget for long bodies is exhausted; the request is valid and may be retried."""

    def __init__(self) -> None:
        super().__init__(503, "no memory for a body", "body")


class RequestTimeoutError(BadRequestError):
    """The request was not received completely within the time limit."""

    def __init__(self) -> None:
        super().__init__(408, "request not received completely within the time limit")
