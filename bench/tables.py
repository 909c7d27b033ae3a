"""Lines and cells of the Markdown tables that the measurements print."""

from __future__ import annotations

from collections.abc import Sequence

from testbed.account import percentile

MS_PER_S = 1e3


def header(*columns: str) -> str:
    """The two lines that begin a table with these columns."""
    return f"{row(*columns)}\n{'| --- ' * len(columns)}|"


def row(*cells: object) -> str:
    """One line of a table."""
    return f"| {' | '.join(map(str, cells))} |"


def percentiles_ms(durations_s: Sequence[float]) -> str:
    """A cell with the median and the 99th percentile, in whole milliseconds."""
    median_s, p99_s = (percentile(durations_s, q) for q in (0.5, 0.99))
    return f"{median_s * MS_PER_S:.0f} / {p99_s * MS_PER_S:.0f}"
