"""When requests come: arrival times as plain numbers, free of I/O. All times are seconds from the start."""

from __future__ import annotations

import random
from collections.abc import Iterator


def steady(rate: float, seconds: float, began: float = 0.0) -> Iterator[float]:
    """Evenly spaced arrivals: `rate` a second (above 0) for `seconds`."""
    count = int(rate * seconds)
    return (began + i / rate for i in range(count))


def poisson(rate: float, seconds: float, seed: int) -> Iterator[float]:
    """Independent arrivals: the gaps are exponential with mean 1/`rate`; the same for the same seed."""
    chance, at = random.Random(seed), 0.0
    while (at := at + chance.expovariate(rate)) < seconds:
        yield at


def steps(*parts: tuple[float, float]) -> Iterator[float]:
    """One rate after another: parts of (rate a second, seconds); a rate of 0 is a rest. A step, a square wave
    and a ramp are all made of these."""
    began = 0.0
    for rate, seconds in parts:
        if rate > 0:
            yield from steady(rate, seconds, began)
        began += seconds


def storm(count: int, at: float = 0.0) -> Iterator[float]:
    """`count` arrivals in one instant: a floor that reconnects when a gateway restarts."""
    return (at for _ in range(count))


def synchronised(count: int, waves: int, every: float) -> Iterator[float]:
    """The same storm again and again: clients that were turned away and come back in step."""
    return (wave * every for wave in range(waves) for _ in range(count))
