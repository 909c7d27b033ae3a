"""`quillroad zones REPORT`: what crosses zones, from the report that a gateway writes."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
import msgspec
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from quillroad.zones.report import Report, read_report

STALE_S = 10.0  # after which a report says nothing of now


@click.command()
@click.argument("report", type=click.Path(path_type=Path))
@click.option("--watch", is_flag=True, help="show it again every second, until interrupted")
@click.option(
    "--minutes", type=click.IntRange(0, 60), default=0, help="and so many minutes, one by one"
)
def zones(report: Path, watch: bool, minutes: int) -> int:
    """What left the zone by class, and why, from the REPORT file of a gateway."""
    console = Console(width=max(110, Console().width))
    try:
        if not watch:
            console.print(*shown(read_report(report.read_bytes()), minutes, time.time()))
            return 0
        with Live(console=console) as live:
            while True:
                live.update(Group(*shown(read_report(report.read_bytes()), minutes, time.time())))
                time.sleep(1.0)
    except KeyboardInterrupt:
        return 0
    except OSError as error:
        print(f"quillroad: cannot read {report}: {error.strerror}", file=sys.stderr)
    except msgspec.MsgspecError as error:
        print(f"quillroad: {report} is no report: {error}", file=sys.stderr)
    return 1


def shown(told: Report, minutes: int, now: float) -> list[Table | str]:
    """The report as tables, its state first."""
    age = now - told.at
    state = "LOST" if told.lost else "well"
    lines: list[Table | str] = [
        f"{told.gateway}: zone {told.home} is {state}; {told.used:.0%} of the budget is used"
        + (", crossings go PAST it" if told.past else "")
        + (f"; this is {age:.0f} s old" if age > STALE_S else "")
    ]
    classes = Table(
        "class",
        "crossed",
        "spill",
        "lost",
        "copy",
        "bound",
        "past budget",
        "refused for it",
        "when lost",
        "next in",
    )
    for line, wait in zip(told.classes, told.wait_s, strict=True):
        reasons = [str(line.reasons.get(name, 0)) for name in ("spill", "lost", "copy", "bound")]
        free = "never" if wait < 0 else f"{wait:.1f} s" if wait else "now"
        classes.add_row(
            line.name,
            str(line.crossed),
            *reasons,
            str(line.past),
            str(line.refused),
            line.when_lost,
            free,
        )
    cells = Table(
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
    for line in told.classes:
        for one in line.zones:
            counts = (
                one.received,
                one.answered,
                one.turned_away,
                one.cancelled,
                one.lost,
                one.failed,
                one.open,
                one.unsent,
                one.bytes_out,
                one.bytes_in,
            )
            cells.add_row(
                line.name, f"{one.zone}{' (home)' if one.home else ''}", *map(str, counts)
            )
    lines += [classes, cells]
    if minutes:
        table = Table(
            "minute", *(f"{line.name}: crossed / past / refused" for line in told.classes)
        )
        for minute in told.minutes[-minutes:]:
            counts3 = zip(minute.crossed, minute.past, minute.refused, strict=True)
            at = time.strftime("%H:%M", time.localtime(minute.at))
            table.add_row(at, *(" / ".join(map(str, counts)) for counts in counts3))
        lines.append(table)
    return lines
