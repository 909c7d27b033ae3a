"""What people see of the traffic to other zones, as one document. Free of I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import msgspec
from msgspec import Struct

from quillroad.balancing.zone_routing import CrossZoneBudget, CrossZoneCounts, CrossZoneReason
from quillroad.zones.ledger import Cell, Ledger

MINUTES = 60  # that a report looks back
UNKNOWN = "?"  # a zone that the settings do not name


class ZoneLine(Struct):
    """One class at one zone, since the gateway's start."""

    zone: str
    home: bool
    sent: int
    unsent: int
    received: int
    answered: int
    turned_away: int
    cancelled: int
    lost: int
    failed: int
    open: int
    bytes_out: int
    bytes_in: int


class ClassLine(Struct):
    """One class. `crossed` is the sum of `reasons`: what the module decided to send to other zones."""

    name: str
    crossed: int
    reasons: dict[str, int]
    past: int
    refused: int
    when_lost: str
    keep: float
    zones: list[ZoneLine]


class Minute(Struct, array_like=True):
    """`at` is its start in Unix seconds; counts are by class, in the report's order."""

    at: int
    crossed: list[int]
    past: list[int]
    refused: list[int]


class Report(Struct):
    """`used` is the part of the budget that is used (1: all of it), `wait_s` by class how long until a
    crossing within it is free, at today's traffic (-1: none comes free)."""

    gateway: str
    at: float
    since: float
    home: str
    lost: bool
    past: bool
    used: float
    share: float
    per_second: float
    bytes_per_second: float
    window_s: float
    wait_s: list[float]
    classes: list[ClassLine]
    minutes: list[Minute]


class Minutes:
    """Counts by minute, from totals that only grow: the last `MINUTES` of them."""

    def __init__(self, classes: int) -> None:
        self._before = [(0, 0, 0)] * classes
        self._minutes: deque[Minute] = deque(maxlen=MINUTES)

    def told(self, unix_s: float, sent: Sequence[CrossZoneCounts]) -> None:
        at = int(unix_s) // 60 * 60
        if not self._minutes or self._minutes[-1].at != at:
            zeros = [0] * len(self._before)
            self._minutes.append(Minute(at, zeros, zeros.copy(), zeros.copy()))
        minute = self._minutes[-1]
        for i, one in enumerate(sent):
            now, before = (one.total, one.over_budget, one.rejected), self._before[i]
            rows = (minute.crossed, minute.past, minute.refused)
            for counts, new, old in zip(rows, now, before, strict=True):
                counts[i] += new - old
            self._before[i] = now

    def lines(self) -> list[Minute]:
        return list(self._minutes)


def make_report(
    crossing: CrossZoneBudget,
    ledger: Ledger,
    minutes: Minutes,
    names: Sequence[str],
    zones: Sequence[str],
    home: int,
    gateway: str,
    since: float,
    at: float,
    now_us: int,
) -> Report:
    """The report at Unix time `at`, which is `now_us` of the module's clock."""
    told = crossing.budget
    waits = [crossing.wait_us(now_us, route) / 1e6 for route in range(len(names))]
    return Report(
        gateway=gateway,
        at=round(at, 3),
        since=round(since, 3),
        home=zones[home],
        lost=crossing.local_zone_lost,
        past=crossing.is_exceeded,
        used=round(crossing.used(now_us), 4),
        share=told.share,
        per_second=told.per_s,
        bytes_per_second=told.bytes_per_s,
        window_s=told.window_us / 1e6,
        wait_s=[round(wait, 3) if wait < 1e9 else -1.0 for wait in waits],
        classes=[
            ClassLine(
                name,
                sent.total,
                {reason.name.lower(): sent.by_reason[reason] for reason in CrossZoneReason},
                sent.over_budget,
                sent.rejected,
                "spend" if told.classes[route].spends else "refuse",
                told.classes[route].keep,
                [
                    _line(
                        ledger.cell(route, zone),
                        zones[zone] if zone >= 0 else UNKNOWN,
                        zone == home,
                    )
                    for zone in (*range(len(zones)), -1)
                    if zone >= 0 or ledger.cell(route, zone).sent
                ],
            )
            for route, (name, sent) in enumerate(zip(names, crossing.counts, strict=True))
        ],
        minutes=minutes.lines(),
    )


def _line(cell: Cell, zone: str, home: bool) -> ZoneLine:
    return ZoneLine(
        zone,
        home,
        cell.sent,
        cell.unsent,
        cell.received,
        cell.answered,
        cell.turned_away,
        cell.cancelled,
        cell.lost,
        cell.failed,
        cell.open,
        cell.bytes_out,
        cell.bytes_in,
    )


def read_report(data: bytes) -> Report:
    """Raises `msgspec.MsgspecError` for what is no report."""
    return msgspec.json.decode(data, type=Report)
