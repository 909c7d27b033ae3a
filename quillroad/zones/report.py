"""The cross-zone traffic report: its JSON format, how it is built and how it is parsed. No I/O.

The names of JSON fields never change: `field(name=...)` keeps the JSON name of a field that has
another name in the code.
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
"""Minutes of history in a report: enough to review an outage, and a limit on the report's size."""
SECONDS_PER_MINUTE = 60
MICROSECONDS_PER_SECOND = 1e6
"""The balancer's clock and limits use microseconds, the report seconds."""
NEVER_S = -1.0
"""Stands for a time in seconds that will never be reached."""
NEVER_THRESHOLD_S = 1e9
"""Waits of 1e9 s (30 years) and more are reported as `NEVER_S`: JSON has no infinity."""
UNKNOWN_ZONE = "?"
"""Name in the report for all zones that are not in the settings."""
SPEND = "spend"
REFUSE = "refuse"


class ZoneLine(Struct):
    """One route's attempts in one zone since the start; `ZoneTraffic` defines the counts."""

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
    """Cross-zone counts of one route since the start, and how it may use the budget.

    `crossed`: attempts sent to remote zones. `reasons`: these attempts by `CrossZoneReason`, in
    lower case. `past`: those of them that exceeded the budget. `refused`: requests rejected because
    the budget was used up. `when_lost`: whether the route may exceed the budget while the local
    zone is lost (`SPEND`) or not (`REFUSE`). `reserve` (0 to 1): share of the budget that the route
    must leave unused for other routes.
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
    """Counts of the minute that starts at `start_s` (Unix time), each indexed by route."""

    start_s: int
    crossed: list[int]
    over_budget: list[int]
    rejected: list[int]


class Report(Struct):
    """Cross-zone budget and traffic of one gateway.

    `at` and `since`, the time of the report and of the gateway's start, are Unix times in seconds.
    `budget_used`: fraction of the budget in use (1: all of it). The limits are averages over
    `window_s` seconds: `remote_fraction` (0 to 1) of first attempts, `per_second` attempts and
    `bytes_per_second`. `allowed_in_s`: for each route, the seconds until the budget allows another
    cross-zone attempt, assuming current traffic, or `NEVER_S`.
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
    """Identity of the gateway in its reports.

    `zone_names` and `route_names` are in the order of the settings; `local_zone` is an index into
    `zone_names`. `since` is the gateway's start as Unix time in seconds.
    """

    name: str
    route_names: Sequence[str]
    zone_names: Sequence[str]
    local_zone: int
    since: float


@dataclass(frozen=True, slots=True)
class _Totals:
    """Counts of one route since the start, at the last update."""

    crossed: int = 0
    over_budget: int = 0
    rejected: int = 0


class MinuteHistory:
    """Per-minute counts of the last `MINUTES` minutes, computed from cumulative counts."""

    def __init__(self, route_count: int) -> None:
        self._totals_at_last_update = [_Totals() for _ in range(route_count)]
        self._lines: deque[MinuteLine] = deque(maxlen=MINUTES)

    def update(self, unix_s: float, counts: Sequence[CrossZoneCounts]) -> None:
        """Add the growth of `counts` since the last call to the minute of `unix_s` (Unix time)."""
        line = self._line_at(int(unix_s) // SECONDS_PER_MINUTE * SECONDS_PER_MINUTE)
        for route, count in enumerate(counts):
            previous = self._totals_at_last_update[route]
            line.crossed[route] += count.total - previous.crossed
            line.over_budget[route] += count.over_budget - previous.over_budget
            line.rejected[route] += count.rejected - previous.rejected
            self._totals_at_last_update[route] = _Totals(
                count.total, count.over_budget, count.rejected
            )

    def _line_at(self, start_s: int) -> MinuteLine:
        if not self._lines or self._lines[-1].start_s != start_s:
            zeros = [0] * len(self._totals_at_last_update)
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
    """Return the report at `at` (Unix time in seconds), `now_us` on the balancer's clock."""
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
        window_s=limits.window_us / MICROSECONDS_PER_SECOND,
        allowed_in_s=[_allowed_in_s(budget, now_us, route) for route in routes],
        classes=[
            _route_line(gateway, route, limits.classes[route], budget.counts[route], counters)
            for route in routes
        ],
        minutes=minutes.lines(),
    )


def _allowed_in_s(budget: CrossZoneBudget, now_us: int, route: int) -> float:
    seconds = budget.wait_us(now_us, route) / MICROSECONDS_PER_SECOND
    return round(seconds, 3) if seconds < NEVER_THRESHOLD_S else NEVER_S


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
    """Return a line for each zone of the settings, and one for unknown zones if they were used."""
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
    """Parse a report; raise `msgspec.MsgspecError` if `data` is not a valid one."""
    return msgspec.json.decode(data, type=Report)
