"""What one gateway did in each second, as one JSON line a second in its log.

Forty gateways that each do something harmless can do harm together; that shows only when their lines are
added up, which `python -m bench.fleet FOLDER` does. On where QUILLROAD_COUNTS is set; else none of this is
imported.
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
    from quillroad.upstream.pool import Answer, Done, Host, Upstream

log = logging.getLogger("quillroad.counts")

EVERY_S = 1.0
WORST = 8  # hosts named in a line


class Counts:
    """Counts attempts by outcome and reads the module's and the pool's own figures, from `start` on."""

    def __init__(self, loop: asyncio.AbstractEventLoop, engine: Engine, upstream: Upstream) -> None:
        self._loop, self._engine, self._upstream = loop, engine, upstream
        self._now: Counter[str] = Counter()
        self._before: Counter[str] = Counter()  # of what only grows
        self._bad: Counter[str] = Counter()  # failed attempts by host
        self._timer: asyncio.TimerHandle | None = None
        self._next, engine.attempt_observer = engine.attempt_observer, self._sent

    def start(self) -> None:
        self._timer = self._loop.call_at(monotonic() + EVERY_S, self._tell)

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _sent(self, route: int, host: Host, size: int, done: Done) -> Done:
        self._now["sent"] += 1
        if host.started_us and self._engine.now_us() < host.started_us + self._engine.cold_us:
            self._now["to_cold"] += 1
        if self._next is not None:
            done = self._next(route, host, size, done)
        return partial(self._ended, host, monotonic(), done)

    def _ended(
        self,
        host: Host,
        began: float,
        done: Done,
        outcome: Outcome,
        answer: Answer | None,
        at: float,
    ) -> None:
        self._now[outcome.value] += 1
        if outcome is Outcome.SUCCESS:
            self._now["answer_ms"] += int((at - began) * 1000)
        elif outcome is not Outcome.CANCELLED:
            self._bad[host.name] += 1
        done(outcome, answer, at)

    def _tell(self) -> None:
        self.start()
        grown = Counter(self._engine.counters)
        grown["connects"], grown["no_connect"] = (
            self._upstream.connects,
            self._upstream.failed_connects,
        )
        line: dict[str, Any] = dict(self._now + (grown - self._before)) | self._engine.gauges
        line["idle"] = self._upstream.resting
        line["bad"] = dict(self._bad.most_common(WORST))
        self._bad.clear()
        self._before, self._now = grown, Counter()
        log.info("%s", json.dumps(line))
