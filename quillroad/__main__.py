"""Start, wiring, signals and exit of one gateway: `python -m quillroad`."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from pinetrack.balance import Balancer
from quillroad.config import Config, ConfigError, Descriptors, load
from quillroad.discovery import Discovery
from quillroad.engine import Engine
from quillroad.server import Server
from quillroad.upstream import Upstream

log = logging.getLogger("quillroad")

SWEEP_S = 0.5
ACCEPT_S = 0.55  # after SIGTERM: the front sends connections for up to 0.4 s more
LOG_LINES, LOG_S = 50, 1.0  # lines in a stretch of time: a storm of errors must not become a storm of lines


class LimitedLog(logging.Filter):
    """Passes so many lines a second and says how many it left out."""

    def __init__(self) -> None:
        super().__init__()
        self._began, self._count = 0.0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if record.created - self._began >= LOG_S:
            if self._count > LOG_LINES:
                record.msg, record.args = f"{record.getMessage()} ({self._count - LOG_LINES} left out)", ()
            self._began, self._count = record.created, 0
        self._count += 1
        return self._count <= LOG_LINES


def start_log() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(LimitedLog())
    handler.setFormatter(logging.Formatter("%(asctime)s.%(msecs)03d %(name)s: %(message)s", "%H:%M:%S"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


async def serve(config: Config) -> None:
    """Run one gateway until SIGTERM or SIGINT, then answer what it has taken."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    descriptors = Descriptors(config.sockets)
    upstream = Upstream(loop, descriptors, config.connect_timeout_s, config.idle_s)
    engine = Engine(loop, Balancer(config.settings, config.seed), upstream)
    discovery = Discovery(config, engine.update)
    discovery.start_from(config.known)
    server = Server(loop, config, engine, descriptors, upstream.drop_oldest_idle)
    port = await server.listen(*config.listen)
    log.info("%s listens on %s:%d", config.name, config.listen[0], port)
    gc.collect()
    gc.freeze()  # what is here at the start stays; collections need not walk it each time
    async with asyncio.TaskGroup() as tasks:
        background = [tasks.create_task(discovery.run()), tasks.create_task(sweep(server, upstream))]
        await stop.wait()
        log.info("draining")
        await drain(server, max((r.deadline_us for r in config.settings.routes), default=0) / 1e6)
        for task in background:
            task.cancel()
    log.info("drained")


async def sweep(server: Server, upstream: Upstream) -> None:
    while True:
        await asyncio.sleep(SWEEP_S)
        server.sweep()
        upstream.sweep()


async def drain(server: Server, longest_s: float) -> None:
    """Answers say `Connection: close` at once; the listener and idle connections stay while the front may
    still send, for ending them first would lose what crosses the close."""
    server.draining = True
    await asyncio.sleep(ACCEPT_S)
    server.stop_listening()
    loop = asyncio.get_running_loop()
    end = loop.time() + longest_s
    while server.connections and loop.time() < end:
        await asyncio.sleep(0.02)
        server.close_idle()


def main() -> int:
    start_log()
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
