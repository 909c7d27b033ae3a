"""Freshness of a polled endpoint list: one deadline that all steps of polling share. No I/O.

A change counts as notified 6 s after discovery had it and was reachable, even if the calls of this
gateway failed. Changes may have been missed since one moment: the last sign of life of the watch,
or the start of the last failed call, because discovery was not reachable until then. Detecting
silence, connecting, waiting for this gateway's slot of the round and receiving the answer must fit
into the 6 s after that moment together. With a separate timeout for each they took up to 14 s.

The list itself never expires (static stability): its hosts stay in use while discovery is
unreachable, because a discovery outage says nothing about the hosts.
"""

from __future__ import annotations

# Time after which a change counts as notified, once discovery has it and is reachable. "Notified"
# is the term that operators use.
NOTIFIED_AFTER_S = 6.0
# The same after a switch to another discovery service: the old list may belong to another fleet.
NOTIFIED_AFTER_MOVE_S = 4.0
# Reserved for connecting and the answer. A slow answer may take 0.5 s longer: that is how long
# requests may still be sent to a host that leaves.
ANSWER_S = 0.5
# A watch counts as silent after this time. A sign of life is due every 2 s; event loops and
# networks delay it by up to half a second.
SILENCE_S = 2.5


class EndpointFreshness:
    """Time since which the endpoint list of one gateway may be out of date.

    Times are seconds of a monotonic clock.
    """

    def __init__(self, now: float) -> None:
        self.since = now  # since when a change may have been missed
        self._notified_after_s = NOTIFIED_AFTER_S

    def heard(self, now: float) -> None:
        """Record a sign of life of the watch: all changes sent before it have arrived."""
        self.since = max(self.since, now)
        self._notified_after_s = NOTIFIED_AFTER_S

    def failed(self, began: float) -> None:
        """Record that a call that began at `began` ended without a list."""
        if began > self.since:
            self.since = began
            self._notified_after_s = NOTIFIED_AFTER_S

    def moved(self, now: float) -> None:
        """Record the switch to another discovery service."""
        self.since = now
        self._notified_after_s = NOTIFIED_AFTER_MOVE_S

    def left_s(self, now: float) -> float:
        """Return the seconds until the next call must begin for a timely answer; at least 0."""
        return max(0.0, self.since + self._notified_after_s - ANSWER_S - now)
