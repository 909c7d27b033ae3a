"""Schedule of polls for the endpoint list: at start, and after a failed call or watch. No I/O.

One discovery service serves all gateways, and a fault that ends one watch usually ends all of them
at the same moment. If each gateway polled again after a second, each call would queue behind so
many others that it times out, and none would be answered (seen with forty gateways: 943 calls
rejected in 22 s). So the total rate of polls is bounded: a round has one call from each gateway,
and each gateway has a slot in the round by its index.

A round takes 4 s, or the time left until a change counts as notified (`freshness.py`), but at least
3 s. Only a call that waited before it failed indicates a queue, which failing calls make longer:
then each further round takes twice as long. `docs/design/discovery-constants.md` has the
measurements.

A service with a queue rejects a call that waited too long. A call that gets no byte at all
indicates a service that hangs and is not relieved by longer rounds, which would hide its return for
longer than a change may. While a service is silent a call begins every 5.5 s. Each waits until the
second call after it is due: a service that answers late after all is then not asked again and again
by callers that give up just before its answer, and two calls are open at the most.

A gateway that received its list, or a part of it, before its watch ended polls again at once:
usually only this gateway is affected, and an incomplete line may have reported a drain.
"""

from __future__ import annotations

from collections.abc import Callable

from quillroad.discovery.freshness import ANSWER_S, NOTIFIED_AFTER_S, SILENCE_S

# Few gateways do not overload the service: their waits double from the initial to the maximum.
INITIAL_WAIT_S = 0.1
MAX_WAIT_S = 1.0  # a change counts as notified after 6 s, even if it was not received
# For the gateway's own agent, which no other gateway polls: its list counts as notified as soon as
# it responds again.
MAX_AGENT_WAIT_S = 0.1
CALLS_PER_S = 4.0  # of all gateways while they are few; with more, the round takes longer
ROUND_S = 4.0
MIN_ROUND_S = 3.0  # a shorter one overloads a service that needs 3.5 s for a call from each gateway
MAX_ROUND_S = 10.0  # even with a long queue: services need 2 to 8 s for a call from each
MAX_SILENT_ROUND_S = NOTIFIED_AFTER_S - ANSWER_S  # while the service is silent
QUEUED_S = 1.5  # a call that failed after at least this time had waited in a queue
FEW_GATEWAYS = 3  # up to this number poll without rounds
JITTER = 0.1  # fraction of a round; keeps calls that collide in one round from colliding in all
PATIENCE_MARGIN_S = 0.1  # by which a call ends before the call after the next one begins
LASTING_WATCH_S = 2.0  # a watch that lasted this long did not break off early
# After an incomplete answer: the gateway had its slot, and the answer may have reported a drain,
# which must take effect within 500 ms.
BROKEN_OFF_WAIT_S = 0.05
MAX_DOUBLINGS = 8  # of the wait of few gateways; `MAX_WAIT_S` is reached long before
MAX_ROUND_DOUBLINGS = 2


class PollSchedule:
    """Schedule of one gateway's polls.

    `gateway_count` gateways poll the same service (1 if each has its own agent;
    `has_own_agent` is true then), and `gateway_index` is this one's index, from 0. `draw` returns a
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
        self._in_round = False  # the last call was made in a round and failed
        self._is_silent = False  # the last call got no byte
        self._max_wait_s = MAX_AGENT_WAIT_S if has_own_agent else MAX_WAIT_S
        self._gateway_index = gateway_index
        self._gateway_count = gateway_count

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """Set the number of gateways that poll, and this one's index, for the next waits."""
        self._gateway_index = gateway_index
        self._gateway_count = gateway_count

    def start_s(self, left_s: float) -> float:
        """Return the seconds from start to the first call, which should begin within `left_s`."""
        return self._round_wait_s(left_s, 0.0) if self._gateway_count > FEW_GATEWAYS else 0.0

    def succeeded(self, lasted_s: float) -> None:
        """Record that a list arrived, on a watch that lasted `lasted_s` seconds.

        Only a watch of at least `LASTING_WATCH_S` resets the wait after incomplete answers, because
        a watch that ends early each time must not be polled again soon each time.
        """
        self._doublings = 0
        self._in_round = self._is_silent = False
        if lasted_s >= LASTING_WATCH_S:
            self._broken_off_wait_s = BROKEN_OFF_WAIT_S

    @property
    def is_silent(self) -> bool:
        """Whether calls overlap, because the last one that ended got no byte."""
        return self._is_silent and self._gateway_count > FEW_GATEWAYS

    def silent_round_s(self) -> float:
        """Return the seconds from a call to a silent service to the next one."""
        return self._silent_limit_s() * (1.0 - JITTER * self._draw())

    def patience_s(self) -> float:
        """Return how many seconds the next call waits for its first byte."""
        if not self.is_silent:
            return SILENCE_S
        return 2.0 * (1.0 - JITTER) * self._silent_limit_s() - PATIENCE_MARGIN_S

    def _silent_limit_s(self) -> float:
        shortest_s = (SILENCE_S + PATIENCE_MARGIN_S) / (1.0 - JITTER)
        return min(MAX_SILENT_ROUND_S, max(shortest_s, self._gateway_count / CALLS_PER_S))

    def wait_s(
        self,
        left_s: float,
        answered: bool = False,
        took_s: float = 0.0,
        is_silent: bool = False,
    ) -> float:
        """Return the seconds until the next call, which should begin within `left_s`.

        `answered` means that the call received its list or a part of it before it ended, so it did
        not time out. It is repeated soon, because usually only this gateway lost its watch. The
        caller does not set it if the watch fell silent, because then all gateways usually poll at
        once, and their calls are rejected or answered late for many seconds. Otherwise the call
        failed after `took_s`; `is_silent` means that it got no byte in this time.
        """
        self._is_silent = is_silent
        if answered and self._broken_off_wait_s < MAX_WAIT_S:
            wait_s = min(self._broken_off_wait_s, self._max_wait_s)
            self._broken_off_wait_s *= 2
            return wait_s * self._jitter_factor()
        if self._gateway_count <= FEW_GATEWAYS:
            wait_s = min(self._max_wait_s, INITIAL_WAIT_S * 2.0**self._doublings)
            self._doublings = min(self._doublings + 1, MAX_DOUBLINGS)
            return wait_s * self._jitter_factor()
        if took_s >= QUEUED_S and not is_silent:
            self._doublings = min(self._doublings + 1, MAX_ROUND_DOUBLINGS)
        return self._round_wait_s(left_s, took_s)

    def _jitter_factor(self) -> float:
        return 0.5 + self._draw() / 2

    def _round_wait_s(self, left_s: float, took_s: float) -> float:
        """Return the seconds until this gateway's slot in a round that begins now.

        If the last call was made in a slot and failed after `took_s`, the slot is one round after
        that call: otherwise gateways with an early slot would poll again and again.
        """
        round_s = self._round_s(left_s)
        if self._in_round:
            return max(0.0, round_s * (1.0 - JITTER * self._draw()) - took_s)
        self._in_round = True
        return round_s * (self._gateway_index + self._draw()) / self._gateway_count

    def _round_s(self, left_s: float) -> float:
        round_s = min(ROUND_S, max(MIN_ROUND_S, left_s))
        if self._is_silent:
            # Within a round the time counts from the start of the silent call, else from its end.
            return self._silent_limit_s() if self._in_round else round_s
        if self._doublings:
            round_s = min(MAX_ROUND_S, ROUND_S * 2.0**self._doublings)
        return min(round_s, self._gateway_count / CALLS_PER_S)  # fewer calls a second do not queue
