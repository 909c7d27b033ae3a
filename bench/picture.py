"""Pictures for the documentation, as SVG or PNG by the suffix of their file."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

import matplotlib
from matplotlib import pyplot
from matplotlib.figure import Figure

matplotlib.use("Agg")  # draws without a display
matplotlib.rcParams["svg.hashsalt"] = "quillroad"  # the same figures give the same file

WIDTH_IN, HEIGHT_IN = 7, 4  # inches, of a picture of lines
PANEL_WIDTH_IN, PANEL_HEIGHT_IN = 8, 3  # inches, of each panel over time
LEGEND_COLUMNS = 3  # of a panel

Series = Mapping[str, Sequence[float]]  # values by the name of their line


class Panel(NamedTuple):
    """One panel over time, with a dotted line at the height `mark`."""

    y_name: str
    series: Series
    mark: float
    mark_name: str


def lines(
    path: Path,
    title: str,
    x_name: str,
    y_name: str,
    xs: Sequence[float],
    series: Series,
) -> None:
    """Draw a line for each of `series`, all over the same `xs`."""
    figure, axes = pyplot.subplots(figsize=(WIDTH_IN, HEIGHT_IN))
    for name, values in series.items():
        axes.plot(xs, values, marker="o", label=name)
    axes.set_title(title)
    axes.set_xlabel(x_name)
    axes.set_ylabel(y_name)
    axes.set_ylim(bottom=0)
    axes.legend(fontsize="small")
    _save(figure, path)


def over_time(
    path: Path,
    times_s: Sequence[float],
    panels: Sequence[tuple[str, Series, float, str]],
) -> None:
    """Draw panels one under another, all over the same times in seconds.

    Each is a `Panel`, or a tuple of its fields.
    """
    figure, rows = pyplot.subplots(
        len(panels),
        1,
        sharex=True,
        figsize=(PANEL_WIDTH_IN, PANEL_HEIGHT_IN * len(panels)),
        squeeze=False,
    )
    for axes, (y_name, series, mark, mark_name) in zip(rows[:, 0], panels, strict=True):
        for name, values in series.items():
            axes.plot(times_s, values, label=name)
        axes.axhline(mark, color="grey", linestyle=":", label=mark_name)
        axes.set_ylabel(y_name)
        axes.legend(fontsize="small", ncols=LEGEND_COLUMNS)
    rows[-1, 0].set_xlabel("seconds")
    _save(figure, path)


def _save(figure: Figure, path: Path) -> None:
    figure.tight_layout()
    # A date would make each file differ.
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    pyplot.close(figure)
