"""How long a suspicion may be refuted until the member is faulty (Lifeguard). Pure.

A single suspector may be the one at fault, so its suspicion lasts long. Each further gateway that
saw the member silent itself shortens it, down to what a refutation needs to get through the cluster
and back.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log, log10

from quillroad.membership.member_table import SUSPECTOR_SLOTS

MIN_MAGNITUDE = 2.0  # small clusters wait like one of a hundred, for datagram losses up to 30%
RESCALE_THRESHOLD = 1.2  # a change of loss below that is within the noise of its estimate


def min_timeout_s(members: int, period_s: float, factor: float) -> float:
    """Return the seconds that a refutation needs: `factor` periods for each tenfold of members."""
    return factor * period_s * max(MIN_MAGNITUDE, log10(max(1, members)))


@dataclass(slots=True)
class Suspicion:
    """One suspected member. Times in seconds; `suspector_slots` as in a status."""

    incarnation: int
    started_at: float
    min_s: float
    max_s: float
    suspector_slots: int
    others_know: bool  # another gateway may have heard of it: from then on its time runs
    scale: float  # the factor for datagram loss that both timeouts contain
    from_faulty_report: bool = False  # it began with another's word that the member is faulty

    def rescale(self, scale: float) -> bool:
        """Lengthen the timeouts if more datagrams get lost than assumed; return whether it did."""
        if scale <= RESCALE_THRESHOLD * self.scale:
            return False
        self.min_s *= scale / self.scale
        self.max_s *= scale / self.scale
        self.scale = scale
        return True

    @property
    def expires_at(self) -> float:
        """When the member counts as faulty."""
        confirmed = log(max(1, self.suspector_slots.bit_count())) / log(SUSPECTOR_SLOTS)
        return self.started_at + self.max_s - (self.max_s - self.min_s) * confirmed
