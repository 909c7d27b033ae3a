"""One request, with a bound on its time and its size: what sources need of HTTP and no more."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import httptools

from quillroad.config import Address

HEAD_LIMIT = 16 * 1024


class FetchError(Exception):
    """No usable answer; the text is one plain line."""


class Response(NamedTuple):
    """A whole answer; names of headers in small letters."""

    status: int
    headers: dict[str, str]
    body: bytes


class _Reader:
    """Callbacks of the parser."""

    def __init__(self, body_limit: int) -> None:
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []
        self.complete = False
        self._left, self._head_left = body_limit, HEAD_LIMIT

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_left -= len(name) + len(value)
        if self._head_left < 0:
            raise FetchError("head too long")
        self.headers[name.lower().decode("latin-1")] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._left -= len(body)
        if self._left < 0:
            raise FetchError("body too long")
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.complete = True


async def fetch(
    address: Address,
    target: str,
    headers: dict[str, str],
    timeout_s: float,
    body_limit: int,
    connect_s: float = 1.0,
    method: str = "GET",
    body: bytes = b"",
) -> Response:
    """Ask for `target` on a connection of its own; raises `FetchError` for whatever keeps an answer from
    being whole in time."""
    reader = _Reader(body_limit)
    parser = httptools.HttpResponseParser(reader)
    try:
        async with asyncio.timeout(connect_s):
            source, sink = await asyncio.open_connection(*address)
    except (OSError, TimeoutError) as error:
        raise FetchError(f"cannot connect: {error or 'no answer'}") from None
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {address[0]}:{address[1]}"]
        lines.append("Accept: application/json")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        sink.write("\r\n".join(lines).encode() + b"\r\nConnection: close\r\n\r\n" + body)
        async with asyncio.timeout(timeout_s):
            while not reader.complete:
                data = await source.read(65536)
                if not data:
                    raise FetchError("the answer is not whole")
                parser.feed_data(data)
    except TimeoutError:
        raise FetchError("silent") from None
    except OSError as error:
        raise FetchError(f"broken off: {error}") from None
    except httptools.HttpParserError as error:
        context = error.__context__
        raise FetchError(
            str(context) if isinstance(context, FetchError) else f"not HTTP: {error}"
        ) from None
    finally:
        sink.close()
    return Response(parser.get_status_code(), reader.headers, b"".join(reader.body))
