"""How much traffic may leave its zone, and who may go past that. No I/O.

Times are whole microseconds of the balancer's clock. One `Crossing` belongs to one balancer, which asks
`allows` before each send to a server of another zone and tells `spend` of each that it makes. What is allowed
follows from counts that fade over the window: crossings within the budget never pass the share of first sends
that was told, whatever the order of requests, so there is no bucket that a quiet night fills for a storm.

While the own zone is lost, classes that were told to spend go past the budget. What they send then is counted
apart and does not use the budget up: the outage would otherwise be paid for by refusals after it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

FREE = 3.0  # crossings in a window that need no share: a gateway that has just started has sent nothing yet
COPIES_KEEP = 0.5  # part of the budget that second copies leave: they only gain time
LOOK_US = 10_000  # between two looks at the own zone: at 1 ms, with 1,000 hosts, 40 us a request


class Reason(IntEnum):
    """Why a send leaves the zone."""

    SPILL = 0  # the own zone is well and has no room
    LOST = 1  # too little of the own zone is well
    COPY = 2  # another copy of a slow request
    BOUND = 3  # where it may have run nobody else drops its repeat: there or nowhere


@dataclass(frozen=True, slots=True)
class Allowance:
    """What a class may do. `keep` (0 to 1) is the part of the budget that it leaves to the others; `spends`
    says whether it goes past the budget while the own zone is lost, or is refused."""

    spends: bool = True
    keep: float = 0.0

    def __post_init__(self) -> None:
        if not 0.0 <= self.keep <= 1.0:
            raise ValueError("keep: must lie between 0 and 1")


@dataclass(frozen=True, slots=True)
class Budget:
    """`share` (0 to 1) of first sends, `per_s` sends and `bytes_per_s` bytes both ways (0: no such limit),
    all as means over `window_us`. The own zone is lost while less than `lost_below` (0 to 1) of its servers
    are well, and for `hold_us` after. `classes` in the order of the routes."""

    share: float
    classes: tuple[Allowance, ...]
    window_us: int = 60_000_000
    per_s: float = 0.0
    bytes_per_s: float = 0.0
    lost_below: float = 0.5
    hold_us: int = 5_000_000

    def __post_init__(self) -> None:
        for name in ("share", "lost_below"):
            if not 0.0 <= getattr(self, name) <= 1.0:
                raise ValueError(f"{name}: must lie between 0 and 1")
        for name in ("per_s", "bytes_per_s", "hold_us"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")
        if self.window_us <= 0:
            raise ValueError("window_us: must be above 0")


@dataclass(slots=True)
class Sent:
    """Of one class, since the start. `by_reason` counts sends that left the zone, `past` those of them that
    went past the budget, `refused` requests that were turned away since no crossing was left for them."""

    by_reason: list[int] = field(default_factory=lambda: [0] * len(Reason))
    past: int = 0
    refused: int = 0

    @property
    def crossed(self) -> int:
        return sum(self.by_reason)


class Crossing:
    """The budget of one balancer."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.sent = [Sent() for _ in budget.classes]
        self.lost = self.all_lost = False  # too little of the own zone is well; nothing is
        self.past = False  # crossings went past the budget, of late
        self._firsts = self._crossed = self._bytes = 0.0  # in the window, fading
        self._now = self._looked = 0
        self._lost_until = self._past_until = -1

    # What is told.

    def first(self, now: int) -> None:
        """A request is sent for the first time, wherever to."""
        self._fade(now)
        self._firsts += 1.0

    def carried(self, now: int, size: int) -> None:
        """So many bytes went to or came from other zones."""
        self._fade(now)
        self._bytes += size

    def due(self, now: int) -> bool:
        """Whether it is time to look at the own zone again."""
        return now - self._looked >= LOOK_US or not self._looked

    def look(self, now: int, well: int, known: int) -> str:
        """So many of the `known` servers of the own zone are well. Returns a line for people where something
        has changed, else nothing. A zone with no servers at all is lost."""
        self._looked, before, lines = max(1, now), self.lost, []
        bad = well < self.budget.lost_below * known or not well
        if bad:
            self._lost_until = now + self.budget.hold_us
        self.lost, self.all_lost = bad or now < self._lost_until, not well
        if self.lost is not before:
            lines.append(f"zone {'lost' if self.lost else 'regained'}: well={well} of={known}")
        if self.past and now >= self._past_until:
            self.past = False
            lines.append(
                f"zone budget kept again: past={sum(s.past for s in self.sent)} since the start"
            )
        return "; ".join(lines)

    # What is decided.

    def allows(self, now: int, route: int, reason: Reason) -> bool:
        """Whether a request of this class may be sent to another zone now."""
        told = self.budget.classes[route]
        if reason is Reason.BOUND or (reason is not Reason.COPY and self.lost and told.spends):
            return True
        keep = max(told.keep, COPIES_KEEP) if reason is Reason.COPY else told.keep
        return self._within(now, keep)

    def why(self, bound: bool, again: bool) -> Reason:
        """Why a request would leave the zone that is `bound` to where it may have run, or has an attempt out
        (`again`)."""
        if bound:
            return Reason.BOUND
        return Reason.COPY if again else Reason.LOST if self.lost else Reason.SPILL

    def spend(self, now: int, route: int, reason: Reason) -> str:
        """It is sent. Returns a line for people where that is the first past the budget for a while."""
        sent, before = self.sent[route], self.past
        sent.by_reason[reason] += 1
        if self._within(now, 0.0):
            self._crossed += 1.0
            return ""
        sent.past += 1
        self.past, self._past_until = True, now + max(LOOK_US, self.budget.hold_us)
        return (
            ""
            if before
            else f"zone budget passed: {reason.name.lower()}, used={self.used(now):.2f}"
        )

    def refuse(self, route: int) -> None:
        """A request was turned away since no crossing was left for it."""
        self.sent[route].refused += 1

    def wait_us(self, now: int, route: int) -> float:
        """About how long until one more of this class is allowed, with no change in traffic; 0: now."""
        if self.allows(now, route, Reason.LOST):
            return 0.0
        told, part = self.budget, 1.0 - self.budget.classes[route].keep
        waits = [self._fades_us(self._crossed, part * self._room() - 1.0)]
        if told.bytes_per_s:
            waits.append(
                self._fades_us(self._bytes, part * told.bytes_per_s * told.window_us / 1e6)
            )
        return max(waits)

    def _fades_us(self, count: float, most: float) -> float:
        """Until a count that fades has come down to `most`."""
        if most <= 0.0:
            return math.inf
        return self.budget.window_us * math.log(max(1.0, count / most))

    def used(self, now: int) -> float:
        """Part of the budget that is used now: 1 is all of it."""
        self._fade(now)
        room, parts = self._room(), [0.0]
        parts.append(self._crossed / room if room > 0 else float(self._crossed > 0))
        if self.budget.bytes_per_s:
            parts.append(self._bytes / (self.budget.bytes_per_s * self.budget.window_us / 1e6))
        return max(parts)

    # The counts.

    def state(self) -> tuple[float, float, float, int]:
        """What the window holds: first sends, crossings, bytes, and when they were counted; `resume` takes
        it. What was sent since the start is a process's own."""
        return self._firsts, self._crossed, self._bytes, self._now

    def resume(self, firsts: float, crossed: float, size: float, now: int) -> None:
        """Go on with the window of another process of this gateway."""
        self._firsts, self._crossed, self._bytes = (
            max(0.0, firsts),
            max(0.0, crossed),
            max(0.0, size),
        )
        self._now = now

    def _fade(self, now: int) -> None:
        if now > self._now:
            part = math.exp((self._now - now) / self.budget.window_us)
            self._firsts, self._crossed, self._bytes = (
                self._firsts * part,
                self._crossed * part,
                self._bytes * part,
            )
            self._now = now

    def _room(self) -> float:
        """Crossings that the window holds."""
        told, window_s = self.budget, self.budget.window_us / 1e6
        most = told.per_s * window_s if told.per_s else math.inf
        return min(told.share * self._firsts + FREE, most) if told.share else 0.0

    def _within(self, now: int, keep: float) -> bool:
        self._fade(now)
        told = self.budget
        full = (
            told.bytes_per_s
            and self._bytes > (1.0 - keep) * told.bytes_per_s * told.window_us / 1e6
        )
        return not full and self._crossed + 1.0 <= (1.0 - keep) * self._room()
