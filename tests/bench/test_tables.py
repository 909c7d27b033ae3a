"""The forms of the printed tables: those of the pages and the journal, which are compared by
them.
"""

from __future__ import annotations

import pytest

from bench import tables

DURATIONS_S = [number / 1000 for number in range(100, 0, -1)]  # 1 to 100 ms, the longest first


def test_a_header_is_the_columns_and_a_line_of_dashes() -> None:
    assert tables.header("load") == "| load |\n| --- |"
    assert tables.header("load", "p50 / p99 ms") == "| load | p50 / p99 ms |\n| --- | --- |"


def test_a_row_has_each_cell_as_text() -> None:
    assert tables.row("a", 3, 1.5, None) == "| a | 3 | 1.5 | None |"


def test_printed_tables_have_a_remark_behind_their_row(capsys: pytest.CaptureFixture[str]) -> None:
    tables.print_header("load", "sent/s")
    tables.print_row("0.9", 100)
    tables.print_row("5.0", 300, remark=" and 7 not sent")
    assert capsys.readouterr().out.splitlines() == [
        "| load | sent/s |",
        "| --- | --- |",
        "| 0.9 | 100 |",
        "| 5.0 | 300 | and 7 not sent",
    ]


@pytest.mark.parametrize(
    ("quantile", "digits", "cell"),
    [(0.0, 0, "1"), (0.5, 0, "51"), (0.99, 0, "100"), (1.0, 0, "100"), (0.5, 1, "51.0")],
)
def test_durations_are_shown_in_milliseconds(quantile: float, digits: int, cell: str) -> None:
    assert tables.milliseconds(DURATIONS_S, quantile, digits) == cell


def test_the_cell_of_percentiles_has_the_median_and_the_99th() -> None:
    assert tables.percentiles_ms(DURATIONS_S) == "51 / 100"
    assert tables.percentiles_ms([0.00125], digits=2) == "1.25 / 1.25"


def test_without_durations_the_percentiles_are_zero() -> None:
    assert tables.percentiles_ms([]) == "0 / 0"
    assert tables.percentiles_ms([], digits=1) == "0.0 / 0.0"
