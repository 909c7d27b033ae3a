"""A worker: one gateway process under a keeper."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path

import uvloop

from quillroad.config import RESERVED, Config, ConfigError
from quillroad.logs import start_log
from quillroad.upgrade.channel import Channel
from quillroad.upgrade.messages import (
    VERSION,
    Give,
    Hello,
    Message,
    Ready,
    Report,
    Take,
    Unfit,
    Welcome,
)
from quillroad.upgrade.selftest import SelfTestError, selftest
from quillroad.upgrade.supervised_worker import Seated

log = logging.getLogger("quillroad.upgrade")

SEAT = "QUILLROAD_SEAT"  # the descriptor of the socket to the keeper
REPORT_S = 0.1


def memory_mb() -> float:
    """Resident memory of this process (proc_pid_statm(5))."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


class Worker(Seated):
    """One process. `first` reads the configuration, `again` reads it for a reload."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        first: Callable[[], Config],
        again: Callable[[], Config],
        zones: Path | None = None,
    ) -> None:
        super().__init__(loop, again, zones)
        self._first = first
        self._keeper = Channel(loop, sock, self._told, self._orphaned)
        self._moved = self._refused = 0  # of what the reports told
        self._keeper.send(Hello(VERSION, f"{sys.version_info[0]}.{sys.version_info[1]}"))

    def _to_keeper(self, message: Message) -> None:
        self._keeper.send(message)

    def _told(self, message: Message, fds: list[int]) -> None:
        """The keeper says something."""
        if isinstance(message, Welcome) and len(fds) == 1:
            self._listener = socket.socket(fileno=fds[0])
            self._listener.setblocking(False)
            self._task(self._prepare(message))
            return
        if isinstance(message, Give | Take) and len(fds) == 1 and self._gateway is not None:
            self._link(socket.socket(fileno=fds.pop()))
        for fd in fds:
            os.close(fd)
        if self._gateway is not None:
            self._do(self._seat.told(message))

    def _orphaned(self, why: str) -> None:
        """The keeper is gone: nobody would start another. What was taken is answered, then this ends."""
        log.error("the keeper is gone: %s", why)
        self.drain()

    async def _prepare(self, welcome: Welcome) -> None:
        try:
            config = (self._again if welcome.reloaded else self._first)()
            await selftest(config)
            self._build(config, welcome.descriptors - RESERVED)
        except (ConfigError, SelfTestError) as error:
            print(f"quillroad: {error}", file=sys.stderr)
            self._unfit(str(error), 2 if isinstance(error, ConfigError) else 1)
        except Exception as error:
            log.exception("this process cannot serve")
            self._unfit(f"{type(error).__name__}: {error}", 1)
        else:
            self._keeper.send(Ready(memory_mb()))
            self._task(self._reports())

    def _unfit(self, why: str, status: int) -> None:
        self._keeper.send(Unfit(why))
        self.status = status
        self.end.set()

    async def _reports(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            engine, server = self.engine, self.gateway.server
            counts, engine.counts = engine.counts, type(engine.counts)()
            refused, self._refused = (
                server.admission.refused - self._refused,
                server.admission.refused,
            )
            moved, self._moved = self.moves.moved - self._moved, self.moves.moved
            self._keeper.send(
                Report(
                    counts.served,
                    counts.refused + refused,
                    counts.failed,
                    engine.open,
                    len(server.connection_limit),
                    moved,
                    memory_mb(),
                )
            )
            if self._seat.yielded:
                self._tell()


async def serve(
    seat: int, first: Callable[[], Config], again: Callable[[], Config], zones: Path | None
) -> int:
    """Run one worker to its end; returns the status to exit with."""
    loop = asyncio.get_running_loop()
    worker = Worker(loop, socket.socket(fileno=seat), first, again, zones)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, worker.drain)
    await worker.end.wait()
    await worker.close()
    return worker.status


def run(first: Callable[[], Config], again: Callable[[], Config], zones: Path | None = None) -> int:
    """One worker from its start to its end; returns the status to exit with."""
    start_log()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return uvloop.run(serve(int(os.environ.pop(SEAT)), first, again, zones))
