"""Tests of `EngineClock`, the clock that timestamps events for the balancer."""

from __future__ import annotations

import time

import pytest

from quillroad.engine import clock
from quillroad.engine.clock import EngineClock
from quillroad.overload.event_loop_lag import STALL_S, EventLoopLag


def test_clock_returns_unix_time() -> None:
    """Hosts report their start in Unix time; with another epoch the age of each host would be
    wrong.
    """
    engine_clock = EngineClock(EventLoopLag(time.monotonic()))
    assert abs(engine_clock.now_us() - time.time_ns() // 1000) < 1_000_000


def test_clock_never_decreases_after_a_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a stall, the clock uses the time of the last tick, which is earlier than times that it
    has already returned.
    """
    now = 100.0
    monkeypatch.setattr(clock, "monotonic", lambda: now)
    lag = EventLoopLag(now)
    engine_clock = EngineClock(lag)
    lag.begin(now)
    now = 100.2
    before = engine_clock.now_us()
    assert lag.stalled(now + STALL_S)
    assert engine_clock.now_us() == before == engine_clock.latest_us


def test_clock_is_frozen_while_the_loop_catches_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """The process was stopped for 5 s. That time must not count against hosts that answered in
    the meantime.
    """
    now = 100.0
    monkeypatch.setattr(clock, "monotonic", lambda: now)
    lag = EventLoopLag(now)
    engine_clock = EngineClock(lag)
    lag.begin(now)
    before = engine_clock.now_us()
    now = 105.0
    assert lag.stalled(now)
    assert engine_clock.now_us() == before
    lag.caught_up(now)
    assert engine_clock.now_us() == before + 5_000_000
