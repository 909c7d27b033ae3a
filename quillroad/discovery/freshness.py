"""How current the list of hosts is, as one clock that all steps of asking for it anew share. No I/O.

A change counts as told 6 s after discovery had it and could be reached, whatever became of a call. So there
is one moment from which on a change may have been missed: the last sign of life of the watch, or the begin
of the last call that failed, for until then discovery could not be reached. Noticing silence, connecting,
the wait for the own turn and the answer have to fit into the 6 s behind it together; with a time-out for
each they took 3 s of silence, 1 s for the connect and a wait of up to 10 s.

The list itself never ends (static stability): what it holds is served by for as long as discovery says
nothing, since a fleet that runs is not given up because nobody tells of it.
"""

from __future__ import annotations

TOLD_S = 6.0  # so long after discovery had a change and could be reached it counts as told
MOVED_S = 4.0  # after discovery has moved
# For connect and answer. Hosts that leave may be sent to for 0.5 s more, which a slow answer may use up.
ANSWER_S = 0.5
# Without a sign of life: one is due every 2 s, and loops and networks take up to half a second. With 3 s,
# and a round of those 3 s that are left, 200 gateways at a service of 40 calls a second had their lists
# after 7 s.
SILENCE_S = 2.5
# Of a new call to an agent of one's own, which answers at once: one that has fallen silent swallows calls,
# and when it is back it counts as heard, so it is asked often.
AGENT_S = 0.4
AGENT_CALLS = (
    20  # so many in vain, and each waits twice as long: an agent that has got slow is heard, too
)


class Currency:
    """The clock of one gateway's list. Times are seconds of one clock that never goes back. `own` says that
    the list comes from an agent on this machine that answers at once."""

    def __init__(self, now: float, own: bool) -> None:
        self._own, self._in_vain = own, 0
        self.since, self._told_s = now, TOLD_S  # from when on a change may have been missed

    def heard(self, now: float) -> None:
        """A sign of life of a watch: all that was told before has come."""
        self.since, self._told_s, self._in_vain = max(self.since, now), TOLD_S, 0

    def failed(self, began: float) -> None:
        """A call that began then has brought no list."""
        if began > self.since:
            self.since, self._told_s = began, TOLD_S
        self._in_vain += 1

    def moved(self, now: float) -> None:
        """Another discovery is to be asked from now on."""
        self.since, self._told_s, self._in_vain = now, MOVED_S, 0

    def first_byte_s(self) -> float:
        """Seconds that a new call may take until its first list begins to come."""
        if not self._own:
            return SILENCE_S
        return min(SILENCE_S, AGENT_S * 2.0 ** (self._in_vain // AGENT_CALLS))

    def left_s(self, now: float) -> float:
        """Seconds until the next call has to begin, for its answer to come in time; 0 at the least."""
        return max(0.0, self.since + self._told_s - ANSWER_S - now)
