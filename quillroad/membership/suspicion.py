"""The timeout of a suspicion, after which the member counts as faulty (Lifeguard). Does no I/O.

A single suspector may itself be at fault, so its suspicion has a long timeout. Each further gateway
whose own probe of the member failed shortens it, down to the time that a refutation needs to spread
through the cluster.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log, log10

from quillroad.membership.member_table import SUSPECTOR_SLOTS

# Smaller clusters use the timeout of 100 members, so that it suffices at 30% datagram loss.
MIN_MAGNITUDE = 2.0
RESCALE_THRESHOLD = 1.2  # smaller changes of the loss factor are within the noise of the estimate


def min_timeout_s(members: int, period_s: float, factor: float) -> float:
    """Return the time for a refutation: `factor` periods times log10 of the number of members."""
    return factor * period_s * max(MIN_MAGNITUDE, log10(max(1, members)))


@dataclass(slots=True)
class Suspicion:
    """A suspected member and its timeouts in seconds.

    `suspector_slots` has the meaning that it has in `MemberStatus`.
    """

    incarnation: int
    started_at: float
    min_s: float
    max_s: float
    suspector_slots: int
    known_to_others: bool  # another gateway may have received it, which starts the timeout
    scale: float  # datagram loss factor already included in both timeouts
    from_faulty_report: bool = False  # it began with a report that the member is faulty

    def rescale(self, scale: float) -> bool:
        """Lengthen the timeouts if datagram loss has risen; return whether they changed."""
        if scale <= RESCALE_THRESHOLD * self.scale:
            return False
        self.min_s *= scale / self.scale
        self.max_s *= scale / self.scale
        self.scale = scale
        return True

    @property
    def expires_at(self) -> float:
        """The time at which the member counts as faulty."""
        confirmed = log(max(1, self.suspector_slots.bit_count())) / log(SUSPECTOR_SLOTS)
        return self.started_at + self.max_s - (self.max_s - self.min_s) * confirmed
