"""What one gateway did in each second, as one JSON line a second in its log.

Forty gateways that each do something harmless can do harm together; that shows only when their
lines are added up, which `python -m bench.fleet FOLDER` does. On where QUILLROAD_COUNTS is set;
else none of this is imported.
"""

from __future__ import annotations

import json
import logging
from collections import Counter
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING, Any

from quillroad.balancing.events import Outcome

if TYPE_CHECKING:
    import asyncio

    from quillroad.engine.engine import Engine
    from quillroad.http_answer import Answer
    from quillroad.upstream.pool import Done, Host, Upstream

log = logging.getLogger("quillroad.counts")

INTERVAL_S = 1.0  # between two lines: `bench.fleet` adds up the lines of one second
MAX_FAILING_HOSTS = 8  # named in a line: those that fail most; a line stays short in a large outage


class Counts:
    """Counts attempts by outcome, and reads the figures of balancer and pool.

    A line has what was counted since the line before (`sent`, `to_cold`, each `Outcome` value,
    `answer_ms` in sum, `connects`, `no_connect`, the balancer's counters), how things stand (the
    balancer's gauges, `idle` connections), and in `bad` the failed attempts of the hosts that
    failed most, by name.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, engine: Engine, upstream: Upstream) -> None:
        self._loop = loop
        self._engine = engine
        self._upstream = upstream
        self._counted: Counter[str] = Counter()  # since the last line
        self._totals: Counter[str] = (
            Counter()
        )  # at the last line, of what others count from their start
        self._failed_by_host: Counter[str] = Counter()  # attempts since the last line
        self._timer: asyncio.TimerHandle | None = None
        self._next_observer = engine.attempt_observer
        engine.attempt_observer = self._on_sent

    def start(self) -> None:
        """Write the next line after `INTERVAL_S`."""
        self._timer = self._loop.call_at(monotonic() + INTERVAL_S, self._write_line)

    def stop(self) -> None:
        """Write no more lines."""
        if self._timer is not None:
            self._timer.cancel()

    def _on_sent(self, route: int, host: Host, size: int, done: Done) -> Done:
        self._counted["sent"] += 1
        if host.started_us and self._engine.now_us() < host.started_us + self._engine.warm_up_us:
            self._counted["to_cold"] += 1
        if self._next_observer is not None:
            done = self._next_observer(route, host, size, done)
        return partial(self._on_ended, host, monotonic(), done)

    def _on_ended(
        self,
        host: Host,
        started_at: float,
        done: Done,
        outcome: Outcome,
        answer: Answer | None,
        at: float,
    ) -> None:
        self._counted[outcome.value] += 1
        if outcome is Outcome.SUCCESS:
            self._counted["answer_ms"] += int((at - started_at) * 1000)
        elif outcome is not Outcome.CANCELLED:
            self._failed_by_host[host.name] += 1
        done(outcome, answer, at)

    def _write_line(self) -> None:
        self.start()
        totals = Counter(self._engine.counters)
        totals["connects"] = self._upstream.connects
        totals["no_connect"] = self._upstream.failed_connects
        line: dict[str, Any] = dict(self._counted + (totals - self._totals)) | self._engine.gauges
        line["idle"] = self._upstream.idle_connections
        line["bad"] = dict(self._failed_by_host.most_common(MAX_FAILING_HOSTS))
        self._failed_by_host.clear()
        self._totals = totals
        self._counted = Counter()
        log.info("%s", json.dumps(line))
