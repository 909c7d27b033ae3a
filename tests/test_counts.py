"""What each gateway counts of a second, and the sums over a fleet."""

from __future__ import annotations

import json
import logging
import time
from pathlib import Path

import pytest

from bench.fleet import read
from quillroad.counts import Counts
from quillroad.engine.engine import Engine
from tests.net import on_loop, serve_ok, told_settings, until, world


def said(caplog: pytest.LogCaptureFixture) -> list[dict[str, float]]:
    return [json.loads(r.getMessage()) for r in caplog.records if r.name == "quillroad.counts"]


def test_sends_to_cold_hosts_are_counted_apart(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setenv("QUILLROAD_COUNTS", "1")
    caplog.set_level(logging.INFO)
    # Slow-start slots of 0.3 s: an attempt on a connection that comes up after its slot is not
    # sent.
    settings = told_settings(
        guarantees={"cold": 60_000_000, "cold_from": 1.0, "fall_multiple": 1.0}
    )

    @on_loop
    async def play() -> None:
        async with world(serve_ok, settings=settings) as w, w.client() as client:
            assert isinstance(w.gateway.counts, Counts) and isinstance(w.gateway.engine, Engine)
            assert (await client.ask()).status == 200
            before = len(said(caplog))
            await until(lambda: len(said(caplog)) > before)
            w.discovery.tell(w.hosts[0].entry(startedAtMs=int(time.time() * 1000)))
            await until(lambda: any(host.started_us for host in w.gateway.engine.hosts.values()))
            assert (await client.ask()).status == 200
            before = len(said(caplog))
            await until(lambda: len(said(caplog)) > before)

    play()
    rows = said(caplog)
    sent, cold = (sum(row.get(name, 0) for row in rows) for name in ("sent", "to_cold"))
    assert sent - cold == 1 <= cold  # the first was before its start, all others after it
    assert all(row["nerve"] == 1.0 for row in rows)


def test_a_fleets_rates_are_sums_and_what_stands_is_a_mean(tmp_path: Path) -> None:
    for number, nerve in ((0, 1.0), (1, 0.5)):
        row = {"sent": 3, "to_cold": number, "nerve": nerve, "bad": {"s-1": 1}}
        (tmp_path / f"n{number}.log").write_text(
            f"1.2 quillroad.counts: {json.dumps(row)}\nno counts\n"
        )
    assert read(tmp_path)[1] == {"sent": 6, "to_cold": 1, "nerve": 0.75, "up": 2} | dict.fromkeys(
        ("admitted", "width", "limit", "pace", "ejected", "cold", "hosts", "success"), 0.0
    )
