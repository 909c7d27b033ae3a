"""Adapter: the report of what crosses zones."""

from __future__ import annotations

import msgspec

from quillroad.balancing.events import Outcome
from quillroad.balancing.zone_routing import (
    CrossZoneBudget,
    CrossZoneLimits,
    CrossZoneReason,
    RouteAllowance,
)
from quillroad.zones.report import (
    MinuteHistory,
    MinuteLine,
    Report,
    ReportedGateway,
    RouteLine,
    ZoneLine,
    make_report,
    read_report,
)
from quillroad.zones.traffic import TrafficCounters
from tests.recordings.kinds import Documents

NAMES, ZONES, HOME = ("status-check", "seat-checkout"), ("east", "west"), 0
NOW_US, MINUTE_S = 10_000_000, 1_700_000_040.0
FUTURE_S = 4_000_000_000.25  # of the day: a command that shows a report does not call it old

FULL = Report(
    "n1",
    FUTURE_S,
    2.5,
    "east",
    True,
    True,
    0.75,
    0.05,
    6.5,
    7.5,
    8.5,
    [9.5, -1.0],
    [
        RouteLine(
            "status-check",
            10,
            {"spill": 11, "lost": 12, "copy": 13, "bound": 14},
            15,
            16,
            "refuse",
            0.17,
            [ZoneLine("west", True, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28)],
        ),
        RouteLine("seat-checkout", 30, {}, 31, 32, "spend", 0.33, []),
    ],
    [MinuteLine(1_700_000_040, [34, 35], [36, 37], [38, 39])],
)


def _made() -> Report:
    """A report of a zone that is lost, with every reason to cross and every end of an attempt."""
    classes = (RouteAllowance(False, 0.5), RouteAllowance(True, 0.25))
    crossing = CrossZoneBudget(
        CrossZoneLimits(0.05, classes, 2_000_000, 40.0, 5_000.0, 0.6, 3_000_000)
    )
    crossing.update_local_zone(NOW_US, 1, 4)
    counters, minutes = TrafficCounters(len(NAMES), len(ZONES)), MinuteHistory(len(NAMES))
    for number in range(60):
        crossing.note_first_attempt(NOW_US)
        crossing.note_bytes(NOW_US, number)
    for reason in CrossZoneReason:
        for _ in range(1 + reason):
            crossing.spend(NOW_US, reason % 2, reason)
    crossing.note_rejection(0)
    minutes.update(MINUTE_S, crossing.counts)
    crossing.note_rejection(1)
    minutes.update(MINUTE_S + 60.0, crossing.counts)
    for place, outcome in enumerate(Outcome):
        zone = (0, 1, -1)[place % 3]
        for _ in range(1 + place):
            counters.count_sent(place % 2, zone, 100 + place)
            counters.count_ended(place % 2, zone, outcome, 100 + place, 200 + place)
        counters.count_sent(place % 2, zone, 300)
    return make_report(
        ReportedGateway("n2", NAMES, ZONES, HOME, 1_700_000_000.125),
        crossing,
        counters,
        minutes,
        1_700_000_123.5,
        NOW_US,
    )


def reports() -> Documents:
    """A full report, an empty one, and one that is made of counts."""
    empty = Report("", 0.0, 0.0, "", False, False, 0.0, 0.0, 0.0, 0.0, 0.0, [], [], [])
    return {
        name: msgspec.json.encode(report).decode()
        for name, report in (("every field", FULL), ("empty", empty), ("made", _made()))
    }


def reencode_report(_: str, document: bytes) -> bytes:
    return msgspec.json.encode(read_report(document))
