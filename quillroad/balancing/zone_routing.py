"""The cross-zone budget: how much traffic may leave the gateway's zone, and who may go past that.

Decides whether a request may be sent to a remote zone now, and counts what was sent there and why.
Inputs: first attempts, attempts and bytes that leave the zone, and how many local hosts are
healthy. No I/O. Times are whole microseconds of the balancer's clock.

One `CrossZoneBudget` belongs to one balancer, which asks `allows` before each attempt at a remote
host and tells `spend` of each that it starts. What is allowed follows from counts that fade over
the window. Attempts within the budget never pass the told share of first attempts, whatever their
order: there is no bucket that a quiet night fills for a storm. Without a budget a zone in trouble
fills the links to the others, and their hosts.

While the local zone is lost, routes that were told to spend go past the budget. What they send then
is counted apart and does not use the budget up. Otherwise the outage would be paid for by
rejections after it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

FREE = 3.0
"""Crossings in a window that need no share: a gateway has sent nothing when it starts."""
COPIES_KEEP = 0.5
"""Part of the budget that hedged attempts leave to others: they only gain time."""
LOOK_US = 10_000
"""Time between two looks at the local zone: each goes through all its hosts."""
MICROSECONDS = 1e6
"""In a second: limits are told by the second, the clock counts microseconds."""


class CrossZoneReason(IntEnum):
    """Why an attempt leaves the zone."""

    SPILL = 0
    """The local zone is healthy and has no room."""
    LOST = 1
    """Too few hosts of the local zone are healthy."""
    COPY = 2
    """It is a hedged attempt."""
    BOUND = 3
    """The request may have run there, and nobody else drops its repeat: there or nowhere."""


@dataclass(frozen=True, slots=True)
class RouteAllowance:
    """What a route may do.

    `keep` (0 to 1): part of the budget that it leaves to the others. `spends`: while the local zone
    is lost it goes past the budget rather than being rejected.
    """

    spends: bool = True
    keep: float = 0.0

    def __post_init__(self) -> None:
        if not 0.0 <= self.keep <= 1.0:
            raise ValueError("keep: must lie between 0 and 1")


@dataclass(frozen=True, slots=True)
class CrossZoneLimits:
    """The limits of one gateway, as means over `window_us`.

    `share` (0 to 1) of first attempts, `per_s` attempts and `bytes_per_s` bytes both ways (0: no
    such limit). The local zone is lost while less than `lost_below` (0 to 1) of its hosts are
    healthy, and for `hold_us` after. `classes` has what each route may do, in their order. Raises
    `ValueError` that names a field out of its bounds.
    """

    share: float
    classes: tuple[RouteAllowance, ...]
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
class CrossZoneCounts:
    """Counts of one route since the start.

    `by_reason` has the attempts that left the zone, `over_budget` those of them that went past the
    budget, `rejected` requests that were rejected because no budget was left for them.
    """

    by_reason: list[int] = field(default_factory=lambda: [0] * len(CrossZoneReason))
    over_budget: int = 0
    rejected: int = 0

    @property
    def total(self) -> int:
        """Attempts that left the zone."""
        return sum(self.by_reason)


class CrossZoneBudget:
    """The budget of one balancer.

    `local_zone_lost`: too few hosts of the local zone are healthy; `no_local_host_healthy`: none
    is. `is_exceeded`: attempts went past the budget of late. `counts` has those of each route since
    the start.
    """

    def __init__(self, budget: CrossZoneLimits) -> None:
        self.budget = budget
        self.counts = [CrossZoneCounts() for _ in budget.classes]
        self.local_zone_lost = False
        self.no_local_host_healthy = False
        self.is_exceeded = False
        # In the window, fading:
        self._firsts = 0.0
        self._crossed = 0.0
        self._bytes = 0.0
        self._now = 0  # when they were counted
        self._looked = 0
        self._lost_until = -1
        self._past_until = -1

    # What is told.

    def note_first_attempt(self, now: int) -> None:
        """A request has its first attempt, wherever to."""
        self._fade(now)
        self._firsts += 1.0

    def note_bytes(self, now: int, size: int) -> None:
        """So many bytes went to or came from remote zones."""
        self._fade(now)
        self._bytes += size

    def is_check_due(self, now: int) -> bool:
        """Whether it is time to look at the local zone again."""
        return now - self._looked >= LOOK_US or not self._looked

    def update_local_zone(self, now: int, well: int, known: int) -> str:
        """Take in that `well` of the `known` local hosts are healthy; with none the zone is lost.

        Returns a line for people where something has changed, else an empty text.
        """
        self._looked = max(1, now)
        before = self.local_zone_lost
        lines = []
        bad = well < self.budget.lost_below * known or not well
        if bad:
            self._lost_until = now + self.budget.hold_us
        self.local_zone_lost = bad or now < self._lost_until
        self.no_local_host_healthy = not well
        if self.local_zone_lost is not before:
            lines.append(
                f"zone {'lost' if self.local_zone_lost else 'regained'}: well={well} of={known}"
            )
        if self.is_exceeded and now >= self._past_until:
            self.is_exceeded = False
            over_budget = sum(counts.over_budget for counts in self.counts)
            lines.append(f"zone budget kept again: past={over_budget} since the start")
        return "; ".join(lines)

    # What is decided.

    def allows(self, now: int, route: int, reason: CrossZoneReason) -> bool:
        """Whether a request of this route may be sent to a remote zone now, for this reason."""
        allowance = self.budget.classes[route]
        if reason is CrossZoneReason.BOUND or (
            reason is not CrossZoneReason.COPY and self.local_zone_lost and allowance.spends
        ):
            return True
        keep = (
            max(allowance.keep, COPIES_KEEP) if reason is CrossZoneReason.COPY else allowance.keep
        )
        return self._within(now, keep)

    def reason_for(self, bound: bool, again: bool) -> CrossZoneReason:
        """Why a request would leave the zone.

        `bound`: it may have run there and must go there again. `again`: an attempt is in flight.
        """
        if bound:
            return CrossZoneReason.BOUND
        if again:
            return CrossZoneReason.COPY
        return CrossZoneReason.LOST if self.local_zone_lost else CrossZoneReason.SPILL

    def spend(self, now: int, route: int, reason: CrossZoneReason) -> str:
        """An attempt leaves the zone.

        Returns a line for people where it is the first past the budget for a while.
        """
        sent = self.counts[route]
        before = self.is_exceeded
        sent.by_reason[reason] += 1
        if self._within(now, 0.0):
            self._crossed += 1.0
            return ""
        sent.over_budget += 1
        self.is_exceeded = True
        self._past_until = now + max(LOOK_US, self.budget.hold_us)
        if before:
            return ""
        return f"zone budget passed: {reason.name.lower()}, used={self.used(now):.2f}"

    def note_rejection(self, route: int) -> None:
        """A request was rejected because no budget was left for it."""
        self.counts[route].rejected += 1

    def wait_us(self, now: int, route: int) -> float:
        """About how long (us) until one more of this route is allowed, at the same traffic."""
        if self.allows(now, route, CrossZoneReason.LOST):
            return 0.0
        budget = self.budget
        part = 1.0 - budget.classes[route].keep
        waits = [self._fades_us(self._crossed, part * self._most_crossings() - 1.0)]
        if budget.bytes_per_s:
            waits.append(
                self._fades_us(
                    self._bytes, part * budget.bytes_per_s * budget.window_us / MICROSECONDS
                )
            )
        return max(waits)

    def _fades_us(self, count: float, most: float) -> float:
        """Time (us) until a count that fades has come down to `most`."""
        if most <= 0.0:
            return math.inf
        return self.budget.window_us * math.log(max(1.0, count / most))

    def used(self, now: int) -> float:
        """Part of the budget that is used now: 1 is all of it."""
        self._fade(now)
        most = self._most_crossings()
        parts = [0.0]
        parts.append(self._crossed / most if most > 0 else float(self._crossed > 0))
        if self.budget.bytes_per_s:
            parts.append(
                self._bytes / (self.budget.bytes_per_s * self.budget.window_us / MICROSECONDS)
            )
        return max(parts)

    # The counts.

    def window_state(self) -> tuple[float, float, float, int]:
        """What the window holds: first attempts, crossings, bytes, and when they were counted.

        `resume` takes it. What was sent since the start is a process's own.
        """
        return self._firsts, self._crossed, self._bytes, self._now

    def resume(self, firsts: float, crossed: float, size: float, now: int) -> None:
        """Go on with the window of another process of this gateway."""
        self._firsts = max(0.0, firsts)
        self._crossed = max(0.0, crossed)
        self._bytes = max(0.0, size)
        self._now = now

    def _fade(self, now: int) -> None:
        if now > self._now:
            part = math.exp((self._now - now) / self.budget.window_us)
            self._firsts *= part
            self._crossed *= part
            self._bytes *= part
            self._now = now

    def _most_crossings(self) -> float:
        """Crossings that the window holds."""
        budget = self.budget
        window_s = budget.window_us / MICROSECONDS
        most = budget.per_s * window_s if budget.per_s else math.inf
        return min(budget.share * self._firsts + FREE, most) if budget.share else 0.0

    def _within(self, now: int, keep: float) -> bool:
        self._fade(now)
        budget = self.budget
        full = (
            budget.bytes_per_s
            and self._bytes > (1.0 - keep) * budget.bytes_per_s * budget.window_us / MICROSECONDS
        )
        return not full and self._crossed + 1.0 <= (1.0 - keep) * self._most_crossings()
