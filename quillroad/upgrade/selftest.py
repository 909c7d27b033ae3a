"""Whether this build serves: one request of each class through a gateway of its own, to a stand-in host on
loopback."""

from __future__ import annotations

import asyncio
import dataclasses

from quillroad.balancing.settings import Idempotency
from quillroad.config import RESERVED, Config, StaticHost, StaticHosts
from quillroad.gateway import Gateway

WITHIN_S = 5.0
HEAD_LIMIT = 4096
BODY = b"self-test"


class SelfTestError(Exception):
    """This build does not serve; the text is one plain line."""


async def _host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers every request with `BODY`."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            _, _, rest = head.partition(b"\r\ncontent-length: ")
            await reader.readexactly(int(rest.split(b"\r\n", 1)[0] or 0))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY))
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def selftest(config: Config) -> None:
    """Raises `SelfTestError` unless each class is answered by the whole path: parser, admission, module,
    pool and framing, with the configuration's own settings."""
    served: set[asyncio.Task[None]] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        served.add(task)
        task.add_done_callback(served.discard)
        await _host(reader, writer)

    host = await asyncio.start_server(serve, "127.0.0.1", 0, limit=HEAD_LIMIT)
    address = host.sockets[0].getsockname()
    gateway = Gateway(
        dataclasses.replace(
            config,
            listen=("127.0.0.1", 0),
            admin=None,
            discovery=None,
            known={},
            sockets=RESERVED + 32,
            hosts=StaticHosts((StaticHost("self-test", (address[0], address[1])),)),
        ),
        asyncio.get_running_loop(),
    )
    try:
        await gateway.start()
        for route in config.settings.routes:
            try:
                async with asyncio.timeout(WITHIN_S):
                    status = await _ask(gateway.port, route.name, route.idempotency)
            except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
                raise SelfTestError(f"self-test: {route.name}: {error or 'no answer'}") from None
            if status != 200:
                raise SelfTestError(
                    f"self-test: {route.name}: answered with {status}, 200 was wanted"
                )
    finally:
        gateway.stop()
        for one in gateway.engine.hosts.values():
            one.drop_idle()
        host.close()
        while served:  # each ends with its connection
            await asyncio.wait(served, timeout=WITHIN_S)


async def _ask(port: int, name: str, effect: Idempotency) -> int:
    """The status of one request; a body that is not the host's counts as 0."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    safe = effect is Idempotency.IDEMPOTENT
    lines = [
        f"{'GET' if safe else 'POST'} /{name}/self-test HTTP/1.1",
        "Host: self-test",
        f"Request-Id: self-test-{name}",
        "Request-Timeout-Ms: 5000",
        "Connection: close",
    ]
    if effect is Idempotency.KEYED:
        lines.append("Idempotency-Key: self-test")
    if not safe:
        lines.append("Content-Length: 0")
    try:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        answer = await reader.read()
    finally:
        writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1]) if body == BODY or b" 200 " not in head[:16] else 0
