"""Whether this build serves: one request of each route through a gateway of its own.

The host behind it is a stand-in on loopback.
"""

from __future__ import annotations

import asyncio
import dataclasses

from quillroad.balancing.settings import Idempotency, Route
from quillroad.config import RESERVED, Address, Config, StaticHost, StaticHosts
from quillroad.gateway import Gateway

ANSWER_TIMEOUT_S = 5.0
HEAD_LIMIT_BYTES = 4096  # of a request, at the stand-in
SPARE_DESCRIPTORS = 32  # for the connections of the test
BODY = b"self-test"
NOT_OURS = 0  # in place of a status: the body is not the stand-in's


class SelfTestError(Exception):
    """This build does not serve; the text is one plain line."""


async def selftest(config: Config) -> None:
    """Send one request of each route through the whole path.

    Parser, admission, balancer, pool and framing, with the configuration's own settings. Raises
    `SelfTestError` unless each is answered by the stand-in's body.
    """
    host = _StandInHost()
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


class _StandInHost:
    """Answers every request with `BODY`."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Begin to listen; returns the address."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=HEAD_LIMIT_BYTES
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def stop(self) -> None:
        """End listening, and wait for connections, each of which ends with its client."""
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
    """The configuration with the stand-in as its only host, and nothing that others would see."""
    return dataclasses.replace(
        config,
        listen=("127.0.0.1", 0),
        admin=None,
        discovery=None,
        known_hosts={},
        sockets=RESERVED + SPARE_DESCRIPTORS,
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
    """The status of one request; `NOT_OURS` for a 200 with another body than the stand-in's."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    is_read = idempotency is Idempotency.IDEMPOTENT
    lines = [
        f"{'GET' if is_read else 'POST'} /{name}/self-test HTTP/1.1",
        "Host: self-test",
        f"Request-Id: self-test-{name}",
        "Request-Timeout-Ms: 5000",
        "Connection: close",
    ]
    if idempotency is Idempotency.KEYED:
        lines.append("Idempotency-Key: self-test")
    if not is_read:
        lines.append("Content-Length: 0")
    try:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        answer = await reader.read()
    finally:
        writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    is_ours = body == BODY or b" 200 " not in head[:16]
    return int(head.split(b" ", 2)[1]) if is_ours else NOT_OURS
