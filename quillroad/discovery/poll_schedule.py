"""When to ask for the list of hosts: at a start, and again after a call or a watch has failed. No I/O.

One list serves all gateways, and what ends one watch ends all of them in the same moment. Asked again by each
after a second, forty were turned away 943 times in 22 s and none was ever answered: every call waited behind
so many others that its time ran out. So what the gateways ask together is bounded: a round of calls, one from
each, and each has its own part of the round.

A round takes 4 s, or what is left of the time after which a change counts as told (`currency.py`), but no
less than 3 s. Rounds of up to 10 s left half of 200 gateways without their list when that was over, at
services that could have answered all in 2 s as at those that took 8; with these all have it in time at
services that take 3.5 s, and two in three at those that take 8 (bench/discovery_calls.py). Only where a call
waited before it failed is there a queue that calls in vain make longer: there each next round takes twice as
long.

One that had its list, or a part of it, before its watch ended asks again at once: most often only it is
concerned, and a line that broke off may have told of a drain.
"""

from __future__ import annotations

from collections.abc import Callable

FIRST_S, MOST_S = 0.1, 1.0  # waits where few ask: what is not heard counts as told after 6 s
# Of an agent of one's own, which costs nobody anything: what it has when it is back counts as told at once
AGENT_MOST_S = 0.1
RATE = 4.0  # calls a second of few gateways together; where they are more the round is
ROUND_S, LEAST_ROUND_S = 4.0, 3.0
MOST_ROUND_S = (
    10.0  # however long the queue: discovery is told to take one call from each in 2 to 8 s
)
QUEUED_S = 1.5  # a call that took so long to fail had waited in a queue
FEW = 3  # so many gateways need no rounds: they have no part in a crowd
JITTER = 0.1  # part of a round, lest those who met in one meet in all
LASTED_S = 2.0  # of a watch that counts as one
# After an answer that broke off: it was our turn, and it may have told of a drain, to be kept within 500 ms
BROKEN_S = 0.05


class Pacing:
    """The waits of one gateway. `balancers` ask the same service (1 where each has an agent of its own, which
    `own` says), and `number` is which of them this is, from 0; `draw` gives a random number from 0 to below
    1.
    """

    def __init__(
        self, balancers: int, number: int, draw: Callable[[], float], own: bool = False
    ) -> None:
        self._draw, self._broken_s, self._grown = draw, BROKEN_S, 0
        self._in_round = False  # the last call was one of a round, and failed
        self._most_s = AGENT_MOST_S if own else MOST_S
        self.divide(number, balancers)

    def divide(self, number: int, balancers: int) -> None:
        """So many ask now, and which of them this is, from 0: the next waits follow it."""
        self._number, self._balancers = number, balancers

    def start_s(self, left_s: float) -> float:
        """Seconds from a start until the first call, which should begin within `left_s`."""
        return self._turn_s(left_s, 0.0) if self._balancers > FEW else 0.0

    def succeeded(self, lived_s: float) -> None:
        """A list has come, on a watch that lasted so long: one that ends early each time is no reason to ask
        soon."""
        self._grown, self._in_round = 0, False
        if lived_s >= LASTED_S:
            self._broken_s = BROKEN_S

    def wait_s(self, left_s: float, answered: bool = False, took_s: float = 0.0) -> float:
        """Seconds until the next call, which should begin within `left_s`. `answered` says that this one had
        its list or a part of it before it ended, so that it was not for want of time: then it is asked again
        soon, for most often only one gateway lost its watch. Not so where all fell silent: forty that then
        asked at once were turned away or served late for 20 s. Else it failed after `took_s`."""
        if answered and self._broken_s < MOST_S:
            wait_s, self._broken_s = self._broken_s, self._broken_s * 2
            return min(wait_s, self._most_s) * (0.5 + self._draw() / 2)
        if self._balancers <= FEW:
            wait_s = min(self._most_s, FIRST_S * 2.0**self._grown)
            self._grown = min(self._grown + 1, 8)
            return wait_s * (0.5 + self._draw() / 2)
        if took_s >= QUEUED_S:
            self._grown = min(self._grown + 1, 2)
        return self._turn_s(left_s, took_s)

    def _turn_s(self, left_s: float, took_s: float) -> float:
        """Seconds until this gateway's own part of a round that begins now, or, where the last call was in
        such a part and took so long to fail, of the next one: a round later, lest those whose part comes
        early ask again and again."""
        round_s = min(ROUND_S, max(LEAST_ROUND_S, left_s))
        if self._grown:
            round_s = min(MOST_ROUND_S, ROUND_S * 2.0**self._grown)
        round_s = min(round_s, self._balancers / RATE)  # no queue comes about from fewer calls
        if self._in_round:
            return max(0.0, round_s * (1.0 - JITTER * self._draw()) - took_s)
        self._in_round = True
        return round_s * (self._number + self._draw()) / self._balancers
