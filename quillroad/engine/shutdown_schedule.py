"""When this process ends, and by when each request has to have its answer. No I/O.

One schedule exists in a process, and every limit that the end sets is read from it: a signal, an
upgrade and the loss of the supervisor only tell it when the process may be killed at the earliest.
"""

from __future__ import annotations

import math

# SIGKILL comes so long after SIGTERM plus the longest deadline at the earliest.
KILL_DELAY_S = 0.7
# Longest deadline that is counted for that.
MAX_COUNTED_DEADLINE_S = 3.0
# Times before the kill at which the process exits, and at which the last final answer is due: an
# event loop that is late by 0.15 s still sends it.
EXIT_MARGIN_S = 0.1
LAST_ANSWER_MARGIN_S = 0.2
# Final answers whose deadline the end sets are spread over this time, so that a slow core sends all
# of them, at most one in `ANSWER_SPACING_S` while few requests are open.
ANSWER_SPREAD_S = 0.3
ANSWER_SPACING_S = 0.001


def earliest_kill(signal_at: float, longest_deadline_s: float) -> float:
    """Return the earliest time of SIGKILL after a SIGTERM at `signal_at` (s, one clock).

    `longest_deadline_s` is the longest deadline of all routes.
    """
    return signal_at + min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S


class ShutdownSchedule:
    """The times of the end of this process, in seconds of the monotonic clock.

    All are infinite until `end_by` is called. `kill_at` is when the process may be killed,
    `exit_at` when it exits, `last_answer_at` when its last final answer is due. Requests that can
    still be served by then are served.
    """

    def __init__(self) -> None:
        self.begun = False
        self.kill_at = math.inf
        self._slots_taken = 0  # of the times over which final answers are spread

    def end_by(self, kill_at: float) -> bool:
        """Note that the process may be killed at `kill_at`; the earliest of several times counts.

        Return whether the end is earlier than before, so that deadlines have to be shortened.
        """
        if kill_at >= self.kill_at:
            return False
        self.begun = True
        self.kill_at = kill_at
        return True

    @property
    def exit_at(self) -> float:
        """When the process exits; whatever is unanswered by then is answered at once."""
        return self.kill_at - EXIT_MARGIN_S

    @property
    def last_answer_at(self) -> float:
        """The latest deadline of any request."""
        return self.kill_at - LAST_ANSWER_MARGIN_S

    def deadline(self, deadline_at: float, now: float) -> float:
        """Return the deadline of a request whose client waits until `deadline_at`.

        It is unchanged unless it lies too close to the end, or beyond.
        """
        last = self.last_answer_at
        first = max(now, last - ANSWER_SPREAD_S)
        if deadline_at <= first or now >= last:
            return min(deadline_at, last)
        slots = max(1, int((last - first) / ANSWER_SPACING_S))
        slot_at = last - self._slots_taken % slots * ANSWER_SPACING_S
        if slot_at >= deadline_at:
            return deadline_at
        self._slots_taken += 1
        return slot_at
