"""Jitter on the Retry-After that rejected clients are told. Free of I/O."""

from __future__ import annotations

# Steps by this fraction of a circle (the golden ratio's) fill it evenly, however many there are.
GOLDEN_RATIO_FRACTION = 0.6180339887498949
# Fraction of the longest time that is told at the least: enough to divide a crowd of clients over
# half of it, and none of them returns much sooner than the overload allows.
MIN_FRACTION = 0.5


class RetryAfterJitter:
    """Retry-After times that are evenly spread, over any number of calls in a row.

    Without the spread all clients that one overload rejected come back in the same instant, and are
    the next overload. `seed` (0 to 1) is where to begin, so that gateways differ.
    """

    def __init__(self, seed: float) -> None:
        self._position = seed % 1.0

    def jittered_us(self, most_us: int) -> int:
        """A time in microseconds from half of `most_us` to `most_us`; 0 for 0."""
        self._position = (self._position + GOLDEN_RATIO_FRACTION) % 1.0
        return int(most_us * (MIN_FRACTION + (1.0 - MIN_FRACTION) * self._position))
