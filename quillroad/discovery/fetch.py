"""One HTTP request with a bound on its time and its size: what sources need of HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

import httptools

from quillroad.config import Address

HEAD_LIMIT_BYTES = 16 * 1024
CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65536


class FetchError(Exception):
    """No usable answer; the text is one plain line."""


class Response(NamedTuple):
    """A whole answer; header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class _ResponseReader:
    """Callbacks of the parser, with bounds on head and body."""

    def __init__(self, body_limit: int) -> None:
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []
        self.complete = False
        self._body_left = body_limit
        self._head_left = HEAD_LIMIT_BYTES

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field; raises `FetchError` once the head is too long."""
        self._head_left -= len(name) + len(value)
        if self._head_left < 0:
            raise FetchError("head too long")
        self.headers[name.lower().decode("latin-1")] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body; raises `FetchError` once the body is too long."""
        self._body_left -= len(body)
        if self._body_left < 0:
            raise FetchError("body too long")
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Note that the response is whole."""
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
    """Request `target` on a connection of its own.

    `timeout_s` seconds are for the answer, `connect_s` for the connect, `body_limit` is in bytes.
    Raises `FetchError` for whatever keeps an answer from being whole in time.
    """
    try:
        async with asyncio.timeout(connect_s):
            source, sink = await asyncio.open_connection(*address)
    except (OSError, TimeoutError) as error:
        raise FetchError(f"cannot connect: {error or 'no answer'}") from None
    try:
        sink.write(_request(address, target, headers, method, body))
        async with asyncio.timeout(timeout_s):
            return await _read_response(source, body_limit)
    except TimeoutError:
        raise FetchError("silent") from None
    except OSError as error:
        raise FetchError(f"broken off: {error}") from None
    finally:
        sink.close()


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


async def _read_response(source: asyncio.StreamReader, body_limit: int) -> Response:
    reader = _ResponseReader(body_limit)
    parser = httptools.HttpResponseParser(reader)
    while not reader.complete:
        data = await source.read(READ_BYTES)
        if not data:
            raise FetchError("the answer is not whole")
        try:
            parser.feed_data(data)
        except httptools.HttpParserError as error:
            # The parser wraps what a callback raises.
            context = error.__context__
            if isinstance(context, FetchError):
                raise context from None
            raise FetchError(f"not HTTP: {error}") from None
    return Response(parser.get_status_code(), reader.headers, b"".join(reader.body))
