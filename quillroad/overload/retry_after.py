"""Spreads the times at which those who were turned away come back. Free of I/O."""

from __future__ import annotations

GOLDEN = 0.6180339887498949  # steps of this part of a circle fill it evenly, however many there are
NARROWEST = 0.5  # part of the time told that is told at the least


class Spread:
    """Times between half of the one given and the whole, evenly spread over any stretch of calls. Guards
    against all that one overload turned away coming back in the same instant. `seed` (0 to 1) is the place to
    begin, so that gateways differ."""

    def __init__(self, seed: float) -> None:
        self._place = seed % 1.0

    def over(self, most_us: int) -> int:
        """A time in microseconds from half of `most_us` to `most_us`; 0 for 0."""
        self._place = (self._place + GOLDEN) % 1.0
        return int(most_us * (NARROWEST + (1.0 - NARROWEST) * self._place))
