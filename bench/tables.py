"""Rows of the Markdown tables that bench programs print."""

from __future__ import annotations

from collections.abc import Sequence

from testbed.account import percentile


def print_header(*columns: str) -> None:
    """Print the head of a table with these columns."""
    print_row(*columns)
    print("| --- " * len(columns) + "|")


def print_row(*cells: str, remark: str = "") -> None:
    """Print one row, and a remark behind it; at once, so that a long run shows how far it is."""
    print(f"| {' | '.join(cells)} |{remark}", flush=True)


def milliseconds(durations_s: Sequence[float], quantile: float, digits: int = 0) -> str:
    """The value at a quantile (0 to 1) of durations in seconds, as milliseconds with `digits`."""
    return f"{percentile(durations_s, quantile) * 1e3:.{digits}f}"


def p50_and_p99_ms(durations_s: Sequence[float], digits: int = 0) -> str:
    """The cell `p50 / p99` of durations in seconds, as milliseconds with `digits`."""
    return f"{milliseconds(durations_s, 0.5, digits)} / {milliseconds(durations_s, 0.99, digits)}"
