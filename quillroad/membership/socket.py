"""The view of the fleet in a running gateway: its socket, its clock, and what follows from it."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import random
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from time import monotonic
from typing import Any

import structlog

from quillroad.balancing.events import GatewayCountChanged
from quillroad.config import Config
from quillroad.discovery.source import Source
from quillroad.engine.engine import Engine
from quillroad.files import Writer
from quillroad.membership.core import EVERYONE, Core
from quillroad.membership.report import make_report, write_report
from quillroad.membership.settings import FleetSettings, load_fleet
from quillroad.membership.share import Part, Share
from quillroad.membership.wire import MOST_BYTES

log = logging.getLogger("quillroad.membership")

MOST_READ = 64  # datagrams in one turn of the loop: a flood has no more of it than that
TAKEN_S = 0.2  # until an address that another process holds is tried again
TOLD_S = 10.0  # between two lines about it


class _Lines:
    """What structlog writes to."""

    def __init__(self, files: Writer, path: Path) -> None:
        self._files, self._path = files, path

    def info(self, line: str) -> None:
        self._files.append(self._path, line)


class Fleet:
    """One gateway's part in the view, from `start` to `stop`. Without a roster, because the platform forbids
    talk between gateways, it does nothing."""

    def __init__(self, path: Path, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        """Raises `ConfigError`."""
        self._path, self._config, self._loop = path, config, loop
        self.settings: FleetSettings | None = load_fleet(path, config)
        self.core: Core | None = None
        told = config.settings
        self._told = Part(told.gateway_index, told.gateway_count)
        self.part = self._told
        self._share: Share | None = None
        self._engine: Engine | None = None
        self._source: Callable[[], Source] | None = None
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._reporter: asyncio.TimerHandle | None = None
        self._complained = float("-inf")
        self.serves: Callable[[], bool] = lambda: (
            True
        )  # of two processes only the one that serves takes part
        self._files = Writer(loop)
        self._events: Any = None  # structlog's logger; None: changes are written nowhere
        if self.settings is None:
            log.info("the settings allow no talk between gateways: the told number counts")

    def attach(self, engine: Engine, source: Callable[[], Source]) -> None:
        """Whom the live number is told to; `source` gives the present source of hosts."""
        self._engine, self._source = engine, source
        self._given = (self._told, source(), self._told)  # to windows; whom, and to its rounds

    def start(self) -> None:
        """Take part from now on, or as soon as the address is free."""
        settings = self.settings
        if settings is None:
            return
        self._open_events(settings)
        self._try()

    def _try(self) -> None:
        settings = self.settings
        assert settings is not None
        self._timer = None
        if not self.serves():
            self._timer = self._loop.call_later(TAKEN_S, self._try)
            return
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_BROADCAST, True)  # a reload may tell of one
        try:
            opened.bind(settings.listen)
        except OSError as error:
            opened.close()
            # In an upgrade the process that leaves still has it; else two run under one number.
            now = monotonic()
            if now - self._complained >= TOLD_S:
                self._complained = now
                why = (
                    "another process holds it"
                    if error.errno == errno.EADDRINUSE
                    else error.strerror
                )
                log.error("no part in the fleet's view: %s:%d: %s", *settings.listen, why)
            self._timer = self._loop.call_later(TAKEN_S, self._try)
            return
        self._socket = opened
        life = int.from_bytes(os.urandom(4), "big")
        draw = random.Random(self._config.seed ^ life).random
        self.core = Core(settings.roster, settings.timing, monotonic(), draw, life)
        self._share = Share(self._told, settings.hold_s)
        self._loop.add_reader(opened, self._readable)
        self._arm()
        self._report()

    def read(self, config: Config) -> FleetSettings | None:
        """The file again, for `take`. Raises `ConfigError`. The own number and the told one are those of the
        start."""
        return load_fleet(self._path, replace(config, settings=self._config.settings))

    def take(self, settings: FleetSettings | None) -> None:
        """Take over another roster, what follows, and reports; times and the own address change with a
        restart."""
        if settings is None or self.settings is None:
            return
        if settings.listen != self.settings.listen or settings.timing != self.settings.timing:
            log.warning("these change with a restart only: members.listen, talk")
        self.settings = settings
        if self.core is not None:
            self.core.follow(settings.roster, monotonic())
            self._after()
        self._give()

    def leave(self) -> None:
        """Say that this gateway goes; nobody has to find it gone."""
        if self.core is not None:
            self.core.leave(monotonic())
            self._flush()

    def stop(self) -> None:
        """Take no part any more; without `leave` before it others take it for crashed, or for the process
        that comes next under its number."""
        self._close()
        self._files.close()
        self.core = None

    # The socket and the clock.

    def _readable(self) -> None:
        """Read what has come, and do what is due."""
        try:
            self._read()
            self._after()
        except Exception:  # a fault here may cost the view, and no request
            log.exception("the fleet's view failed on a datagram")

    def _read(self) -> None:
        opened, core = self._socket, self.core
        if opened is None or core is None:
            return
        for _ in range(MOST_READ):
            try:
                data, source = opened.recvfrom(MOST_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # word that an earlier datagram found nobody
            core.receive((source[0], source[1]), data, monotonic())

    def _step_aside(self) -> None:
        """The other process of this gateway takes part in its place: the same member, with a new life."""
        self._close()
        self.core, self.part = None, self._told
        self._give()  # with no view of its own it goes by the told number
        self._timer = self._loop.call_later(TAKEN_S, self._try)

    def _close(self) -> None:
        for timer in (self._timer, self._reporter):
            if timer is not None:
                timer.cancel()
        self._timer = self._reporter = None
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _due(self) -> None:
        core, self._timer = self.core, None
        if core is None:
            return
        if not self.serves():
            self._step_aside()
            return
        try:
            self._read()  # what lies here may be what is missed: a process that stood still has both at once
            core.tick(monotonic())
            self._divide()  # a share grows by the time alone, too
            self._after()
        except Exception:
            log.exception("the fleet's view failed")
            self._arm()

    def _arm(self) -> None:
        core = self.core
        if core is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(max(0.0, core.arm(now := monotonic()) - now), self._due)

    def _after(self) -> None:
        self._flush()
        if self.core is not None and self.core.changes:
            self._tell_changes()
            self._divide()
        self._arm()

    def _flush(self) -> None:
        core, opened = self.core, self._socket
        if core is None or opened is None:
            return
        out, core.outbox = core.outbox, []
        for number, data in out:
            everyone = core.roster.everyone
            to = (
                everyone
                if number == EVERYONE and everyone is not None
                else core.roster.addresses[number]
            )
            try:
                opened.sendto(data, to)
            except OSError:
                core.dropped["not sent"] += 1

    # What follows.

    def _divide(self) -> None:
        """Use the live number where the settings say so."""
        core, share = self.core, self._share
        if core is None or share is None:
            return
        part = share.follow(core.view, monotonic())
        if part != self.part:
            self._note("part", number=part.number, of=part.of, state=core.view.self_state.value)
            self.part = part
        self._give()

    def _give(self) -> None:
        """Tell those who follow what they do not know yet: another part, another source, or that they follow
        the told number again."""
        settings = self.settings
        if settings is None or self._engine is None or self._source is None:
            return
        source = self._source()
        windows = self.part if settings.windows else self._told
        rounds = self.part if settings.rounds else self._told
        before, self._given = self._given, (windows, source, rounds)
        if windows != before[0]:
            self._engine.feed(GatewayCountChanged(windows.number, windows.of))
        if (source, rounds) != before[1:]:
            source.divide(rounds.number, rounds.of)

    def _open_events(self, settings: FleetSettings) -> None:
        if settings.changes is not None:
            self._events = structlog.wrap_logger(
                _Lines(self._files, settings.changes),
                processors=[
                    structlog.processors.TimeStamper(),
                    structlog.processors.JSONRenderer(),
                ],
            )

    def _note(self, event: str, **facts: object) -> None:
        if self._events is not None:
            self._events.info(event, gateway=self._config.settings.gateway_index, **facts)

    def _tell_changes(self) -> None:
        core = self.core
        if core is None:
            return
        changes, core.changes = core.changes, []
        for change in changes:
            self._note(
                change.what,
                member=change.number,
                incarnation=change.incarnation,
                cause=change.cause,
                by=change.by,
                clock=round(change.at, 3),
            )
            if change.number == core.number and change.what != "refuted":
                say = log.error if change.what == "doubled" else log.info
                say("this gateway is %s", change.what)
            elif change.what in ("gone", "doubled"):
                log.info(
                    "gateway %d is %s (%s, by %d)",
                    change.number,
                    change.what,
                    change.cause,
                    change.by,
                )

    def _report(self) -> None:
        settings, core = self.settings, self.core
        if settings is None or core is None:
            return
        if settings.report is not None:
            used = settings.windows or settings.rounds
            report = make_report(core, self._config.name, self.part, used, monotonic(), time.time())
            self._files.replace(settings.report, write_report(report))
        self._reporter = self._loop.call_later(settings.every_s, self._report)
