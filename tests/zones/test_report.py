"""The cross-zone report, built from traffic counters and the budget."""

from __future__ import annotations

from quillroad.balancing.zone_routing import (
    CrossZoneBudget,
    CrossZoneLimits,
    CrossZoneReason,
    RouteAllowance,
)
from quillroad.zones.report import (
    MINUTES,
    NEVER_S,
    UNKNOWN_ZONE,
    MinuteHistory,
    Report,
    ReportedGateway,
    make_report,
)
from quillroad.zones.traffic import TrafficCounters

GATEWAY = ReportedGateway("gateway", ["route"], ["east", "west"], local_zone=0, since=0.0)


def limits(share: float = 1.0) -> CrossZoneLimits:
    return CrossZoneLimits(share, (RouteAllowance(),), window_us=1_000_000, hold_us=100_000)


def report_of(budget: CrossZoneBudget, counters: TrafficCounters) -> Report:
    return make_report(GATEWAY, budget, counters, MinuteHistory(1), at=0.0, now_us=1)


def test_minutes_count_separately_and_are_bounded() -> None:
    cross_zone_budget, minutes = CrossZoneBudget(limits()), MinuteHistory(1)
    for minute in range(3 * MINUTES):
        for _ in range(minute % 3):
            cross_zone_budget.spend(1, 0, CrossZoneReason.BOUND)
        minutes.update(1000.0 + 60 * minute, cross_zone_budget.counts)
    lines = minutes.lines()
    assert len(lines) == MINUTES and [line.crossed[0] for line in lines[:4]] == [0, 1, 2, 0]


def test_unknown_zone_is_listed_only_after_an_attempt_to_it() -> None:
    counters = TrafficCounters(1, 2)
    budget = CrossZoneBudget(limits())
    assert [zone.zone for zone in report_of(budget, counters).classes[0].zones] == ["east", "west"]
    counters.count_sent(0, -1, 100)
    lines = report_of(budget, counters).classes[0].zones
    assert [(line.zone, line.sent) for line in lines][-1] == (UNKNOWN_ZONE, 1)
    assert [line.is_local for line in lines] == [True, False, False]


def test_route_that_may_never_leave_the_zone_is_reported_as_never() -> None:
    counters = TrafficCounters(1, 2)
    assert report_of(CrossZoneBudget(limits(share=0.0)), counters).allowed_in_s == [NEVER_S]
    assert report_of(CrossZoneBudget(limits(share=1.0)), counters).allowed_in_s == [0.0]
