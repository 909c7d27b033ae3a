"""Jitter for the Retry-After header of rejected requests. No I/O."""

from __future__ import annotations

# Multiples of the golden ratio's fractional part, modulo 1, are evenly spread between 0 and 1 for
# any number of steps (low-discrepancy sequence).
GOLDEN_RATIO_FRACTION = 0.6180339887498949
# Lower bound of a Retry-After time as a fraction of the maximum. One half spreads the retries over
# half of the maximum, while no client retries much sooner than the overload allows.
MIN_FRACTION = 0.5


class RetryAfterJitter:
    """Generates Retry-After times that are evenly spread over any number of consecutive calls.

    Without jitter, all clients rejected in one overload would retry at the same instant and cause
    the next overload. `seed` (0 to 1) is the start of the sequence, so that gateways differ.
    """

    def __init__(self, seed: float) -> None:
        self._position = seed % 1.0

    def jittered_us(self, max_us: int) -> int:
        """Return a time in microseconds between half of `max_us` and `max_us`; 0 for 0."""
        self._position = (self._position + GOLDEN_RATIO_FRACTION) % 1.0
        return int(max_us * (MIN_FRACTION + (1.0 - MIN_FRACTION) * self._position))
