"""The cross-zone budget of one gateway: its parts, and how they are fed.

Watches the engine's attempts, tells the balancer the bytes that crossed, and reads the file again
on a reload.
"""

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
from quillroad.upstream.pool import Answer, Done, Host
from quillroad.zones.report import MinuteHistory, Report, ReportedGateway, make_report
from quillroad.zones.report_writer import ReportWriter
from quillroad.zones.settings import ZoneSettings, load_zones
from quillroad.zones.traffic import TrafficCounters

log = logging.getLogger("quillroad.zones")


class Zones:
    """Counts, budget and report of one gateway.

    `crossing` is the budget that the balancer takes. `serves` says whether this process is the one
    that serves: with two processes of one gateway only that one writes reports. Raises
    `ConfigError` with the file's name where the file cannot work.
    """

    def __init__(self, path: Path, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self._path = path
        self._config = config
        self._settings = _load(path, config)
        self._gateway = ReportedGateway(
            name=config.name,
            route_names=[route.name for route in config.settings.routes],
            zone_names=config.zones,
            local_zone=config.settings.zone,
            since=time.time(),
        )
        route_count = len(self._gateway.route_names)
        self.cross_zone_budget = CrossZoneBudget(self._settings.limits)
        self._counters = TrafficCounters(route_count, len(config.zones))
        self._minutes = MinuteHistory(route_count)
        self._engine: Engine | None = None
        self.is_serving: Callable[[], bool] = lambda: True
        self._writer = ReportWriter(
            loop,
            encode=lambda: msgspec.json.encode(self.report()),
            path=lambda: self._settings.report_file,
            interval_s=lambda: self._settings.report_interval_s,
            is_serving=self._is_serving,
        )

    def _is_serving(self) -> bool:
        return (
            self.is_serving()
        )  # asked each time: the worker process sets `serves` after the start

    def attach(self, engine: Engine) -> None:
        """Watch an engine's attempts."""
        self._engine = engine
        engine.attempt_observer = self._on_sent

    def _on_sent(self, route: int, host: Host, request_bytes: int, done: Done) -> Done:
        """Count an attempt; returns what the engine calls at its end in place of `done`."""
        self._counters.count_sent(route, host.zone, request_bytes)
        return partial(self._on_ended, route, host.zone, request_bytes, done)

    def _on_ended(
        self,
        route: int,
        zone: int,
        request_bytes: int,
        done: Done,
        outcome: Outcome,
        answer: Answer | None,
        at: float,
    ) -> None:
        answer_bytes = 0 if answer is None else len(answer.body)
        carried = self._counters.count_ended(route, zone, outcome, request_bytes, answer_bytes)
        if carried and zone != self._gateway.local_zone and self._engine is not None:
            self._engine.feed(CrossZoneBytes(carried))
        done(outcome, answer, at)

    def report(self) -> Report:
        """Return the report as things are now; needs `attach` before."""
        assert self._engine is not None
        now = time.time()
        self._minutes.update(now, self.cross_zone_budget.counts)
        return make_report(
            self._gateway,
            self.cross_zone_budget,
            self._counters,
            self._minutes,
            at=now,
            now_us=self._engine.now_us(),
        )

    def reload(self) -> None:
        """Read the file again; what was counted stays. Raises `ConfigError` and changes nothing."""
        settings = _load(self._path, self._config)
        limits = settings.limits
        if limits != self._settings.limits:
            log.info("zone budget: share=%g per_second=%g", limits.share, limits.per_s)
        self._settings = settings
        self.cross_zone_budget.budget = limits

    def start(self) -> None:
        """Write reports from now on."""
        self._writer.start()

    def stop(self) -> None:
        """Say the counts in the log and write the last report."""
        if not self._writer.is_started:
            return
        for name, counts in zip(
            self._gateway.route_names, self.cross_zone_budget.counts, strict=True
        ):
            log.info(
                "%s: crossed=%d past=%d refused=%d",
                name,
                counts.total,
                counts.over_budget,
                counts.rejected,
            )
        self._writer.stop()


def _load(path: Path, config: Config) -> ZoneSettings:
    try:
        return load_zones(path, config)
    except ConfigError as error:
        raise ConfigError(f"{path.name}: {error}") from None
