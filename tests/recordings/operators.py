"""Adapter: what operators are told: metrics, answers to their calls, counts of each second."""

from __future__ import annotations

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import patch

from quillroad.admin.calls import Act, Call, read_call
from quillroad.admin.errors import BadCallError
from quillroad.admin.figures import GAUGES, OUTCOMES, Figures
from quillroad.admin.pages import REASONS, Page, page
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import EndpointUpdate, Outcome, UpdateKind
from quillroad.counts import Counts
from quillroad.gateway import Gateway
from tests.admin import test_decisions
from tests.net import make_config
from tests.recordings.kinds import Documents, parameters

CLASSES = ("status-check", 'odd "name"\\')


def metrics() -> Documents:
    """The page of metrics, with nothing counted and with every value a different one."""
    empty = Figures((), lambda: dict.fromkeys(GAUGES, 0.0))
    full = Figures(CLASSES, lambda: {name: 11.5 + place for place, name in enumerate(GAUGES)})
    full.counts = [[1, 2, 3], [4, 5, 6_000_000]]
    assert len(OUTCOMES) == 3
    for status in (200, 429, 503, 500, 0):
        full.ended(0, status)
    return {"empty": empty.text().decode(), "full": full.text().decode()}


def _shown(answer: Page) -> str:
    head = (
        f"{answer.status} {REASONS[answer.status]}\n{answer.content_type}\nallow: {answer.allow}\n"
    )
    return head + answer.body.decode()


def answers() -> Documents:
    """The answer to each call that makes sense, in each state of a gateway, and to those that make
    none."""

    async def run() -> dict[str, str]:
        gateway = Gateway(make_config(1, admin_addr="127.0.0.1:1"), asyncio.get_running_loop())
        admin = gateway.admin
        assert admin is not None
        told = {"health, no hosts": _shown(admin.act(Call(Act.HEALTH)))}
        gateway.update_endpoints(
            EndpointUpdate(UpdateKind.FULL, (Endpoint(1),), 1), {1: "s-1"}, {1: ("127.0.0.1", 9)}
        )
        acts = (
            Act.HEALTH,
            Act.STATS,
            Act.FAIL,
            Act.HEALTH,
            Act.OK,
            Act.MAINT,
            Act.STATS,
            Act.READY,
        )
        assert set(acts) == set(Act)
        for number, act in enumerate(acts):
            told[f"{number} {act.value}"] = _shown(admin.act(Call(act, "s-1")))
        told["no such host"] = _shown(admin.act(Call(Act.MAINT, "nobody")))
        admin.serves = lambda: False
        for act in Act:
            told[f"{act.value}, does not serve"] = _shown(admin.act(Call(act, "s-1")))
        return told

    told = asyncio.run(run())
    for method, target, _ in parameters(test_decisions.test_invalid_requests_raise_bad_call_error):
        try:
            read_call(method, target)
        except BadCallError as bad:
            answer = page(bad.status, str(bad), bad.allow)
            told[f"{method.decode()} {target.decode()}"] = _shown(answer)
    return told


def counts() -> Documents:
    """The row of each second: of a gateway that has done nothing, and of one with every outcome."""
    rows: list[str] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        gateway = Gateway(make_config(1), loop)
        with patch("quillroad.counts.log", SimpleNamespace(info=lambda _, row: rows.append(row))):
            idle = Counts(loop, gateway.engine, gateway.upstream)
            idle._write_line()
            idle.stop()
            engine = SimpleNamespace(
                attempt_observer=None,
                counters=Counter({"copies": 11, "ejections": 12}),
                gauges={"open": 13},
                now_us=lambda: 5_000,
                warm_up_us=1_000,
            )
            upstream = SimpleNamespace(connects=14, failed_connects=15, idle_connections=16)
            busy = Counts(loop, cast(Any, engine), cast(Any, upstream))
            for place, outcome in enumerate(Outcome):
                for _ in range(place + 1):
                    host = cast(
                        Any, SimpleNamespace(name=f"s-{place}", started_us=4_500 * (place % 2))
                    )
                    done = cast(Any, engine.attempt_observer)(
                        0, host, 10, lambda outcome, answer, at: None
                    )
                    done(outcome, None, 100.25)
            busy._write_line()
            busy.stop()

    with patch("quillroad.counts.monotonic", lambda: 100.0):
        asyncio.run(run())
    idle_row, busy_row = rows
    return {"idle": idle_row, "busy": busy_row}
