"""A minimal HTTP client: one request per connection, with limits on time and size."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping
from typing import NamedTuple

import httptools

from quillroad.config import Address

HEAD_LIMIT_BYTES = 16 * 1024
CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65536
# Time without a byte after which a response that has begun is given up, and the time that it may
# take in all from its first byte on.
PAUSE_LIMIT_S = 2.5
RESPONSE_LIMIT_S = 10.0


class FetchError(Exception):
    """The request got no complete answer; the message is a single line."""


class Response(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class _ResponseReader:
    """Callbacks of the HTTP parser, with limits on the size of head and body."""

    def __init__(self, body_limit: int) -> None:
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []
        self.complete = False
        self._body_left = body_limit
        self._head_left = HEAD_LIMIT_BYTES

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; raises `FetchError` if the head exceeds its limit."""
        self._head_left -= len(name) + len(value)
        if self._head_left < 0:
            raise FetchError("response head too long")
        self.headers[name.lower().decode("latin-1")] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; raises `FetchError` if the body exceeds its limit."""
        self._body_left -= len(body)
        if self._body_left < 0:
            raise FetchError("response body too long")
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        self.complete = True


async def fetch(
    address: Address,
    target: str,
    headers: Mapping[str, str],
    timeout_s: float,
    body_limit: int,
    connect_s: float = CONNECT_TIMEOUT_S,
    method: str = "GET",
    body: bytes = b"",
) -> Response:
    """Send one request on a new connection and return the response.

    `timeout_s` limits the wait for the first byte of the response and `connect_s` the connect, both
    in seconds; `body_limit` is in bytes. A response that has begun may pause for `PAUSE_LIMIT_S`
    and take `RESPONSE_LIMIT_S` in all. Raises `FetchError` if it is not complete in time.
    """
    try:
        async with asyncio.timeout(connect_s):
            stream, writer = await asyncio.open_connection(*address)
    except (OSError, TimeoutError) as error:
        raise FetchError(f"connect failed: {error or 'timed out'}") from None
    try:
        writer.write(_request(address, target, headers, method, body))
        async with asyncio.timeout(timeout_s) as limit:
            return await _read_response(stream, body_limit, limit)
    except TimeoutError:
        raise FetchError("response timed out") from None
    except OSError as error:
        raise FetchError(f"connection lost: {error}") from None
    finally:
        writer.close()


def _request(
    address: Address, target: str, headers: Mapping[str, str], method: str, body: bytes
) -> bytes:
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {address[0]}:{address[1]}",
        "Accept: application/json",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\nConnection: close\r\n\r\n" + body


async def _read_response(
    stream: asyncio.StreamReader, body_limit: int, limit: asyncio.Timeout
) -> Response:
    """Read a response; `limit` is moved on with each piece of it."""
    loop = asyncio.get_running_loop()
    reader = _ResponseReader(body_limit)
    parser = httptools.HttpResponseParser(reader)
    end = math.inf
    while not reader.complete:
        data = await stream.read(READ_BYTES)
        end = min(end, loop.time() + RESPONSE_LIMIT_S)
        limit.reschedule(min(end, loop.time() + PAUSE_LIMIT_S))
        if not data:
            raise FetchError("connection closed before the end of the response")
        try:
            parser.feed_data(data)
        except httptools.HttpParserError as error:
            # The parser wraps exceptions raised by callbacks.
            context = error.__context__
            if isinstance(context, FetchError):
                raise context from None
            raise FetchError(f"invalid HTTP response: {error}") from None
    return Response(parser.get_status_code(), reader.headers, b"".join(reader.body))
