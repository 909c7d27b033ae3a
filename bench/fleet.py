"""Adds up what a fleet of gateways did, by second: `python -m bench.fleet FOLDER [--plot FILE]`.

FOLDER holds one log a gateway, written with QUILLROAD_COUNTS=1 (see `quillroad/counts.py`); each
line begins with its time in seconds, by the clock of whoever ran the gateways. Counts are summed
over all gateways; gauges (admitted, width, limit, nerve, ...) are means, and `up` is how many
gateways logged that second. Two folders laid side by side show what a change did.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

LOGGER = "quillroad.counts: "  # comes before the counts of a line
GAUGES = ("admitted", "width", "limit", "nerve", "pace", "ejected", "cold", "hosts")
FAILED_BY_HOST = "bad"  # the only figure of a line that is an object: counts by host
MOST_HOSTS_SHOWN = 8
PLOTTED = (  # the figures of each panel
    ("success", "sent", "refused_share", "refused_queued"),
    ("connects", "copies", "full", "reset"),
    ("answer_ms", "queued", "idle"),
    ("ejected", "cold", "width", "up"),
)
PLOT_INCHES = (10, 10)
LEAST_TABLE_WIDTH, COLUMN_WIDTH = 120, 11  # characters

Row = dict[str, float]
"""The fleet's figures in one second, under the names of the log."""
Line = dict[str, Any]
"""One gateway's line: figures by name, and under `FAILED_BY_HOST` counts by host."""


def lines(folder: Path) -> dict[int, list[Line]]:
    """What all gateways logged, by second, in order; lines without counts are passed over."""
    by_second: defaultdict[int, list[Line]] = defaultdict(list)
    for file in sorted(folder.glob("*.log")):
        for second, line in _read_log(file):
            by_second[second].append(line)
    return dict(sorted(by_second.items()))


def _read_log(file: Path) -> Iterator[tuple[int, Line]]:
    """One gateway's lines, each with the second in which it was written."""
    for text in file.read_text(encoding="utf-8", errors="replace").splitlines():
        start, found, counts = text.partition(LOGGER)
        if not found:
            continue
        try:
            second, line = int(float(start.split()[0])), json.loads(counts)
        except (ValueError, IndexError):  # cut off, or without its time
            continue
        yield second, line


def read(folder: Path) -> dict[int, Row]:
    """The fleet's figures by second."""
    return {second: _add_up(by_gateway) for second, by_gateway in lines(folder).items()}


def failed_attempts(folder: Path) -> dict[int, Counter[str]]:
    """Failed attempts by second and host."""
    failed: dict[int, Counter[str]] = {}
    for second, by_gateway in lines(folder).items():
        failed[second] = Counter()
        for line in by_gateway:
            failed[second].update(line.get(FAILED_BY_HOST, {}))
    return failed


def _add_up(by_gateway: Sequence[Line]) -> Row:
    """The fleet's figures of one second; `answer_ms` is the mean of the answers' milliseconds."""
    total: defaultdict[str, float] = defaultdict(float)
    for line in by_gateway:
        for name, value in line.items():
            if name != FAILED_BY_HOST:
                total[name] += value
    for name in GAUGES:
        total[name] /= len(by_gateway)
    if total["success"]:
        total["answer_ms"] /= total["success"]
    total["up"] = len(by_gateway)
    return dict(total)


def plot(rows: dict[int, Row], file: Path) -> None:
    """Draw the figures of `PLOTTED` over the seconds."""
    import matplotlib as mpl  # noqa: PLC0415 - only needed with --plot

    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(len(PLOTTED), 1, sharex=True, figsize=PLOT_INCHES)
    for axis, names in zip(axes, PLOTTED, strict=True):
        for name in names:
            axis.plot(list(rows), [row.get(name, 0.0) for row in rows.values()], label=name)
        axis.legend(loc="upper right")
    axes[-1].set_xlabel("second")
    figure.tight_layout()
    figure.savefig(file)


def print_table(rows: dict[int, Row]) -> None:
    """Print a row for each second, a column for each figure."""
    names = sorted({name for row in rows.values() for name in row} - {"up"})
    table = Table("second", "up", *names)
    for second, row in rows.items():
        table.add_row(str(second), *(f"{row.get(name, 0.0):.3g}" for name in ("up", *names)))
    width = max(LEAST_TABLE_WIDTH, COLUMN_WIDTH * len(names))
    Console(width=width).print(table)


def print_failed_attempts(folder: Path) -> None:
    """Print for each second the hosts at which most attempts failed."""
    for second, by_host in failed_attempts(folder).items():
        worst = by_host.most_common(MOST_HOSTS_SHOWN)
        click.echo(f"{second:4d}  " + "  ".join(f"{host} {count:g}" for host, count in worst))


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--hosts", is_flag=True, help="failed attempts by second and host, instead")
@click.option("--plot", "picture", type=click.Path(path_type=Path), help="write a plot here, too")
def main(folder: Path, hosts: bool, picture: Path | None) -> None:
    """The table of one folder of logs."""
    if hosts:
        print_failed_attempts(folder)
        return
    rows = read(folder)
    print_table(rows)
    if picture is not None:
        plot(rows, picture)


if __name__ == "__main__":
    main()
