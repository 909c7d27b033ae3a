"""Per-second counters of one gateway, written to its log as one line of JSON per second.

Forty gateways can overload hosts together although the traffic of each is harmless. Only the sums
of their lines show this; `python -m bench.fleet FOLDER` computes them. Enabled if the environment
variable QUILLROAD_COUNTS is set; otherwise this module is not imported.
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

INTERVAL_S = 1.0  # `bench.fleet` sums the lines of all gateways by second
MAX_FAILING_HOSTS = 8  # per line, to keep lines short in a large outage


class Counts:
    """Counts attempts by outcome and logs them with the metrics of the balancer and the pool.

    Each line holds counts since the previous line: `sent` attempts, `to_cold` (attempts sent to
    hosts that are warming up), one per `Outcome` value, `answer_ms` (the sum of the response times
    of successful attempts), `connects`, `no_connect` (failed connects) and the balancer's counters.
    It also holds current values: the balancer's gauges and `idle` connections. `bad` maps the names
    of the hosts with the most failed attempts to their number.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, engine: Engine, upstream: Upstream) -> None:
        self._loop = loop
        self._engine = engine
        self._upstream = upstream
        self._counts_since_last_line: Counter[str] = Counter()
        # Counters of the balancer and the pool, which grow from their start.
        self._totals_at_last_line: Counter[str] = Counter()
        self._failed_by_host: Counter[str] = Counter()  # attempts, since the last line
        self._timer: asyncio.TimerHandle | None = None
        self._next_observer = engine.attempt_observer
        engine.attempt_observer = self._on_sent

    def start(self) -> None:
        """Schedule the next line in `INTERVAL_S` seconds."""
        self._timer = self._loop.call_at(monotonic() + INTERVAL_S, self._write_line)

    def stop(self) -> None:
        """Cancel the next line."""
        if self._timer is not None:
            self._timer.cancel()

    def _on_sent(self, route: int, host: Host, request_bytes: int, done: Done) -> Done:
        self._counts_since_last_line["sent"] += 1
        if host.started_us and self._engine.now_us() < host.started_us + self._engine.warm_up_us:
            self._counts_since_last_line["to_cold"] += 1
        if self._next_observer is not None:
            done = self._next_observer(route, host, request_bytes, done)
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
        self._counts_since_last_line[outcome.value] += 1
        if outcome is Outcome.SUCCESS:
            self._counts_since_last_line["answer_ms"] += int((at - started_at) * 1000)
        elif outcome is not Outcome.CANCELLED:
            self._failed_by_host[host.name] += 1
        done(outcome, answer, at)

    def _write_line(self) -> None:
        self.start()
        totals = Counter(self._engine.counters)
        totals["connects"] = self._upstream.connects
        totals["no_connect"] = self._upstream.failed_connects
        line: dict[str, Any] = (
            dict(self._counts_since_last_line + (totals - self._totals_at_last_line))
            | self._engine.gauges
        )
        line["idle"] = self._upstream.idle_connections
        line["bad"] = dict(self._failed_by_host.most_common(MAX_FAILING_HOSTS))
        self._failed_by_host.clear()
        self._totals_at_last_line = totals
        self._counts_since_last_line = Counter()
        log.info("%s", json.dumps(line))
