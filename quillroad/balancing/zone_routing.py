"""The cross-zone budget: how much traffic may leave the gateway's zone, and which may exceed it.

Decides whether a request may be sent to a remote zone now, and counts the attempts sent there by
reason. Inputs: first attempts, attempts and bytes that leave the zone, and how many local hosts are
healthy. No I/O. Times are whole microseconds of the balancer's clock.

One `CrossZoneBudget` belongs to one balancer, which calls `allows` before each attempt at a remote
host and `spend` for each that it starts. The budget is computed from counts that decay
exponentially over the window. Attempts within the budget never exceed the configured share of first
attempts, in whatever order they start: unlike with a token bucket, a long quiet period does not
save up budget for a burst. Without a budget a failing zone overloads the links to the other zones
and their hosts.

While the local zone is lost, routes with `spends` may exceed the budget. These attempts are counted
separately and do not use up the budget; otherwise requests would be rejected after the outage
because of the traffic during it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

FREE_CROSS_ZONE_ATTEMPTS = 3.0
"""Cross-zone attempts in a window that are allowed in addition to the share: a gateway that has
just started has sent no first attempts to compute a share of."""
HEDGE_RESERVE_RATIO = 0.5
"""Share of the budget that hedged attempts must leave unused: they only reduce latency."""
LOCAL_ZONE_CHECK_INTERVAL_US = 10_000
"""Interval between checks of the local zone; each check iterates over all its hosts."""
MICROSECONDS_PER_SECOND = 1e6
"""Limits are per second, the clock counts microseconds."""


class CrossZoneReason(IntEnum):
    """Reason why an attempt leaves the local zone. The names are written to logs in lower case."""

    SPILL = 0
    """The local zone is healthy, but none of its hosts can take the attempt."""
    LOST = 1
    """The local zone is lost: too few of its hosts are healthy."""
    COPY = 2
    """The attempt is hedged."""
    BOUND = 3
    """The request may have run in that zone or cell, and only its hosts deduplicate it."""


@dataclass(frozen=True, slots=True)
class RouteAllowance:
    """How a route may use the cross-zone budget.

    `keep` (0 to 1): share of the budget that the route must leave unused for the other routes.
    `spends`: while the local zone is lost the route's requests may exceed the budget instead of
    being rejected.
    """

    spends: bool = True
    keep: float = 0.0

    def __post_init__(self) -> None:
        if not 0.0 <= self.keep <= 1.0:
            raise ValueError("keep: must lie between 0 and 1")


@dataclass(frozen=True, slots=True)
class CrossZoneLimits:
    """The limits of one gateway's cross-zone traffic, as averages over `window_us`.

    `share` (0 to 1): cross-zone attempts as a share of first attempts. `per_s`: cross-zone attempts
    per second; 0: no limit. `bytes_per_s`: bytes sent and received per second; 0: no limit. The
    local zone is lost while less than `lost_below` (0 to 1) of its hosts are healthy, and for
    another `hold_us`. `classes`: the allowance of each route, in the order of the routes. Raises
    `ValueError`, which names the field, if a value is out of bounds.
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
    """Counts of one route since the start of the process.

    `by_reason`: attempts that left the zone, indexed by `CrossZoneReason`. `over_budget`: those of
    them that exceeded the budget. `rejected`: requests that were rejected because the budget was
    used up.
    """

    by_reason: list[int] = field(default_factory=lambda: [0] * len(CrossZoneReason))
    over_budget: int = 0
    rejected: int = 0

    @property
    def total(self) -> int:
        """Attempts that left the zone."""
        return sum(self.by_reason)


class CrossZoneBudget:
    """The cross-zone budget of one balancer.

    `local_zone_lost`: too few hosts of the local zone are healthy. `no_local_host_healthy`: none is
    healthy. `is_exceeded`: attempts exceeded the budget recently. `counts`: the counts of each
    route.
    """

    def __init__(self, budget: CrossZoneLimits) -> None:
        self.budget = budget
        self.counts = [CrossZoneCounts() for _ in budget.classes]
        self.local_zone_lost = False
        self.no_local_host_healthy = False
        self.is_exceeded = False
        # Counts of the window, which decay exponentially:
        self._first_attempts = 0.0
        self._cross_zone_attempts = 0.0
        self._cross_zone_bytes = 0.0
        self._decayed_until_us = 0  # time up to which the counts have decayed
        self._last_check_us = 0
        self._lost_until_us = -1
        self._exceeded_until_us = -1

    # Reports from the balancer.

    def note_first_attempt(self, now: int) -> None:
        """Count the first attempt of a request, local or remote."""
        self._decay(now)
        self._first_attempts += 1.0

    def note_bytes(self, now: int, size: int) -> None:
        """Count `size` bytes that were sent to or received from remote zones."""
        self._decay(now)
        self._cross_zone_bytes += size

    def is_check_due(self, now: int) -> bool:
        """Whether the next check of the local zone is due."""
        return now - self._last_check_us >= LOCAL_ZONE_CHECK_INTERVAL_US or not self._last_check_us

    def update_local_zone(self, now: int, healthy: int, known: int) -> str:
        """Update the state of the local zone, of whose `known` hosts `healthy` are healthy.

        The zone is always lost if no host is healthy. Returns a log line if the state of the zone
        or of the budget has changed, else an empty string.
        """
        self._last_check_us = max(1, now)
        was_lost = self.local_zone_lost
        lines = []
        too_few_healthy = healthy < self.budget.lost_below * known or not healthy
        if too_few_healthy:
            self._lost_until_us = now + self.budget.hold_us
        self.local_zone_lost = too_few_healthy or now < self._lost_until_us
        self.no_local_host_healthy = not healthy
        if self.local_zone_lost is not was_lost:
            lines.append(
                f"zone {'lost' if self.local_zone_lost else 'regained'}: well={healthy} of={known}"
            )
        if self.is_exceeded and now >= self._exceeded_until_us:
            self.is_exceeded = False
            over_budget = sum(counts.over_budget for counts in self.counts)
            lines.append(f"zone budget kept again: past={over_budget} since the start")
        return "; ".join(lines)

    # Decisions.

    def allows(self, now: int, route: int, reason: CrossZoneReason) -> bool:
        """Whether a request of this route may be sent to a remote zone now for this reason."""
        allowance = self.budget.classes[route]
        if reason is CrossZoneReason.BOUND or (
            reason is not CrossZoneReason.COPY and self.local_zone_lost and allowance.spends
        ):
            return True
        keep = (
            max(allowance.keep, HEDGE_RESERVE_RATIO)
            if reason is CrossZoneReason.COPY
            else allowance.keep
        )
        return self._is_within_budget(now, keep)

    def reason_for(self, must_return: bool, attempt_in_flight: bool) -> CrossZoneReason:
        """Return the reason for which a request would leave the zone.

        `must_return`: the request may have run in a zone or cell that alone deduplicates it.
        `attempt_in_flight`: another attempt of the request is in flight.
        """
        if must_return:
            return CrossZoneReason.BOUND
        if attempt_in_flight:
            return CrossZoneReason.COPY
        return CrossZoneReason.LOST if self.local_zone_lost else CrossZoneReason.SPILL

    def spend(self, now: int, route: int, reason: CrossZoneReason) -> str:
        """Count an attempt that leaves the zone.

        Returns a log line if it is the first one over the budget since the budget was last kept,
        else an empty string.
        """
        route_counts = self.counts[route]
        was_exceeded = self.is_exceeded
        route_counts.by_reason[reason] += 1
        if self._is_within_budget(now, 0.0):
            self._cross_zone_attempts += 1.0
            return ""
        route_counts.over_budget += 1
        self.is_exceeded = True
        self._exceeded_until_us = now + max(LOCAL_ZONE_CHECK_INTERVAL_US, self.budget.hold_us)
        if was_exceeded:
            return ""
        return f"zone budget passed: {reason.name.lower()}, used={self.used(now):.2f}"

    def note_rejection(self, route: int) -> None:
        """Count a request that was rejected because the budget was used up."""
        self.counts[route].rejected += 1

    def wait_us(self, now: int, route: int) -> float:
        """Return about how long (us) it takes until the next attempt of this route is allowed.

        It is computed for constant traffic, and is infinite if the budget never allows an attempt.
        """
        if self.allows(now, route, CrossZoneReason.LOST):
            return 0.0
        budget = self.budget
        usable_ratio = 1.0 - budget.classes[route].keep
        waits = [
            self._decay_time_us(
                self._cross_zone_attempts, usable_ratio * self._max_cross_zone_attempts() - 1.0
            )
        ]
        if budget.bytes_per_s:
            waits.append(
                self._decay_time_us(
                    self._cross_zone_bytes,
                    usable_ratio * budget.bytes_per_s * budget.window_us / MICROSECONDS_PER_SECOND,
                )
            )
        return max(waits)

    def _decay_time_us(self, count: float, max_count: float) -> float:
        """Return the time (us) until a decaying count has fallen to `max_count`."""
        if max_count <= 0.0:
            return math.inf
        return self.budget.window_us * math.log(max(1.0, count / max_count))

    def used(self, now: int) -> float:
        """Return the ratio of the budget that is in use; 1 is the whole budget."""
        self._decay(now)
        max_count = self._max_cross_zone_attempts()
        ratios = [0.0]
        ratios.append(
            self._cross_zone_attempts / max_count
            if max_count > 0
            else float(self._cross_zone_attempts > 0)
        )
        if self.budget.bytes_per_s:
            ratios.append(
                self._cross_zone_bytes
                / (self.budget.bytes_per_s * self.budget.window_us / MICROSECONDS_PER_SECOND)
            )
        return max(ratios)

    # Counts of the window.

    def window_state(self) -> tuple[float, float, float, int]:
        """Return the state of the window for a hand-over; `resume` accepts it.

        First attempts, cross-zone attempts, cross-zone bytes, and the time up to which they have
        decayed. The counts since the start of the process are not part of it.
        """
        return (
            self._first_attempts,
            self._cross_zone_attempts,
            self._cross_zone_bytes,
            self._decayed_until_us,
        )

    def resume(
        self, first_attempts: float, cross_zone_attempts: float, size: float, now: int
    ) -> None:
        """Continue with the window of another process of this gateway."""
        self._first_attempts = max(0.0, first_attempts)
        self._cross_zone_attempts = max(0.0, cross_zone_attempts)
        self._cross_zone_bytes = max(0.0, size)
        self._decayed_until_us = now

    def _decay(self, now: int) -> None:
        if now > self._decayed_until_us:
            factor = math.exp((self._decayed_until_us - now) / self.budget.window_us)
            self._first_attempts *= factor
            self._cross_zone_attempts *= factor
            self._cross_zone_bytes *= factor
            self._decayed_until_us = now

    def _max_cross_zone_attempts(self) -> float:
        """Return how many cross-zone attempts the window may hold."""
        budget = self.budget
        window_s = budget.window_us / MICROSECONDS_PER_SECOND
        max_count = budget.per_s * window_s if budget.per_s else math.inf
        return (
            min(budget.share * self._first_attempts + FREE_CROSS_ZONE_ATTEMPTS, max_count)
            if budget.share
            else 0.0
        )

    def _is_within_budget(self, now: int, keep: float) -> bool:
        self._decay(now)
        budget = self.budget
        full = (
            budget.bytes_per_s
            and self._cross_zone_bytes
            > (1.0 - keep) * budget.bytes_per_s * budget.window_us / MICROSECONDS_PER_SECOND
        )
        return (
            not full
            and self._cross_zone_attempts + 1.0 <= (1.0 - keep) * self._max_cross_zone_attempts()
        )
