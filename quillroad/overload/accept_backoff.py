"""How long to leave the listening socket alone after an accept that failed. Free of I/O."""

from __future__ import annotations

FIRST_S, MOST_S = 0.005, 1.0


class AcceptBackoff:
    """Waits that double from 5 ms to 1 s while accepts fail, and begin anew once one works. Guards against a
    loop that spins on a listener that is always readable and never acceptable, as with EMFILE."""

    def __init__(self) -> None:
        self._next_s = FIRST_S

    def failed(self) -> float:
        """Seconds to wait before the next accept."""
        wait_s, self._next_s = self._next_s, min(MOST_S, 2 * self._next_s)
        return wait_s

    def worked(self) -> None:
        self._next_s = FIRST_S
