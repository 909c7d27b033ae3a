"""Wiring, signals, reload and exit of one gateway."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from time import monotonic
from typing import TYPE_CHECKING

import uvloop

from quillroad.balancing.balancer import Balancer
from quillroad.config import Config, ConfigError, Descriptors, changed_fields
from quillroad.discovery.feed import Update
from quillroad.discovery.source import open_source
from quillroad.downstream.server import Server
from quillroad.engine.engine import Engine
from quillroad.inherited_descriptors import inherited
from quillroad.overload.acceptor import open_listener
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.serving_state import ServingState
from quillroad.upstream.pool import Upstream

if TYPE_CHECKING:
    from quillroad.admin import Admin
    from quillroad.counts import Counts
    from quillroad.discovery.consul.registrar import Registrar
    from quillroad.membership.service import Fleet
    from quillroad.zones.zones import Zones

log = logging.getLogger("quillroad")

SWEEP_S, SWEEP_LATE_S = 0.25, 0.15
ACCEPT_S = 0.55  # after SIGTERM: the front sends connections for up to 0.4 s more
FLUSH_S = 0.1  # for the last answers to leave
# After SIGTERM and the longest deadline; SIGKILL comes 0.7 s after these at the earliest, and the process
# needs some of that to end.
END_S = 0.6
LOG_LINES, LOG_S = (
    50,
    1.0,
)  # lines in a stretch of time: a storm of errors must not become a storm of lines


class LimitedLog(logging.Filter):
    """Passes so many lines a second and says how many it left out."""

    def __init__(self) -> None:
        super().__init__()
        self._began, self._count = 0.0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if record.created - self._began >= LOG_S:
            if self._count > LOG_LINES:
                record.msg, record.args = (
                    f"{record.getMessage()} ({self._count - LOG_LINES} left out)",
                    (),
                )
            self._began, self._count = record.created, 0
        self._count += 1
        return self._count <= LOG_LINES


def start_log() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(LimitedLog())
    handler.setFormatter(
        logging.Formatter("%(asctime)s.%(msecs)03d %(name)s: %(message)s", "%H:%M:%S")
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])


class Gateway:
    """The parts of one gateway, wired. `engine` and `server` are the kinds of these parts; `zones` names the
    file that holds traffic to other zones to a budget."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        engine: type[Engine] = Engine,
        server: type[Server] = Server,
        zones: Path | None = None,
        taken: int = 0,
    ) -> None:
        """`taken` descriptors of the limit are somebody else's (0 or more)."""
        self.config, self.loop = config, loop
        self.admin: Admin | None = None
        reserved = taken
        if config.admin is not None:
            from quillroad import admin  # noqa: PLC0415

            self.admin = admin.Admin(self, config.admin)
            reserved += admin.RESERVED
        self.descriptors = descriptors = Descriptors(config.sockets - reserved)
        loop_monitor = EventLoopMonitor(loop)
        self.upstream = Upstream(
            loop,
            descriptors,
            config.connect_timeout_s,
            config.idle_s,
            loop_monitor,
            config.longest_body,
        )
        self.zones: Zones | None = None
        if zones is not None:
            from quillroad.zones import Zones  # noqa: PLC0415

            self.zones = Zones(zones, config, loop)
        crossing = None if self.zones is None else self.zones.crossing
        self.engine = engine(loop, Balancer(config.settings, config.seed, crossing), self.upstream)
        if self.zones is not None:
            self.zones.attach(self.engine)
        self.update: Update = self.engine.update if self.admin is None else self.admin.told
        self.source, self.feed = open_source(config, self.update)
        self._hosts = (config.discovery, config.hosts)
        self.registrar: Registrar | None = None
        if config.register is not None:
            from quillroad.discovery.consul.registrar import Registrar  # noqa: PLC0415

            self.registrar = Registrar(config.register, config, lambda: self.engine.ready)
        self.server = server(
            loop, config, self.engine, descriptors, self.upstream.drop_oldest_idle, loop_monitor
        )
        self.upstream.clients_yield = self.server.yields
        self.serving_state = ServingState()
        self._resting: asyncio.Task[None] | None = None
        if self.admin is not None:
            self.server.on_end = self.admin.figures.ended
        self.counts: Counts | None = None
        if os.environ.get("QUILLROAD_COUNTS"):
            from quillroad.counts import Counts  # noqa: PLC0415

            self.counts = Counts(loop, self.engine, self.upstream)
        self.fleet: Fleet | None = None
        if told := os.environ.get("QUILLROAD_FLEET"):
            from quillroad.membership.service import Fleet  # noqa: PLC0415

            self.fleet = Fleet(Path(told), config, loop)
            self.fleet.attach(self.engine, lambda: self.source)
        self.port = 0
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve by the known list at once."""
        self.source.begin(self.config)
        if self.admin is not None:
            self.admin.start()
        self.listen(open_listener(*self.config.listen))
        self.follow()

    def listen(self, listener: socket.socket) -> None:
        """Accept from a listening socket."""
        self.server.listen(listener)
        self.port = listener.getsockname()[1]
        log.info("%s listens on %s:%d", self.config.name, self.config.listen[0], self.port)

    def follow(self) -> None:
        """Hear of hosts, and care for connections, from now on."""
        self.source.start()
        if self.zones is not None:
            self.zones.start()
        if self.registrar is not None:
            self.registrar.start()
        if self.counts is not None:
            self.counts.start()
        if self.fleet is not None:
            self.fleet.start()
        self._sweeper = self.loop.create_task(self._sweep())

    def reload(self, read: Callable[[], Config]) -> None:
        """Take over what a new file changes: where hosts are told of. List, connections and open requests
        stay as they are, also while draining; a file that cannot work changes nothing."""
        try:
            config = read()
            members = None if self.fleet is None else self.fleet.read(config)
            if self.zones is not None:
                self.zones.reload()
        except ConfigError as error:
            log.error("the old configuration stands: %s", error)
            self._reloaded(False)
            return
        self._reloaded(True)
        if self.fleet is not None:
            self.fleet.take(members)
        if left := changed_fields(self.config, config):
            log.warning("these fields change with a restart only: %s", ", ".join(left))
        hosts = (config.discovery, config.hosts)
        if hosts == self._hosts:
            return
        log.info("hosts are now told by %s", config.hosts or config.discovery)
        if type(config.hosts) is type(self._hosts[1]):
            self.source.follow(config)
        else:
            self.source.stop()
            self.source, self.feed = open_source(config, self.update)
            self.source.begin(config)
            self.source.start()
        self._hosts = hosts

    def _reloaded(self, ok: bool) -> None:
        if self.admin is not None:
            self.admin.reloads[ok] += 1

    @property
    def ready(self) -> bool:
        """Whether it can serve, and is to."""
        return self.engine.ready and not self.serving_state.draining

    def drain_by_hand(self, on: bool) -> None:
        """Serve no new connection and keep none, until it is taken back; the process runs on."""
        if not (self.serving_state.fail() if on else self.serving_state.ok()):
            return
        log.info("drained by hand" if on else "back to work")
        self.server.draining = self.serving_state.draining
        if self._resting is not None:
            self._resting.cancel()
        self._resting = self.loop.create_task(self._rest()) if on else None

    async def _rest(self) -> None:
        """While drained by hand: once the front has had its time, end what is between two requests."""
        await asyncio.sleep(ACCEPT_S)
        while self.serving_state.by_hand:
            self.server.close_idle()
            await asyncio.sleep(0.02)

    async def _sweep(self) -> None:
        while True:
            due = monotonic() + SWEEP_S
            await asyncio.sleep(SWEEP_S)
            if monotonic() > due + SWEEP_LATE_S:
                continue  # this process stood still: first what came meanwhile has to be read
            try:
                self.server.sweep()
                self.upstream.sweep()
            except Exception:  # one connection's fault must not end the care for all others
                log.exception("a sweep failed")

    async def drain(self) -> None:
        """Answers say `Connection: close` at once; the listener and idle connections stay while the front
        may still send, for ending them first would lose what crosses the close."""
        began = monotonic()
        longest_s = (
            max((route.deadline_us for route in self.config.settings.routes), default=0) / 1e6
        )
        end = began + longest_s + END_S
        self.serving_state.end()
        self.server.draining = True
        # What is taken late has no longer than this process: a request that came half by then, say.
        self.server.answers_by = end - FLUSH_S
        if self.fleet is not None:
            self.fleet.leave()
        leaving = None if self.registrar is None else self.loop.create_task(self.registrar.leave())
        await asyncio.sleep(ACCEPT_S)
        self.server.stop_listening()
        while len(self.server.connection_limit) and monotonic() < end:
            await asyncio.sleep(0.02)
            self.server.close_idle()
        self.server.break_off()
        if leaving is not None:
            await leaving

    def stop(self) -> None:
        self.server.stop_listening()
        self.source.stop()
        if self.zones is not None:
            self.zones.stop()
        if self.registrar is not None:
            self.registrar.stop()
        if self.counts is not None:
            self.counts.stop()
        if self.fleet is not None:
            self.fleet.stop()
        if self._resting is not None:
            self._resting.cancel()
        if self.admin is not None:
            self.admin.stop()
        if self._sweeper is not None:
            self._sweeper.cancel()


async def serve(config: Config, read: Callable[[], Config], zones: Path | None, taken: int) -> None:
    """Run one gateway until SIGTERM or SIGINT, then answer what it has taken. `read` reads the configuration
    again, for SIGHUP; `taken` descriptors of its limit are not its own."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    gateway = Gateway(config, loop, zones=zones, taken=taken)
    await gateway.start()
    if taken:
        log.info("%d descriptors were open at the start: so many fewer connections", taken)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload, read)
    gc.collect()
    gc.freeze()  # what is here at the start stays; collections need not walk it each time
    await stop.wait()
    log.info("draining")
    await gateway.drain()
    gateway.stop()
    log.info("drained")


def run(config: Config, again: Callable[[], Config], zones: Path | None = None) -> int:
    """One gateway from its start to its end; returns the status to exit with. `again` reads the configuration
    for a reload; `zones` is the file that turns a budget for other zones on."""
    taken = inherited()
    start_log()
    try:
        uvloop.run(serve(config, again, zones, taken))
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return 2
    return 0
