"""When to ask for the list of hosts: at a start, and again after a call or a watch has failed. No I/O.

One list serves all gateways, and what ends one watch ends all of them in the same moment. Asked again by each
after a second, forty were turned away 943 times in 22 s and none was ever answered: every call waited behind
so many others that its time ran out. So what the gateways ask together is bounded: a round of calls, one from
each, takes as long as a service of modest size needs for them, and each has its own part of the round.

Rounds differ by what is at stake. A gateway that had its list and lost the watch keeps to the long ones. One
that does not know what it was told (a line broke off; a change counts from when it was written) asks at once,
and where that is turned away, in a short round. One that starts has an old list and company: a start keeps
to the short round with its first call, too. Sixteen that started in one moment made a queue of 2 s at a
service that took 7 to 8 calls a second, and whoever asked for a broken line's sake in these 2 s was turned
away: a drain unheard for 2.4 s and more.
"""

from __future__ import annotations

from collections.abc import Callable

FIRST_S, MOST_S = 0.1, 1.0  # of one gateway alone: what it has not heard counts as told after 6 s
# Calls a second of all gateways together. join+disco+huge, seeds 3, 5, 7: 10 were turned away, 4 and 2 got
# their lists; 2 scored 0.99, 0.74 and 1.00 where 4 scored 1.00, 0.77 and 1.00.
RATE = 4.0
# However many gateways: discovery is told to take one call from each in 2 to 8 s, and who has not asked for
# `ask_within`, 10 s, counts as told.
ROUND_S = 10.0
UNSURE_S = 4.0  # the short round, within the 2 to 8 s: a change counts as told after 6 s
UNSURE_ROUNDS = 2  # short rounds in a row: a service that is down must not meet them for ever
FEW = 3  # so many gateways need no rounds: they have no part in a crowd
LASTED_S = 2.0  # of a watch that counts as one
# After an answer that broke off: it was our turn, and it may have told of a drain, to be kept within 500 ms
BROKEN_S = 0.05


class Pacing:
    """The waits of one gateway. `balancers` ask the same service (1 where each has an agent of its own), and
    `number` is which of them this is, from 0; `draw` gives a random number from 0 to below 1."""

    def __init__(self, balancers: int, number: int, draw: Callable[[], float]) -> None:
        self._draw, self._broken_s = draw, BROKEN_S
        self._unsure = 0  # short rounds left
        self._first_s = self._round_s = FIRST_S
        self.divide(number, balancers)

    def divide(self, number: int, balancers: int) -> None:
        """So many ask now, and which of them this is, from 0: the next waits follow it."""
        self._number, self._balancers = number, balancers
        grown = self._round_s / self._first_s
        crowd_s = min(ROUND_S, balancers / RATE) if balancers > FEW else 0.0
        self._first_s = max(FIRST_S, crowd_s)
        self._most_s = max(MOST_S, self._first_s)
        self._unsure_s = min(UNSURE_S, crowd_s)
        self._round_s = min(self._most_s, self._first_s * grown)  # no reason to ask a silent service sooner

    def start_s(self) -> float:
        """Seconds from the start until the first call: this gateway's part of a short round."""
        self._unsure = UNSURE_ROUNDS
        return self._part_of(self._unsure_s) if self._unsure_s else 0.0

    def succeeded(self, lived_s: float) -> None:
        """A list has come, on a watch that lasted so long: one that ends early each time is no reason to ask
        soon."""
        self._round_s, self._unsure = self._first_s, 0
        if lived_s >= LASTED_S:
            self._broken_s = BROKEN_S

    def wait_s(self, answered: bool = False) -> float:
        """Seconds until the next call. `answered` says that this one had its list or a part of it before it
        ended, so that it was not for want of time: then it is asked again soon, for most often only one
        gateway lost its watch. Not so where all fell silent: forty that then asked at once were turned away
        or served late for 20 s."""
        if answered and self._broken_s < self._round_s:
            self._unsure = UNSURE_ROUNDS
            wait_s, self._broken_s = self._broken_s, self._broken_s * 2
            return wait_s * (0.5 + self._draw() / 2)
        if self._unsure and self._unsure_s:
            self._unsure -= 1
            return self._part_of(self._unsure_s)
        round_s, self._round_s = self._round_s, min(self._most_s, self._round_s * 2)
        if self._balancers <= FEW:
            return round_s * (0.5 + self._draw() / 2)
        return self._part_of(round_s)

    def _part_of(self, round_s: float) -> float:
        """Seconds until this gateway's own part of a round that begins now."""
        return round_s * (self._number + self._draw()) / self._balancers
