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


def print_header(*columns: str) -> None:
    """Print the two lines that begin a table with these columns."""
    print(header(*columns))


def print_row(*cells: object, remark: str = "") -> None:
    """Print one line, and a remark behind it; at once, so that a long run shows how far it is."""
    print(f"{row(*cells)}{remark}", flush=True)


def milliseconds(durations_s: Sequence[float], quantile: float, digits: int = 0) -> str:
    """The value at a quantile (0 to 1) of durations in seconds, as milliseconds with `digits`."""
    return f"{percentile(durations_s, quantile) * MS_PER_S:.{digits}f}"


def percentiles_ms(durations_s: Sequence[float], digits: int = 0) -> str:
    """The cell `p50 / p99` of durations in seconds, as milliseconds with `digits`."""
    return f"{milliseconds(durations_s, 0.5, digits)} / {milliseconds(durations_s, 0.99, digits)}"
