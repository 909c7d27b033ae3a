"""A worker: one gateway process under a supervisor."""

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
from quillroad.upgrade.channel import Channel, close_all
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
from quillroad.upgrade.worker_process import WorkerProcess

log = logging.getLogger("quillroad.upgrade")

# Of the environment: the descriptor of the socket to the supervisor.
SUPERVISOR_SOCKET_VARIABLE = "QUILLROAD_SEAT"
REPORT_INTERVAL_S = 0.1


def memory_mb() -> float:
    """Resident memory of this process (proc_pid_statm(5))."""
    resident_pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return resident_pages * os.sysconf("SC_PAGE_SIZE") / 2**20


class SupervisedWorker(WorkerProcess):
    """One process.

    `first` reads the configuration, `again` reads it for a reload; `zones` is the file of the
    budget for other zones.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        first: Callable[[], Config],
        again: Callable[[], Config],
        zones: Path | None = None,
    ) -> None:
        super().__init__(loop, again, zones)
        self._read_first = first
        self._supervisor = Channel(
            loop, sock, self._on_supervisor_message, self._on_supervisor_lost
        )
        self._reported_migrations = 0
        self._reported_rejections = 0
        python = f"{sys.version_info[0]}.{sys.version_info[1]}"
        self._supervisor.send(Hello(VERSION, python))

    def _to_supervisor(self, message: Message) -> None:
        self._supervisor.send(message)

    def _on_supervisor_message(self, message: Message, descriptors: list[int]) -> None:
        if isinstance(message, Welcome) and len(descriptors) == 1:
            self._listener = socket.socket(fileno=descriptors[0])
            self._listener.setblocking(False)
            self._tasks.start(self._prepare(message))
            return
        is_link = isinstance(message, Give | Take) and len(descriptors) == 1
        if is_link and self._gateway is not None:
            self._open_link(socket.socket(fileno=descriptors.pop()))
        close_all(descriptors)
        if self._gateway is not None:
            self._perform_all(self._state.supervisor_said(message))

    def _on_supervisor_lost(self, why: str) -> None:
        """Nobody would start another worker: what was taken is answered, then this process ends."""
        log.error("the supervisor is gone: %s", why)
        self.drain()

    async def _prepare(self, welcome: Welcome) -> None:
        """Read the configuration, test the path of a request, build the gateway and say `Ready`."""
        try:
            config = (self._read_again if welcome.reloaded else self._read_first)()
            await selftest(config)
            self._build(config, welcome.descriptors - RESERVED)
        except (ConfigError, SelfTestError) as error:
            print(f"quillroad: {error}", file=sys.stderr)
            self._unfit(str(error), 2 if isinstance(error, ConfigError) else 1)
        except Exception as error:
            log.exception("this process cannot serve")
            self._unfit(f"{type(error).__name__}: {error}", 1)
        else:
            self._supervisor.send(Ready(memory_mb()))
            self._tasks.start(self._report_forever())

    def _unfit(self, why: str, status: int) -> None:
        self._supervisor.send(Unfit(why))
        self._fail(status)

    async def _report_forever(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self._supervisor.send(self._report())
            if self._state.yielded:
                self._update_sibling()

    def _report(self) -> Report:
        """What this process did since the last report."""
        engine, server = self.engine, self.gateway.server
        counts, engine.counts = engine.counts, type(engine.counts)()
        rejections = server.admission.rejected
        migrations = self.migrations.moved
        report = Report(
            counts.served,
            counts.refused + rejections - self._reported_rejections,
            counts.failed,
            engine.open,
            len(server.connection_limit),
            migrations - self._reported_migrations,
            memory_mb(),
        )
        self._reported_rejections = rejections
        self._reported_migrations = migrations
        return report


async def serve(
    descriptor: int, first: Callable[[], Config], again: Callable[[], Config], zones: Path | None
) -> int:
    """Run one worker to its end; returns the status to exit with.

    `descriptor` is that of the socket to the supervisor.
    """
    loop = asyncio.get_running_loop()
    worker = SupervisedWorker(loop, socket.socket(fileno=descriptor), first, again, zones)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, worker.drain)
    await worker.end.wait()
    await worker.close()
    return worker.status


def run(first: Callable[[], Config], again: Callable[[], Config], zones: Path | None = None) -> int:
    """Run one worker from its start to its end; returns the status to exit with."""
    start_log()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return uvloop.run(serve(int(os.environ.pop(SUPERVISOR_SOCKET_VARIABLE)), first, again, zones))
