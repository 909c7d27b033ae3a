"""How long to leave the listening socket alone after an accept that failed. Free of I/O."""

from __future__ import annotations

# A descriptor is free again within some turns of the event loop: the first retry comes soon.
FIRST_DELAY_S = 0.005
# Longest time for which a gateway that has descriptors again still takes no connections.
MAX_DELAY_S = 1.0


class AcceptBackoff:
    """Delays in seconds that double while accepts fail, and start anew once one works.

    Without them the event loop spins when a process has no descriptors left (EMFILE): the listening
    socket stays readable, each accept fails at once, and a core is spent on nothing.
    """

    def __init__(self) -> None:
        self._next_s = FIRST_DELAY_S

    def next_delay_s(self) -> float:
        """An accept has failed; returns the seconds to wait before the next one."""
        delay_s = self._next_s
        self._next_s = min(MAX_DELAY_S, 2 * self._next_s)
        return delay_s

    def reset(self) -> None:
        """An accept has worked: the next failure waits for the first delay again."""
        self._next_s = FIRST_DELAY_S
