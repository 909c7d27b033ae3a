"""How long a suspicion may be refuted before it counts as certain (Lifeguard, Dadgar 2018). No I/O.

One suspecter alone may be the one at fault: it waits long. Each further gateway that suspects on its own
account shortens the wait, down to what a refutation needs to get through the fleet and back.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log, log10

from quillroad.membership.claims import SLOTS


def shortest_s(members: int, period_s: float, rounds: float) -> float:
    """Seconds that a refutation needs to reach so many members: `rounds` periods for each tenfold, and no
    less than a hundred would need, for a loss of 30%."""
    return rounds * period_s * max(2.0, log10(max(1, members)))


@dataclass(slots=True)
class Suspicion:
    """One member's, as one gateway holds it. Times in seconds; `slots` as in a claim."""

    incarnation: int
    began: float
    shortest_s: float
    longest_s: float
    slots: int
    told: bool  # somebody else may have heard of it: from then on its time runs
    scale: float  # that both waits were made longer by, for loss
    hearsay: bool = False  # it began with another's word that the member is gone

    def scaled(self, scale: float) -> bool:
        """Datagrams get lost more often than was thought: wait as much longer. Returns whether that is so."""
        if scale <= 1.2 * self.scale:
            return False
        self.shortest_s *= scale / self.scale
        self.longest_s *= scale / self.scale
        self.scale = scale
        return True

    @property
    def ends(self) -> float:
        """When it counts as certain."""
        part = log(max(1, self.slots.bit_count())) / log(SLOTS)
        return self.began + self.longest_s - (self.longest_s - self.shortest_s) * part
