"""A bare relay, to hold the gateway against: same loop, same parser, pooled connections, and no decisions.

`python -m bench.relay PORT ...` listens where the JSON file at GW_CONFIG says and passes requests on to the
hosts at these ports, one after another. It keeps no deadline, retries nothing and trusts everyone.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import sys
from collections import deque
from pathlib import Path
from typing import Any, cast

import httptools
import uvloop


class Upstream(asyncio.Protocol):
    """One connection to a host; carries one request at a time."""

    def __init__(self, pool: deque[Upstream]) -> None:
        self._pool = pool
        self._client: Client | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def ask(self, client: Client, data: bytes) -> None:
        assert self.transport is not None
        self._client = client
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        client, self._client = self._client, None
        body, self._body = self._body, b""
        self._pool.append(self)
        if client is not None:
            client.answer(body)


class Client(asyncio.Protocol):
    """One client connection."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._begin()

    def _begin(self) -> None:
        self._url, self._headers, self._body = b"", list[tuple[bytes, bytes]](), b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        method, url = self._parser.get_method(), self._url
        lines = [
            b"%b %b HTTP/1.1" % (method, url),
            *(b"%b: %b" % header for header in self._headers),
        ]
        body = self._body
        self._begin()
        if url == b"/up":
            self.answer(b"")
        else:
            self._relay.ask(self, b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def answer(self, body: bytes) -> None:
        if self._transport is not None:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: keep-alive\r\n\r\n"
            self._transport.write(head % len(body) + body)


class Relay:
    """All connections of the relay."""

    def __init__(self, ports: list[int]) -> None:
        self._hosts = itertools.cycle([(port, deque[Upstream]()) for port in ports])
        self._opening: set[asyncio.Task[None]] = set()

    def ask(self, client: Client, data: bytes) -> None:
        port, pool = next(self._hosts)
        while pool:
            upstream = pool.popleft()
            if upstream.transport is not None and not upstream.transport.is_closing():
                upstream.ask(client, data)
                return
        task = asyncio.get_running_loop().create_task(self._open(port, pool, client, data))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open(self, port: int, pool: deque[Upstream], client: Client, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, upstream = await loop.create_connection(lambda: Upstream(pool), "127.0.0.1", port)
        upstream.ask(client, data)


async def serve(ports: list[int], told: dict[str, Any]) -> None:
    host, _, port = told["listen"].rpartition(":")
    relay = Relay(ports)
    server = await asyncio.get_running_loop().create_server(
        lambda: Client(relay), host, int(port), backlog=4096
    )
    await server.serve_forever()


def main() -> int:
    told = json.loads(Path(os.environ["GW_CONFIG"]).read_text())
    uvloop.run(serve([int(port) for port in sys.argv[1:]], told))
    return 0


if __name__ == "__main__":
    sys.exit(main())
