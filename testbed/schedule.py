"""Arrival times of requests as plain numbers: seconds from the start. Free of I/O."""

from __future__ import annotations

import random
from collections.abc import Iterator


def steady(rate: float, seconds: float, began: float = 0.0) -> Iterator[float]:
    """Evenly spaced arrivals: `rate` a second (above 0) for `seconds`."""
    count = int(rate * seconds)
    return (began + i / rate for i in range(count))


def poisson(rate: float, seconds: float, seed: int) -> Iterator[float]:
    """Independent arrivals: the gaps are exponential with mean 1/`rate`.

    The same seed gives the same times.
    """
    generator = random.Random(seed)
    at = 0.0
    while (at := at + generator.expovariate(rate)) < seconds:
        yield at


def steps(*parts: tuple[float, float]) -> Iterator[float]:
    """One rate after another: parts of (rate a second, seconds); a rate of 0 is a rest.

    A step, a square wave and a ramp are all made of these.
    """
    began = 0.0
    for rate, seconds in parts:
        if rate > 0:
            yield from steady(rate, seconds, began)
        began += seconds


def storm(count: int, at: float = 0.0) -> Iterator[float]:
    """`count` arrivals at one instant: clients that all reconnect when a gateway restarts."""
    return (at for _ in range(count))


def synchronised(count: int, waves: int, every: float) -> Iterator[float]:
    """The same storm every `every` seconds: rejected clients that come back in step."""
    return (wave * every for wave in range(waves) for _ in range(count))
