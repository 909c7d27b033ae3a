"""`quillroad fleet REPORT...`: compares the membership views in the reports of gateways."""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from quillroad.cli.exit_status import ExitStatus
from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import MemberState
from quillroad.membership.report import Report, read_report

STALE_AGE_S = 10.0  # age from which a report is shown as outdated
MIN_WIDTH_COLUMNS = 110  # the table would wrap at the 80 columns assumed without a terminal
SIGNS = {
    MemberState.ALIVE.reported_name: "+",
    MemberState.SUSPECT.reported_name: "?",
    MemberState.FAULTY.reported_name: "-",
    MemberState.LEFT.reported_name: "<",
    MemberState.UNKNOWN.reported_name: ".",
}
OWN_SIGN = "o"
COLUMNS = (
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
)
CAPTION = "+ alive  ? suspect  - gone  < left  . never heard of  o itself"


@click.command()
@click.argument("reports", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--json", "as_json", is_flag=True, help="the reports and where they differ, as one JSON object"
)
def fleet(reports: tuple[Path, ...], as_json: bool) -> int:
    """Who sees whom, since when, and where two views differ, from the REPORT files of gateways.

    The status is 1 where a report cannot be read, 3 where views differ or a gateway is not sound.
    """
    views = _read_all(reports)
    differences = differing(views)
    if as_json:
        print(msgspec.json.encode({"views": views, "differ": differences}).decode())
    else:
        _print_tables(views, differences)
    if len(views) < len(reports):
        return ExitStatus.FAILED
    unsound = any(view.state != HealthState.HEALTHY for view in views)
    return ExitStatus.DIFFERING if differences or unsound else ExitStatus.OK


def _read_all(paths: Sequence[Path]) -> list[Report]:
    """Return the readable reports, sorted by member number; print an error for each other one."""
    views: list[Report] = []
    for path in paths:
        try:
            views.append(read_report(path.read_bytes()))
        except OSError as error:
            print(f"quillroad: cannot read {path}: {error.strerror}", file=sys.stderr)
        except msgspec.MsgspecError as error:
            print(f"quillroad: {path} is no report: {error}", file=sys.stderr)
    return sorted(views, key=lambda view: view.number)


def _print_tables(views: list[Report], differences: dict[int, dict[str, list[int]]]) -> None:
    console = Console(width=max(MIN_WIDTH_COLUMNS, Console().width))
    console.print(view_table(views, time.time()))
    for number, by_state in differences.items():
        states = "; ".join(
            f"{', '.join(map(str, observers))}: {state}" for state, observers in by_state.items()
        )
        console.print(f"gateway {number} by what each holds of it: {states}")


def differing(views: list[Report]) -> dict[int, dict[str, list[int]]]:
    """Return the members on whose state the views differ.

    Maps the number of each such member to its states, and each state to the numbers of the gateways
    that report it. A gateway counts as reporting itself alive.
    """
    observers: dict[int, dict[str, list[int]]] = {}
    alive = MemberState.ALIVE.reported_name
    for view in views:
        observers.setdefault(view.number, {}).setdefault(alive, []).append(view.number)
        for line in view.members:
            by_state = observers.setdefault(line.number, {})
            by_state.setdefault(line.standing, []).append(view.number)
    return {number: by_state for number, by_state in sorted(observers.items()) if len(by_state) > 1}


def view_table(views: list[Report], now: float) -> Table:
    """Return a table with a row for each gateway.

    One column has a sign for each member, in the order of their numbers (see `CAPTION`).
    `now` is in seconds since 1970.
    """
    table = Table(*COLUMNS, caption=CAPTION)
    for view in views:
        table.add_row(*_row(view, now))
    return table


def _row(view: Report, now: float) -> list[str]:
    signs = {line.number: SIGNS[line.standing] for line in view.members}
    signs[view.number] = OWN_SIGN
    alive = MemberState.ALIVE.reported_name
    heard_ago_s = [
        line.heard_s for line in view.members if line.standing == alive and line.heard_s >= 0
    ]
    index, count = view.part
    age_s = now - view.at
    return [
        view.gateway,
        str(view.number),
        view.state,
        f"{view.there} of {len(signs)}",
        f"{count} (place {index})" if view.used else "the told number",
        f"{view.settled_s:.1f} s" if view.settled_s >= 0 else "no",
        "".join(signs[number] for number in sorted(signs)),
        f"{max(heard_ago_s):.1f} s" if heard_ago_s else "",
        str(sum(view.dropped.values())),
        f"{age_s:.0f} s old" if age_s > STALE_AGE_S else "now",
    ]
