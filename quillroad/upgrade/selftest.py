"""Self-test of a build: sends one request of each route through a temporary gateway.

The only host behind this gateway is a stub server on the loopback interface.
"""

from __future__ import annotations

import asyncio
import dataclasses

from quillroad.balancing.settings import Idempotency, Route
from quillroad.config import RESERVED, Address, Config, StaticHost, StaticHosts
from quillroad.gateway import Gateway

ANSWER_TIMEOUT_S = 5.0
HEAD_LIMIT_BYTES = 4096  # of a request, at the stub host
TEST_DESCRIPTORS = 32  # beside the reserved ones, for the connections of the test
BODY = b"self-test"
UNEXPECTED_BODY = 0  # returned instead of status 200 if the body is not `BODY`


class SelfTestError(Exception):
    """The self-test failed; the text is a single line."""


async def selftest(config: Config) -> None:
    """Send one request of each route through the whole request path.

    The path is parser, admission, balancer, connection pool and framing, with the settings of
    `config`. Raises `SelfTestError` unless each request is answered with the stub host's body.
    """
    host = _StubHost()
    address = await host.start()
    gateway = Gateway(_config_for(config, address), asyncio.get_running_loop())
    try:
        await gateway.start()
        for route in config.settings.routes:
            await _check(gateway.port, route)
    finally:
        gateway.stop()
        for endpoint in gateway.engine.hosts.values():
            endpoint.drop_idle()
        await host.stop()


class _StubHost:
    """Answers every request with `BODY`."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Begin to listen; return the address."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=HEAD_LIMIT_BYTES
        )
        if not self._server.sockets:  # asyncio passes over a socket that cannot be opened
            raise SelfTestError("cannot listen for the stub host")
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def stop(self) -> None:
        """Stop listening and wait until the gateway has closed all connections."""
        assert self._server is not None
        self._server.close()
        while self._tasks:
            await asyncio.wait(self._tasks, timeout=ANSWER_TIMEOUT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while True:
                await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the gateway has closed the connection
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        _, _, rest = head.partition(b"\r\ncontent-length: ")
        await reader.readexactly(int(rest.split(b"\r\n", 1)[0] or 0))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY))


def _config_for(config: Config, host: Address) -> Config:
    """Return the configuration with the stub as its only host.

    The temporary gateway has no public address, admin port or discovery, so that nothing outside
    this process can see it.
    """
    return dataclasses.replace(
        config,
        listen=("127.0.0.1", 0),
        admin=None,
        discovery=None,
        known_hosts={},
        sockets=RESERVED + TEST_DESCRIPTORS,
        hosts=StaticHosts((StaticHost("self-test", host),)),
    )


async def _check(port: int, route: Route) -> None:
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            status = await _send_request(port, route.name, route.idempotency)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        raise SelfTestError(f"self-test: {route.name}: {error or 'no answer'}") from None
    if status != 200:
        raise SelfTestError(f"self-test: {route.name}: answered with {status}, 200 was wanted")


async def _send_request(port: int, name: str, idempotency: Idempotency) -> int:
    """Send a request; return its status, or `UNEXPECTED_BODY` for a 200 without `BODY`."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    is_get = idempotency is Idempotency.IDEMPOTENT
    lines = [
        f"{'GET' if is_get else 'POST'} /{name}/self-test HTTP/1.1",
        "Host: self-test",
        f"Request-Id: self-test-{name}",
        "Request-Timeout-Ms: 5000",
        "Connection: close",
    ]
    if idempotency is Idempotency.KEYED:
        lines.append("Idempotency-Key: self-test")
    if not is_get:
        lines.append("Content-Length: 0")
    try:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        answer = await reader.read()
    finally:
        writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    is_expected = body == BODY or b" 200 " not in head[:16]
    return int(head.split(b" ", 2)[1]) if is_expected else UNEXPECTED_BODY
