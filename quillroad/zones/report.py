"""The report of cross-zone traffic, as JSON: its form, how it is made, and how it is read. No I/O.

The stored names of fields never change: where one differs from the code's, `field(name=...)` has
it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from msgspec import Struct, field

from quillroad.balancing.zone_routing import (
    CrossZoneBudget,
    CrossZoneCounts,
    CrossZoneReason,
    RouteAllowance,
)
from quillroad.zones.traffic import AttemptEnd, TrafficCounters, ZoneTraffic

MINUTES = 60
"""Minutes that a report looks back: what an operator asks for after an outage; bounds its size."""
SECONDS_PER_MINUTE = 60
MICROSECONDS = 1e6
"""In a second: the balancer's clock and limits count microseconds, the report seconds."""
NEVER_S = -1.0
"""In place of a time in seconds: it does not come."""
NEVER_FROM_S = 1e9
"""A wait (30 years) from which on the report says never: JSON has no infinity."""
UNKNOWN_ZONE = "?"
"""Stands for a zone that the settings do not name."""
SPEND = "spend"
REFUSE = "refuse"


class ZoneLine(Struct):
    """One route's attempts at one zone since the start, as `ZoneTraffic` counts them."""

    zone: str
    is_local: bool = field(name="home")
    sent: int
    not_sent: int = field(name="unsent")
    received: int
    answered: int
    rejected: int = field(name="turned_away")
    cancelled: int
    lost: int
    failed: int
    in_flight: int = field(name="open")
    bytes_out: int
    bytes_in: int


class RouteLine(Struct):
    """One route since the start.

    `crossed` attempts were sent to remote zones, by reason in `reasons`; `past` of them went past
    the budget. `refused` requests were rejected for want of budget. `when_lost` is what the route
    does while the local zone is lost (`SPEND` or `REFUSE`), `reserve` the part (0 to 1) of the
    budget that it leaves to others.
    """

    name: str
    crossed: int
    reasons: dict[str, int]
    past: int = field(name="past")
    refused: int = field(name="refused")
    when_lost: str
    reserve: float = field(name="keep")
    zones: list[ZoneLine]


class MinuteLine(Struct, array_like=True):
    """Counts of one minute, which starts at `start_s` (seconds since 1970), each by route."""

    start_s: int
    crossed: list[int]
    over_budget: list[int]
    rejected: list[int]


class Report(Struct):
    """The state of the budget and the traffic of one gateway.

    `at` and `since` (the start) are seconds since 1970. `budget_used` is the part of the budget in
    use (1: all of it). `remote_fraction` (0 to 1) of first attempts, `per_second` attempts and
    `bytes_per_second` are its limits, as means over `window_s` seconds. `allowed_in_s` has for each
    route the seconds until an attempt within the budget is allowed, at the traffic of today, or
    `NEVER_S`.
    """

    gateway: str
    at: float
    since: float
    local_zone: str = field(name="home")
    local_zone_lost: bool = field(name="lost")
    is_over_budget: bool = field(name="past")
    budget_used: float = field(name="used")
    remote_fraction: float = field(name="share")
    per_second: float
    bytes_per_second: float
    window_s: float
    allowed_in_s: list[float] = field(name="wait_s")
    classes: list[RouteLine] = field(name="classes")
    minutes: list[MinuteLine]


@dataclass(frozen=True, slots=True)
class ReportedGateway:
    """What a report says of the gateway itself.

    `zone_names` and `route_names` are in the order of the settings, `local_zone` is an index into
    the former; `since` is the gateway's start in seconds since 1970.
    """

    name: str
    route_names: Sequence[str]
    zone_names: Sequence[str]
    local_zone: int
    since: float


@dataclass(frozen=True, slots=True)
class _Totals:
    """Counts of one route since the start."""

    crossed: int = 0
    over_budget: int = 0
    rejected: int = 0


class MinuteHistory:
    """Counts by minute, of the last `MINUTES` minutes, from totals that only grow."""

    def __init__(self, route_count: int) -> None:
        self._totals = [_Totals() for _ in range(route_count)]
        self._lines: deque[MinuteLine] = deque(maxlen=MINUTES)

    def update(self, unix_s: float, counts: Sequence[CrossZoneCounts]) -> None:
        """Add what was counted since the last call to the minute of `unix_s` (since 1970)."""
        line = self._line_at(int(unix_s) // SECONDS_PER_MINUTE * SECONDS_PER_MINUTE)
        for route, count in enumerate(counts):
            before = self._totals[route]
            line.crossed[route] += count.total - before.crossed
            line.over_budget[route] += count.over_budget - before.over_budget
            line.rejected[route] += count.rejected - before.rejected
            self._totals[route] = _Totals(count.total, count.over_budget, count.rejected)

    def _line_at(self, start_s: int) -> MinuteLine:
        if not self._lines or self._lines[-1].start_s != start_s:
            zeros = [0] * len(self._totals)
            self._lines.append(MinuteLine(start_s, zeros, zeros.copy(), zeros.copy()))
        return self._lines[-1]

    def lines(self) -> list[MinuteLine]:
        """Return the minutes in which `update` was called, oldest first."""
        return list(self._lines)


def make_report(
    gateway: ReportedGateway,
    budget: CrossZoneBudget,
    counters: TrafficCounters,
    minutes: MinuteHistory,
    at: float,
    now_us: int,
) -> Report:
    """Return the report at `at` (seconds since 1970), which is `now_us` of the balancer's clock."""
    limits = budget.budget
    routes = range(len(gateway.route_names))
    return Report(
        gateway=gateway.name,
        at=round(at, 3),
        since=round(gateway.since, 3),
        local_zone=gateway.zone_names[gateway.local_zone],
        local_zone_lost=budget.local_zone_lost,
        is_over_budget=budget.is_exceeded,
        budget_used=round(budget.used(now_us), 4),
        remote_fraction=limits.share,
        per_second=limits.per_s,
        bytes_per_second=limits.bytes_per_s,
        window_s=limits.window_us / MICROSECONDS,
        allowed_in_s=[_allowed_in_s(budget, now_us, route) for route in routes],
        classes=[
            _route_line(gateway, route, limits.classes[route], budget.counts[route], counters)
            for route in routes
        ],
        minutes=minutes.lines(),
    )


def _allowed_in_s(budget: CrossZoneBudget, now_us: int, route: int) -> float:
    seconds = budget.wait_us(now_us, route) / MICROSECONDS
    return round(seconds, 3) if seconds < NEVER_FROM_S else NEVER_S


def _route_line(
    gateway: ReportedGateway,
    route: int,
    allowance: RouteAllowance,
    counts: CrossZoneCounts,
    counters: TrafficCounters,
) -> RouteLine:
    return RouteLine(
        name=gateway.route_names[route],
        crossed=counts.total,
        reasons={reason.name.lower(): counts.by_reason[reason] for reason in CrossZoneReason},
        past=counts.over_budget,
        refused=counts.rejected,
        when_lost=SPEND if allowance.spends else REFUSE,
        reserve=allowance.keep,
        zones=_zone_lines(gateway, route, counters),
    )


def _zone_lines(gateway: ReportedGateway, route: int, counters: TrafficCounters) -> list[ZoneLine]:
    """Return a line for each zone of the settings, and one for unknown zones that were sent to."""
    lines = [
        _zone_line(counters.traffic(route, zone), name, zone == gateway.local_zone)
        for zone, name in enumerate(gateway.zone_names)
    ]
    unknown = counters.traffic(route, -1)
    if unknown.sent:
        lines.append(_zone_line(unknown, UNKNOWN_ZONE, False))
    return lines


def _zone_line(traffic: ZoneTraffic, zone: str, is_local: bool) -> ZoneLine:
    return ZoneLine(
        zone=zone,
        is_local=is_local,
        sent=traffic.sent,
        not_sent=traffic.ended[AttemptEnd.NOT_SENT],
        received=traffic.received,
        answered=traffic.ended[AttemptEnd.ANSWERED],
        rejected=traffic.ended[AttemptEnd.REJECTED],
        cancelled=traffic.ended[AttemptEnd.CANCELLED],
        lost=traffic.ended[AttemptEnd.LOST],
        failed=traffic.ended[AttemptEnd.FAILED],
        in_flight=traffic.in_flight,
        bytes_out=traffic.bytes_out,
        bytes_in=traffic.bytes_in,
    )


def read_report(data: bytes) -> Report:
    """Return the report; raises `msgspec.MsgspecError` for what is none."""
    return msgspec.json.decode(data, type=Report)
