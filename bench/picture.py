"""Pictures for the docs."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib
from matplotlib import pyplot
from matplotlib.figure import Figure

matplotlib.use("Agg")
matplotlib.rcParams["svg.hashsalt"] = "quillroad"  # the same figures give the same file


def _save(figure: Figure, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    pyplot.close(figure)


def lines(
    path: Path,
    title: str,
    x_name: str,
    y_name: str,
    xs: Sequence[float],
    series: Mapping[str, Sequence[float]],
) -> None:
    """A line for each of `series`, all over the same `xs`, into a file (svg, png)."""
    figure, axes = pyplot.subplots(figsize=(7, 4))
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
    times: Sequence[float],
    panels: Sequence[tuple[str, Mapping[str, Sequence[float]], float, str]],
) -> None:
    """One panel under another over the same seconds. Each is (name of its axis, its lines, the height of a
    dotted line, what that stands for)."""
    figure, rows = pyplot.subplots(
        len(panels), 1, sharex=True, figsize=(8, 3 * len(panels)), squeeze=False
    )
    for axes, (y_name, series, mark, mark_name) in zip(rows[:, 0], panels, strict=True):
        for name, values in series.items():
            axes.plot(times, values, label=name)
        axes.axhline(mark, color="grey", linestyle=":", label=mark_name)
        axes.set_ylabel(y_name)
        axes.legend(fontsize="small", ncols=3)
    rows[-1, 0].set_xlabel("seconds")
    _save(figure, path)
