"""The side towards loop and disk: watches attempts, writes the report, reads the file again."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec

from quillroad.balancing.events import CrossZoneBytes, Outcome
from quillroad.balancing.zone_routing import CrossZoneBudget
from quillroad.config import Config, ConfigError
from quillroad.engine.engine import Engine
from quillroad.files import put
from quillroad.upstream.pool import Answer, Done, Host
from quillroad.zones.ledger import Ledger
from quillroad.zones.report import Minutes, Report, make_report
from quillroad.zones.settings import ZoneSettings, load_zones

log = logging.getLogger("quillroad.zones")


class Zones:
    """Of one gateway. Raises ConfigError, with the file's name, where that cannot work."""

    def __init__(self, path: Path, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self._path, self._config, self._loop = path, config, loop
        self._told = _load(path, config)
        self.names = [route.name for route in config.settings.routes]
        self.crossing = CrossZoneBudget(self._told.budget)
        self.ledger = Ledger(len(self.names), len(config.zones))
        self._minutes = Minutes(len(self.names))
        self._since = time.time()
        self._engine: Engine | None = None
        self._writer: asyncio.Task[None] | None = None
        self._writing = False
        self._failing = False
        self.serves: Callable[[], bool] = lambda: (
            True
        )  # with two processes only the one that serves reports

    def attach(self, engine: Engine) -> None:
        """Watch an engine's attempts."""
        self._engine = engine
        engine.attempt_observer = self._observe

    def _observe(self, route: int, host: Host, size: int, done: Done) -> Done:
        self.ledger.sent(route, host.zone, size)
        return partial(self._ended, route, host.zone, size, done)

    def _ended(
        self,
        route: int,
        zone: int,
        size: int,
        done: Done,
        outcome: Outcome,
        answer: Answer | None,
        at: float,
    ) -> None:
        carried = self.ledger.ended(
            route, zone, outcome, size, 0 if answer is None else len(answer.body)
        )
        if carried and zone != self._config.settings.zone and self._engine is not None:
            self._engine.feed(CrossZoneBytes(carried))
        done(outcome, answer, at)

    def report(self) -> Report:
        """As things are now."""
        assert self._engine is not None
        now = time.time()
        self._minutes.told(now, self.crossing.counts)
        return make_report(
            self.crossing,
            self.ledger,
            self._minutes,
            self.names,
            self._config.zones,
            self._config.settings.zone,
            self._config.name,
            self._since,
            now,
            self._engine.now_us(),
        )

    def reload(self) -> None:
        """Read the file again: what was counted stays. Raises ConfigError where it cannot work."""
        told = _load(self._path, self._config)
        if told.budget != self._told.budget:
            log.info("zone budget: share=%g per_second=%g", told.budget.share, told.budget.per_s)
        self._told, self.crossing.budget = told, told.budget

    def start(self) -> None:
        self._writer = self._loop.create_task(self._write())

    async def _write(self) -> None:
        while True:
            told = self._told
            if told.report is not None and self.serves():
                data = msgspec.json.encode(self.report())
                self._writing = True
                # In a thread: a disk that hangs must not stop the loop. One write at a time.
                write = self._loop.run_in_executor(None, put, told.report, data)
                write.add_done_callback(self._written)
                await asyncio.wait({write})
            await asyncio.sleep(told.every_s)

    def _written(self, write: asyncio.Future[None]) -> None:
        self._writing = False
        error = None if write.cancelled() else write.exception()
        if (error is not None) is not self._failing:
            self._failing = error is not None
            if error is not None:
                log.error("the report cannot be written: %s", error)
            else:
                log.info("the report is written again")

    def stop(self) -> None:
        """Write the last report, unless the disk hangs."""
        if self._writer is None:
            return
        self._writer.cancel()
        self._writer = None
        for name, sent in zip(self.names, self.crossing.counts, strict=True):
            log.info(
                "%s: crossed=%d past=%d refused=%d",
                name,
                sent.total,
                sent.over_budget,
                sent.rejected,
            )
        if self._told.report is not None and not self._writing and self.serves():
            try:
                put(self._told.report, msgspec.json.encode(self.report()))
            except OSError as error:
                log.error("the report cannot be written: %s", error)


def _load(path: Path, config: Config) -> ZoneSettings:
    try:
        return load_zones(path, config)
    except ConfigError as error:
        raise ConfigError(f"{path.name}: {error}") from None
