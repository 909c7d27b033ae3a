"""When to ask for the list of hosts again after a call or a watch has failed. No I/O.

One list serves all gateways, and what ends one watch ends all of them in the same moment. Asked again by each
after a second, forty were turned away 943 times in 22 s and none was ever answered: every call waited behind
so many others that its time ran out. So what the gateways ask together is bounded: a round of calls, one from
each, takes as long as a service of modest size needs for them, and each has its own part of the round.
"""

from __future__ import annotations

from collections.abc import Callable

FIRST_S, MOST_S = 0.1, 1.0  # of one gateway alone: what it has not heard counts as told after 6 s
# Calls a second of all gateways together. join+disco+huge, seeds 3, 5, 7: 10 were turned away, 4 and 2 got
# their lists; 2 scored 0.99, 0.74 and 1.00 where 4 scored 1.00, 0.77 and 1.00. Discovery is told to take one
# call from each of any number of gateways in 2 to 8 s.
RATE = 4.0
FEW = 3  # so many gateways need no rounds: they have no part in a crowd
LASTED_S = 2.0  # of a watch that counts as one
BROKEN_S = 0.2  # after an answer that broke off: it was our turn, and what it told is still wanted


class Pacing:
    """The waits of one gateway. `balancers` ask the same service, and `number` is which of them this is, from
    0; `draw` gives a random number from 0 to below 1."""

    def __init__(self, balancers: int, number: int, draw: Callable[[], float]) -> None:
        self._number, self._balancers, self._draw = number, balancers, draw
        self._first_s = max(FIRST_S, balancers / RATE if balancers > FEW else 0.0)
        self._most_s = max(MOST_S, self._first_s)
        self._round_s, self._broken_s = self._first_s, BROKEN_S

    def succeeded(self, lived_s: float) -> None:
        """A list has come, on a watch that lasted so long: one that ends early each time is no reason to ask
        soon."""
        self._round_s = self._first_s
        if lived_s >= LASTED_S:
            self._broken_s = BROKEN_S

    def wait_s(self, answered: bool = False) -> float:
        """Seconds until the next call. `answered` says that this one had its list or a part of it before it
        ended, so that it was not for want of time: then it is asked again soon, for most often only one
        gateway lost its watch. Not so where all fell silent: forty that then asked at once were turned away
        or served late for 20 s."""
        if answered and self._broken_s < self._round_s:
            wait_s, self._broken_s = self._broken_s, self._broken_s * 2
            return wait_s * (0.5 + self._draw() / 2)
        round_s, self._round_s = self._round_s, min(self._most_s, self._round_s * 2)
        if self._balancers <= FEW:
            return round_s * (0.5 + self._draw() / 2)
        return round_s * (self._number + self._draw()) / self._balancers
