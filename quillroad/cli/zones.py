"""`quillroad zones REPORT`: shows the cross-zone traffic in a gateway's report."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
import msgspec
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from quillroad.cli.exit_status import ExitStatus
from quillroad.zones.report import MINUTES, Report, RouteLine, ZoneLine, read_report

STALE_AGE_S = 10.0
"""Age from which a report is shown as outdated: ten times the default interval of writing it."""
MIN_WIDTH_COLUMNS = 110
"""The tables would wrap at the 80 columns assumed without a terminal."""
WATCH_INTERVAL_S = 1.0
"""Interval of reading the file: the default interval at which the gateway writes it."""
REASONS = ("spill", "lost", "copy", "bound")
ROUTE_COLUMNS = (
    "class",
    "crossed",
    *REASONS,
    "past budget",
    "refused for it",
    "when lost",
    "next in",
)
ZONE_COLUMNS = (
    "class",
    "zone",
    "received",
    "answered",
    "turned away",
    "called off",
    "lost",
    "failed",
    "open",
    "never left",
    "bytes out",
    "bytes in",
)


@click.command()
@click.argument("report", type=click.Path(path_type=Path))
@click.option("--watch", is_flag=True, help="show it again every second, until interrupted")
@click.option(
    "--minutes", type=click.IntRange(0, MINUTES), default=0, help="and so many minutes, one by one"
)
def zones(report: Path, watch: bool, minutes: int) -> int:
    """What left the zone by class, and why, from the REPORT file of a gateway."""
    console = Console(width=max(MIN_WIDTH_COLUMNS, Console().width))
    try:
        if watch:
            _watch(console, report, minutes)
        else:
            console.print(*render(read_report(report.read_bytes()), minutes, time.time()))
        return ExitStatus.OK
    except KeyboardInterrupt:
        return ExitStatus.OK
    except OSError as error:
        print(f"quillroad: cannot read {report}: {error.strerror}", file=sys.stderr)
    except msgspec.MsgspecError as error:
        print(f"quillroad: {report} is no report: {error}", file=sys.stderr)
    return ExitStatus.FAILED


def _watch(console: Console, file: Path, minutes: int) -> None:
    """Show the report every `WATCH_INTERVAL_S` until an exception ends the loop."""
    with Live(console=console) as live:
        while True:
            report = read_report(file.read_bytes())
            live.update(Group(*render(report, minutes, time.time())))
            time.sleep(WATCH_INTERVAL_S)


def render(report: Report, minutes: int, now: float) -> list[Table | str]:
    """Return the state of the budget in one line, then the report as tables.

    `now` is in seconds since 1970. If `minutes` is not 0, the last table has the last `minutes`
    minutes.
    """
    output: list[Table | str] = [
        _state_line(report, now),
        _route_table(report),
        _zone_table(report),
    ]
    if minutes:
        output.append(_minute_table(report, minutes))
    return output


def _state_line(report: Report, now: float) -> str:
    state = "LOST" if report.local_zone_lost else "well"
    line = (
        f"{report.gateway}: zone {report.local_zone} is {state}; "
        f"{report.budget_used:.0%} of the budget is used"
    )
    if report.is_over_budget:
        line += ", crossings go PAST it"
    age_s = now - report.at
    if age_s > STALE_AGE_S:
        line += f"; this is {age_s:.0f} s old"
    return line


def _route_table(report: Report) -> Table:
    """Return a table of the attempts that each route sent to other zones, by reason."""
    table = Table(*ROUTE_COLUMNS)
    for route, allowed_in_s in zip(report.classes, report.allowed_in_s, strict=True):
        table.add_row(*_route_row(route, allowed_in_s))
    return table


def _route_row(route: RouteLine, allowed_in_s: float) -> list[str]:
    return [
        route.name,
        str(route.crossed),
        *(str(route.reasons.get(reason, 0)) for reason in REASONS),
        str(route.past),
        str(route.refused),
        route.when_lost,
        _duration(allowed_in_s),
    ]


def _duration(seconds: float) -> str:
    """Return a time until an event as text; the report has a negative number for never."""
    if seconds < 0:
        return "never"
    return f"{seconds:.1f} s" if seconds else "now"


def _zone_table(report: Report) -> Table:
    """Return a table of the outcomes of the attempts of each route at each zone."""
    table = Table(*ZONE_COLUMNS)
    for route in report.classes:
        for zone in route.zones:
            table.add_row(route.name, *_zone_row(zone))
    return table


def _zone_row(zone: ZoneLine) -> list[str]:
    counts = (
        zone.received,
        zone.answered,
        zone.rejected,
        zone.cancelled,
        zone.lost,
        zone.failed,
        zone.in_flight,
        zone.not_sent,
        zone.bytes_out,
        zone.bytes_in,
    )
    return [f"{zone.zone}{' (home)' if zone.is_local else ''}", *map(str, counts)]


def _minute_table(report: Report, minutes: int) -> Table:
    """Return a table with a row for each of the last `minutes` minutes, in local time."""
    table = Table(
        "minute", *(f"{route.name}: crossed / past / refused" for route in report.classes)
    )
    for minute in report.minutes[-minutes:]:
        by_route = zip(minute.crossed, minute.over_budget, minute.rejected, strict=True)
        started_at = time.strftime("%H:%M", time.localtime(minute.start_s))
        table.add_row(started_at, *(" / ".join(map(str, counts)) for counts in by_route))
    return table
