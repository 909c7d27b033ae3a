"""How current the endpoint list is: one clock that all steps of polling for it share. No I/O.

A change counts as notified 6 s after discovery had it and could be reached, whatever became of a
call. So there is one moment from which on a change may have been missed: the last sign of life of
the watch, or the begin of the last call that failed, for until then discovery could not be reached.
Noticing silence, connecting, waiting for this gateway's part of the round and the answer have to
fit into the 6 s after that moment together. With a timeout for each of them they took up to 14 s.

The list itself never expires (static stability): what it holds is served by for as long as
discovery says nothing, since a fleet that runs is not given up because nobody tells of it.
"""

from __future__ import annotations

# A change counts as notified so long after discovery had it and could be reached: the operators'
# own term.
NOTIFIED_AFTER_S = 6.0
# The same after the configuration named another discovery service: the old list may be that of
# another fleet.
NOTIFIED_AFTER_MOVE_S = 4.0
# For connecting and the answer. Hosts that leave may be sent to for 0.5 s more, which a slow answer
# may use up.
ANSWER_S = 0.5
# Without a sign of life: one is due every 2 s, and loops and networks take up to half a second of
# that.
SILENCE_S = 2.5
# The first timeout of a call to an agent of one's own, which answers at once. An agent that fell
# silent swallows calls, and when it is back its list counts as notified, so it is polled often.
AGENT_TIMEOUT_S = 0.4
# After so many failed calls the timeout doubles: an agent that has become slow is heard, too.
AGENT_CALLS_PER_DOUBLING = 20


class EndpointFreshness:
    """The clock of one gateway's endpoint list.

    Times are seconds of one clock that never goes back. `has_own_agent` says that the list comes
    from an agent on this machine that answers at once.
    """

    def __init__(self, now: float, has_own_agent: bool) -> None:
        self._has_own_agent = has_own_agent
        self._failed_calls = 0  # since the last sign of life
        self.since = now  # from when on a change may have been missed
        self._notified_after_s = NOTIFIED_AFTER_S

    def heard(self, now: float) -> None:
        """Note a sign of life of a watch: all that was told before it has come."""
        self.since = max(self.since, now)
        self._notified_after_s = NOTIFIED_AFTER_S
        self._failed_calls = 0

    def failed(self, began: float) -> None:
        """Note that a call that began then has brought no list."""
        if began > self.since:
            self.since = began
            self._notified_after_s = NOTIFIED_AFTER_S
        self._failed_calls += 1

    def moved(self, now: float) -> None:
        """Note that another discovery service is to be polled from now on."""
        self.since = now
        self._notified_after_s = NOTIFIED_AFTER_MOVE_S
        self._failed_calls = 0

    def first_byte_s(self) -> float:
        """Seconds that a new call may take until its first list begins to come."""
        if not self._has_own_agent:
            return SILENCE_S
        doublings = self._failed_calls // AGENT_CALLS_PER_DOUBLING
        return min(SILENCE_S, AGENT_TIMEOUT_S * 2.0**doublings)

    def left_s(self, now: float) -> float:
        """Seconds until the next call has to begin for its answer to come in time; not below 0."""
        return max(0.0, self.since + self._notified_after_s - ANSWER_S - now)
