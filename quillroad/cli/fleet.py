"""`quillroad fleet REPORT...`: who sees whom, from the views that gateways write."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from quillroad.membership.report import Report, read_report

STALE_S = 10.0  # after which a report says nothing of now
SHORT = {"alive": "+", "suspect": "?", "gone": "-", "left": "<", "unknown": "."}


@click.command()
@click.argument("reports", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--json", "as_json", is_flag=True, help="the reports and where they differ, as one JSON object"
)
def fleet(reports: tuple[Path, ...], as_json: bool) -> int:
    """Who sees whom, since when, and where two views differ, from the REPORT files of gateways.

    The status is 1 where a report cannot be read, 3 where views differ or a gateway is not sound."""
    told: list[Report] = []
    status = 0
    for path in reports:
        try:
            told.append(read_report(path.read_bytes()))
        except OSError as error:
            print(f"quillroad: cannot read {path}: {error.strerror}", file=sys.stderr)
            status = 1
        except msgspec.MsgspecError as error:
            print(f"quillroad: {path} is no report: {error}", file=sys.stderr)
            status = 1
    told.sort(key=lambda report: report.number)
    apart = differing(told)
    if as_json:
        print(msgspec.json.encode({"views": told, "differ": apart}).decode())
    else:
        console = Console(width=max(110, Console().width))
        console.print(shown(told, time.time()))
        for number, views in apart.items():
            said = "; ".join(
                f"{', '.join(map(str, by))}: {standing}" for standing, by in views.items()
            )
            console.print(f"gateway {number} by what each holds of it: {said}")
    unsound = any(report.state != "sound" for report in told)
    return status or (3 if apart or unsound else 0)


def differing(told: list[Report]) -> dict[int, dict[str, list[int]]]:
    """Of each member on which two views differ: who holds what of it. A gateway holds itself for alive."""
    held: dict[int, dict[str, list[int]]] = {}
    for report in told:
        held.setdefault(report.number, {}).setdefault("alive", []).append(report.number)
        for line in report.members:
            held.setdefault(line.number, {}).setdefault(line.standing, []).append(report.number)
    return {number: views for number, views in sorted(held.items()) if len(views) > 1}


def shown(told: list[Report], now: float) -> Table:
    """A line for each gateway; of the others one sign each, in the order of their numbers."""
    table = Table(
        "gateway",
        "number",
        "thinks of itself",
        "there",
        "divides by",
        "settled",
        "others",
        "not heard for",
        "dropped",
        "report",
        caption="+ alive  ? suspect  - gone  < left  . never heard of  o itself",
    )
    for report in told:
        signs = {line.number: SHORT[line.standing] for line in report.members} | {
            report.number: "o"
        }
        heard = [
            line.heard_s
            for line in report.members
            if line.standing == "alive" and line.heard_s >= 0
        ]
        place, of = report.part
        age = now - report.at
        table.add_row(
            report.gateway,
            str(report.number),
            report.state,
            f"{report.there} of {len(signs)}",
            f"{of} (place {place})" if report.used else "the told number",
            f"{report.settled_s:.1f} s" if report.settled_s >= 0 else "no",
            "".join(signs[number] for number in sorted(signs)),
            f"{max(heard):.1f} s" if heard else "",
            str(sum(report.dropped.values())),
            f"{age:.0f} s old" if age > STALE_S else "now",
        )
    return table
