"""Connects the cross-zone budget, traffic counters and report with the gateway.

Observes the engine's attempts, reports the bytes of cross-zone attempts to the balancer, and reads
the zones file again on a reload.
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
    """The cross-zone budget, traffic counters and report of one gateway.

    `cross_zone_budget` is the budget to pass to the balancer. `is_serving` returns whether this
    process serves requests; during an upgrade a gateway has two processes, and only the serving one
    writes reports. Raises `ConfigError`, which names the file, if the zones file is invalid.
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
        # Looked up at each call: the worker process replaces `is_serving` after the start.
        return self.is_serving()

    def attach(self, engine: Engine) -> None:
        """Observe the attempts of `engine`."""
        self._engine = engine
        engine.attempt_observer = self._on_sent

    def _on_sent(self, route: int, host: Host, request_bytes: int, done: Done) -> Done:
        """Count the start of an attempt; return the callback for its end, which calls `done`."""
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
        """Return the current report; `attach` must have been called before."""
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
        """Read the zones file again and apply its settings; keep all counts.

        Raises `ConfigError` and keeps the current settings if the file is invalid.
        """
        settings = _load(self._path, self._config)
        limits = settings.limits
        if limits != self._settings.limits:
            log.info(
                "cross-zone budget reloaded: share=%g per_second=%g", limits.share, limits.per_s
            )
        self._settings = settings
        self.cross_zone_budget.budget = limits

    def start(self) -> None:
        """Start to write reports."""
        self._writer.start()

    def stop(self) -> None:
        """Log the counts of each route and write a final report."""
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
