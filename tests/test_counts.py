"""The per-second counters of a gateway, and their sums over a fleet."""

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


def logged_counts(caplog: pytest.LogCaptureFixture) -> list[dict[str, float]]:
    return [json.loads(r.getMessage()) for r in caplog.records if r.name == "quillroad.counts"]


def test_attempts_to_warming_hosts_are_counted_separately(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setenv("QUILLROAD_COUNTS", "1")
    caplog.set_level(logging.INFO)
    # Slow-start slots of 0.3 s: an attempt whose connection is established after its slot is not
    # sent.
    settings = told_settings(
        guarantees={"cold": 60_000_000, "cold_from": 1.0, "fall_multiple": 1.0}
    )

    @on_loop
    async def run_gateway() -> None:
        async with world(serve_ok, settings=settings) as fake_world, fake_world.client() as client:
            assert isinstance(fake_world.gateway.counts, Counts) and isinstance(
                fake_world.gateway.engine, Engine
            )
            assert (await client.ask()).status == 200
            lines_before = len(logged_counts(caplog))
            await until(lambda: len(logged_counts(caplog)) > lines_before)
            fake_world.discovery.tell(
                fake_world.hosts[0].entry(startedAtMs=int(time.time() * 1000))
            )
            await until(
                lambda: any(host.started_us for host in fake_world.gateway.engine.hosts.values())
            )
            assert (await client.ask()).status == 200
            lines_before = len(logged_counts(caplog))
            await until(lambda: len(logged_counts(caplog)) > lines_before)

    run_gateway()
    logged_lines = logged_counts(caplog)
    sent_count, cold_count = (
        sum(logged_line.get(name, 0) for logged_line in logged_lines)
        for name in ("sent", "to_cold")
    )
    # Only the first attempt was sent before the host reported its start.
    assert sent_count - cold_count == 1 <= cold_count
    assert all(logged_line["nerve"] == 1.0 for logged_line in logged_lines)


def test_fleet_counters_are_summed_and_gauges_averaged(tmp_path: Path) -> None:
    for number, nerve in ((0, 1.0), (1, 0.5)):
        logged_line = {"sent": 3, "to_cold": number, "nerve": nerve, "bad": {"s-1": 1}}
        (tmp_path / f"n{number}.log").write_text(
            f"1.2 quillroad.counts: {json.dumps(logged_line)}\nno counts\n"
        )
    assert read(tmp_path)[1] == {"sent": 6, "to_cold": 1, "nerve": 0.75, "up": 2} | dict.fromkeys(
        ("admitted", "width", "limit", "pace", "ejected", "cold", "hosts", "success"), 0.0
    )
