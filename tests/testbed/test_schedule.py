"""Arrival times by schedule: how many, when, and the same for the same seed."""

from __future__ import annotations

from testbed.schedule import poisson, steady, steps, storm, synchronised


def test_schedules_hold_what_they_say() -> None:
    assert list(steady(4, 1.0)) == [0.0, 0.25, 0.5, 0.75]
    assert list(steps((2, 1.0), (0, 3.0), (1, 2.0))) == [0.0, 0.5, 4.0, 5.0]
    assert list(storm(3, 2.0)) == [2.0] * 3
    assert list(synchronised(2, 2, 0.5)) == [0.0, 0.0, 0.5, 0.5]
    times = list(poisson(100, 10.0, seed=4))
    assert times == list(poisson(100, 10.0, seed=4)) == sorted(times)
    assert 800 < len(times) < 1200
