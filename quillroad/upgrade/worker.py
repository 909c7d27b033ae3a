"""A worker: one gateway process that a supervisor process starts and watches."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path

import uvloop

from quillroad.config import RESERVED, Config, ConfigError
from quillroad.end_signals import block_signals
from quillroad.logs import start_log
from quillroad.upgrade.channel import Channel, close_all
from quillroad.upgrade.messages import (
    VERSION,
    CannotServe,
    Hello,
    Message,
    PrepareHandover,
    PrepareTakeover,
    Ready,
    Report,
    Welcome,
)
from quillroad.upgrade.selftest import SelfTestError, selftest
from quillroad.upgrade.worker_process import WorkerProcess

log = logging.getLogger("quillroad.upgrade")

# Environment variable with the descriptor number of the socket to the supervisor.
SUPERVISOR_SOCKET_VARIABLE = "QUILLROAD_SEAT"
REPORT_INTERVAL_S = 0.1  # between two `Report` messages to the supervisor


def memory_mb() -> float:
    """Return the resident memory of this process in MiB (proc_pid_statm(5))."""
    resident_pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return resident_pages * os.sysconf("SC_PAGE_SIZE") / 2**20


class SupervisedWorker(WorkerProcess):
    """A worker process with its connection to the supervisor.

    `first` reads the configuration at the start, `again` reads it for a reload; `zones` is the file
    of the cross-zone budget.
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
        self._retire_s = math.inf  # from the order to end until the supervisor kills this process
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
            self._retire_s = message.retire_s or math.inf
            self._tasks.start(self._prepare(message))
            return
        is_link = isinstance(message, PrepareHandover | PrepareTakeover) and len(descriptors) == 1
        if is_link and self._gateway is not None:
            self._open_link(socket.socket(fileno=descriptors.pop()))
        close_all(descriptors)
        if self._gateway is not None:
            self._perform_all(self._state.on_supervisor_message(message))

    def _limit_end(self, told_by_signal: bool) -> None:
        kill_at = time.monotonic() + self._retire_s
        if told_by_signal or math.isinf(kill_at):
            super()._limit_end(told_by_signal)
        self.gateway.begin_shutdown(kill_at)

    def _on_supervisor_lost(self, why: str) -> None:
        """Drain and end: without a supervisor nothing would start a successor for this worker."""
        log.error("lost the connection to the supervisor, draining: %s", why)
        self.drain()

    async def _prepare(self, welcome: Welcome) -> None:
        """Read the configuration, run the self-test, build the gateway, then send `Ready`.

        Sends `CannotServe` with the reason and ends the process if one of these fails.
        """
        try:
            config = (self._read_again if welcome.reloaded else self._read_first)()
            await selftest(config)
            self._build(config, welcome.descriptors - RESERVED)
        except (ConfigError, SelfTestError) as error:
            print(f"quillroad: {error}", file=sys.stderr)
            self._report_unfit(str(error), 2 if isinstance(error, ConfigError) else 1)
        except Exception as error:
            log.exception("this worker failed to start")
            self._report_unfit(f"{type(error).__name__}: {error}", 1)
        else:
            self._supervisor.send(Ready(memory_mb()))
            self._tasks.start(self._report_forever())

    def _report_unfit(self, why: str, status: int) -> None:
        self._supervisor.send(CannotServe(why))
        self._fail(status)

    async def _report_forever(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self._supervisor.send(self._report())
            if self._state.yielded:
                self._update_sibling()

    def _report(self) -> Report:
        """Return what this process did since the last report, and what it holds now."""
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
    """Run one worker until it ends; return its exit status.

    `descriptor` is the number of the socket to the supervisor.
    """
    loop = asyncio.get_running_loop()
    worker = SupervisedWorker(loop, socket.socket(fileno=descriptor), first, again, zones)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, worker.drain)
    await worker.end.wait()
    await worker.close()
    block_signals()
    return worker.status


def run(first: Callable[[], Config], again: Callable[[], Config], zones: Path | None = None) -> int:
    """Run one worker process in an event loop until it ends; return its exit status.

    Ignores SIGHUP until the worker installs its handler, so that an early one does not kill it.
    """
    start_log()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return uvloop.run(serve(int(os.environ.pop(SUPERVISOR_SOCKET_VARIABLE)), first, again, zones))
