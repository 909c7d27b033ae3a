"""Adds up what a fleet of gateways did, second by second: `python -m bench.fleet FOLDER [--plot FILE]`.

FOLDER holds one log a gateway, written with QUILLROAD_COUNTS=1 (see `quillroad/counts.py`); a line may
begin with the time that who ran them gives it. Rates are sums over all gateways; what stands (admitted,
width, limit, nerve) is the mean, with `up` the gateways that spoke in that second. Two folders laid side by
side show what a change did.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

MEANS = ("admitted", "width", "limit", "nerve", "pace", "ejected", "cold", "hosts")
Row = dict[str, float]


def lines(folder: Path) -> dict[int, list[dict[str, Any]]]:
    """What all gateways said, by second; lines that hold no counts are passed over."""
    rows: dict[int, list[dict[str, Any]]] = defaultdict(list)
    for file in sorted(folder.glob("*.log")):
        for line in file.read_text(encoding="utf-8", errors="replace").splitlines():
            start, found, rest = line.partition("quillroad.counts: ")
            if not found:
                continue
            try:
                second, row = int(float(start.split()[0])), json.loads(rest)
            except (ValueError, IndexError):
                continue
            rows[second].append(row)
    return {second: rows[second] for second in sorted(rows)}


def read(folder: Path) -> dict[int, Row]:
    """The fleet's figures by second."""
    return {second: _sum(rows) for second, rows in lines(folder).items()}


def worst(folder: Path) -> dict[int, Counter[str]]:
    """Failed attempts by second and host."""
    found: dict[int, Counter[str]] = {}
    for second, rows in lines(folder).items():
        found[second] = Counter()
        for row in rows:
            found[second].update(row.get("bad", {}))
    return found


def _sum(rows: list[dict[str, Any]]) -> Row:
    total: Row = defaultdict(float)
    for row in rows:
        for name, value in row.items():
            if name != "bad":
                total[name] += value
    for name in MEANS:
        total[name] /= len(rows)
    if total["success"]:
        total["answer_ms"] /= total["success"]
    total["up"] = len(rows)
    return dict(total)


def plot(rows: dict[int, Row], file: Path) -> None:
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    groups = (
        ("success", "sent", "refused_share", "refused_queued"),
        ("connects", "copies", "full", "reset"),
        ("answer_ms", "queued", "idle"),
        ("ejected", "cold", "width", "up"),
    )
    figure, axes = pyplot.subplots(len(groups), 1, sharex=True, figsize=(10, 10))
    for axis, names in zip(axes, groups, strict=True):
        for name in names:
            axis.plot(list(rows), [row.get(name, 0.0) for row in rows.values()], label=name)
        axis.legend(loc="upper right")
    axes[-1].set_xlabel("second")
    figure.tight_layout()
    figure.savefig(file)


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--hosts", is_flag=True, help="failed attempts by second and host, instead")
@click.option("--plot", "picture", type=click.Path(path_type=Path), help="write a plot here, too")
def main(folder: Path, hosts: bool, picture: Path | None) -> None:
    """The table of one folder of logs."""
    rows = read(folder)
    if hosts:
        for second, counts in worst(folder).items():
            click.echo(
                f"{second:4d}  " + "  ".join(f"{name} {n:g}" for name, n in counts.most_common(8))
            )
        return
    names = sorted({name for row in rows.values() for name in row} - {"up"})
    table = Table("second", "up", *names)
    for second, row in rows.items():
        table.add_row(str(second), *(f"{row.get(name, 0.0):.3g}" for name in ("up", *names)))
    Console(width=max(120, 11 * len(names))).print(table)
    if picture is not None:
        plot(rows, picture)


if __name__ == "__main__":
    main()
