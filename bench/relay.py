"""A bare relay to compare the gateway with: same loop and parser, pooled connections, no decisions.

`python -m bench.relay PORT ...` listens where the JSON file at GW_CONFIG says and passes requests
on to the hosts at these ports of 127.0.0.1 in turn. It keeps no deadline, retries nothing, and
checks nothing that its peers send.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import sys
from collections import deque
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple, cast

import httptools
import uvloop

BACKLOG = 4096  # connects that may wait to be accepted
READINESS_PATH = b"/up"  # answered by the relay itself
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: keep-alive\r\n\r\n"


class UpstreamConnection(asyncio.Protocol):
    """One connection to a host; carries one request at a time.

    It joins `idle` whenever an answer is complete; `transport` is None once it is closed.
    """

    def __init__(self, idle: deque[UpstreamConnection]) -> None:
        self._idle = idle
        self._client: ClientConnection | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport; a client whose answer is outstanding gets none."""
        self.transport = None

    def send(self, client: ClientConnection, request: bytes) -> None:
        """Send a request whose answer goes to this client; the connection must be open and idle."""
        assert self.transport is not None
        self._client = client
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer."""
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the answer's body: a callback of the parser."""
        self._body += body

    def on_message_complete(self) -> None:
        """Pass the answer on: a callback of the parser."""
        client, self._client = self._client, None
        body, self._body = self._body, b""
        self._idle.append(self)
        if client is not None:
            client.answer(body)


class ClientConnection(asyncio.Protocol):
    """One connection of a client; carries one request at a time."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._start_request()

    def _start_request(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport; an answer that comes later is dropped."""
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        """Keep a part of the target: a callback of the parser."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header: a callback of the parser."""
        self._headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        """Keep a part of the request's body: a callback of the parser."""
        self._body += body

    def on_message_complete(self) -> None:
        """Pass the request on, or answer a readiness check: a callback of the parser."""
        url, body = self._url, self._body
        lines = [
            b"%b %b HTTP/1.1" % (self._parser.get_method(), url),
            *(b"%b: %b" % header for header in self._headers),
        ]
        self._start_request()
        if url == READINESS_PATH:
            self.answer(b"")
        else:
            self._relay.forward(self, b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def answer(self, body: bytes) -> None:
        """Answer 200 with this body, if the client is still there."""
        if self._transport is not None:
            self._transport.write(ANSWER_HEAD % len(body) + body)


class HostPool(NamedTuple):
    """The port of a host and its idle connections, the longest idle first."""

    port: int
    idle: deque[UpstreamConnection]


class Relay:
    """Forwards requests to the hosts at these ports in turn."""

    def __init__(self, host_ports: Sequence[int]) -> None:
        self._pools = itertools.cycle([HostPool(port, deque()) for port in host_ports])
        self._connecting: set[asyncio.Task[None]] = set()

    def forward(self, client: ClientConnection, request: bytes) -> None:
        """Send a request to the next host, on an idle connection or a new one."""
        pool = next(self._pools)
        idle = pool.idle
        while idle:
            upstream = idle.popleft()
            if upstream.transport is not None and not upstream.transport.is_closing():
                upstream.send(client, request)
                return
        task = asyncio.get_running_loop().create_task(self._connect(pool, client, request))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, pool: HostPool, client: ClientConnection, request: bytes) -> None:
        """Send a request on a new connection; a host that does not accept leaves it unanswered."""
        _, upstream = await asyncio.get_running_loop().create_connection(
            lambda: UpstreamConnection(pool.idle), "127.0.0.1", pool.port
        )
        upstream.send(client, request)


async def serve(host_ports: Sequence[int], listen: str) -> None:
    """Serve at the address `listen` (host:port) until the process ends."""
    host, _, port = listen.rpartition(":")
    relay = Relay(host_ports)
    server = await asyncio.get_running_loop().create_server(
        lambda: ClientConnection(relay), host, int(port), backlog=BACKLOG
    )
    await server.serve_forever()


def main() -> int:
    """Run by the command line and the file at GW_CONFIG; returns the exit status."""
    configuration = json.loads(Path(os.environ["GW_CONFIG"]).read_text())
    host_ports = [int(port) for port in sys.argv[1:]]
    uvloop.run(serve(host_ports, configuration["listen"]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
