"""Exponential backoff after a failed accept. No I/O."""

from __future__ import annotations

# Short, because a descriptor is usually freed within a few iterations of the event loop.
FIRST_DELAY_S = 0.005
# Upper bound of the time in which a gateway accepts no connections although descriptors are
# available again.
MAX_DELAY_S = 1.0


class AcceptBackoff:
    """Delays that double with each failed accept and are reset by a successful one.

    Without a delay the event loop would spin when the process has no descriptors left (EMFILE): the
    listening socket stays readable, each accept fails immediately, and a full core is wasted.
    """

    def __init__(self) -> None:
        self._next_s = FIRST_DELAY_S

    def next_delay_s(self) -> float:
        """Return the seconds to wait after a failed accept, and double the next delay."""
        delay_s = self._next_s
        self._next_s = min(MAX_DELAY_S, 2 * self._next_s)
        return delay_s

    def reset(self) -> None:
        """Start again from the first delay, after a successful accept."""
        self._next_s = FIRST_DELAY_S
