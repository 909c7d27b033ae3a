"""When to poll for the endpoint list: at a start, and after a failed call or watch. No I/O.

One discovery service serves all gateways, and what ends one watch ends all of them in the same
moment. If each polls again after a second, every call waits behind so many others that its time
runs out, and none is ever answered (seen with forty gateways: 943 calls turned away in 22 s). So
what the gateways poll together is bounded: a round has one call from each gateway, and each has its
own part of the round by its index.

A round takes 4 s, or what is left until a change counts as notified (`freshness.py`), but no less
than 3 s. Only a call that waited before it failed shows a queue, which calls in vain make longer:
then each next round takes twice as long. `docs/design/discovery-constants.md` has the measurements.

A gateway that had its list, or a part of it, before its watch ended polls again at once: mostly
only this gateway is concerned, and a line that broke off may have told of a drain.
"""

from __future__ import annotations

from collections.abc import Callable

# Few gateways do not crowd the service: their waits double from the first to the longest.
FIRST_WAIT_S = 0.1
LONGEST_WAIT_S = 1.0  # a change counts as notified after 6 s, whether or not it was heard
# To an agent of one's own, which costs nobody anything: what it has at its return counts as
# notified at once.
LONGEST_AGENT_WAIT_S = 0.1
CALLS_PER_S = 4.0  # of few gateways together; where they are more the round takes longer
ROUND_S = 4.0
SHORTEST_ROUND_S = 3.0  # in less, a service that takes a call from each gateway in 3.5 s is overrun
LONGEST_ROUND_S = 10.0  # however long the queue: services take a call from each in 2 to 8 s
QUEUED_S = 1.5  # a call that took so long to fail had waited in a queue
FEW_GATEWAYS = 3  # so many need no rounds
JITTER = 0.1  # part of a round, lest those whose calls collide in one round collide in all
LASTING_WATCH_S = 2.0  # a watch that lasted so long did not break off at once
# After an answer that broke off: it was this gateway's part, and it may have told of a drain, which
# has to be honoured within 500 ms.
BROKEN_OFF_WAIT_S = 0.05
MOST_DOUBLINGS = 8  # of the wait of few gateways; it is bounded by `LONGEST_WAIT_S` long before
MOST_ROUND_DOUBLINGS = 2


class PollSchedule:
    """The waits of one gateway.

    `gateway_count` gateways poll the same service (1 where each has an agent of its own, which
    `has_own_agent` says), and `gateway_index` is which of them this is, from 0. `draw` returns a
    random number from 0 to below 1.
    """

    def __init__(
        self,
        gateway_count: int,
        gateway_index: int,
        draw: Callable[[], float],
        has_own_agent: bool = False,
    ) -> None:
        self._draw = draw
        self._broken_off_wait_s = BROKEN_OFF_WAIT_S
        self._doublings = 0
        self._in_round = False  # the last call was one of a round, and failed
        self._longest_wait_s = LONGEST_AGENT_WAIT_S if has_own_agent else LONGEST_WAIT_S
        self._gateway_index = gateway_index
        self._gateway_count = gateway_count

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """So many gateways poll now, and which of them this is: the next waits follow it."""
        self._gateway_index = gateway_index
        self._gateway_count = gateway_count

    def start_s(self, left_s: float) -> float:
        """Seconds from a start until the first call, which should begin within `left_s`."""
        return self._round_wait_s(left_s, 0.0) if self._gateway_count > FEW_GATEWAYS else 0.0

    def succeeded(self, lasted_s: float) -> None:
        """Note that a list has come, on a watch that lasted so long.

        A watch that ends early each time is no reason to poll again soon.
        """
        self._doublings = 0
        self._in_round = False
        if lasted_s >= LASTING_WATCH_S:
            self._broken_off_wait_s = BROKEN_OFF_WAIT_S

    def wait_s(self, left_s: float, answered: bool = False, took_s: float = 0.0) -> float:
        """Seconds until the next call, which should begin within `left_s`.

        `answered` says that this call had its list or a part of it before it ended, so that it did
        not end for want of time: it is made again soon, for mostly only one gateway lost its watch.
        That is not so where all fell silent: polls of all gateways at once are turned away or
        answered late for many seconds. Else the call failed after `took_s`.
        """
        if answered and self._broken_off_wait_s < LONGEST_WAIT_S:
            wait_s = min(self._broken_off_wait_s, self._longest_wait_s)
            self._broken_off_wait_s *= 2
            return wait_s * self._half_jitter()
        if self._gateway_count <= FEW_GATEWAYS:
            wait_s = min(self._longest_wait_s, FIRST_WAIT_S * 2.0**self._doublings)
            self._doublings = min(self._doublings + 1, MOST_DOUBLINGS)
            return wait_s * self._half_jitter()
        if took_s >= QUEUED_S:
            self._doublings = min(self._doublings + 1, MOST_ROUND_DOUBLINGS)
        return self._round_wait_s(left_s, took_s)

    def _half_jitter(self) -> float:
        return 0.5 + self._draw() / 2

    def _round_wait_s(self, left_s: float, took_s: float) -> float:
        """Seconds until this gateway's own part of a round.

        The round begins now. Where the last call was in such a part and took `took_s` to fail, it
        is the next one, a round later: otherwise those whose part comes early would poll again and
        again.
        """
        round_s = self._round_s(left_s)
        if self._in_round:
            return max(0.0, round_s * (1.0 - JITTER * self._draw()) - took_s)
        self._in_round = True
        return round_s * (self._gateway_index + self._draw()) / self._gateway_count

    def _round_s(self, left_s: float) -> float:
        round_s = min(ROUND_S, max(SHORTEST_ROUND_S, left_s))
        if self._doublings:
            round_s = min(LONGEST_ROUND_S, ROUND_S * 2.0**self._doublings)
        return min(
            round_s, self._gateway_count / CALLS_PER_S
        )  # fewer calls than that make no queue
