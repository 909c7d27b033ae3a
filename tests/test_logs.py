"""The log passes a bounded number of lines a second."""

from __future__ import annotations

import logging

from quillroad.logs import MAX_LINES, STRETCH_S, RateLimit


def record(created: float) -> logging.LogRecord:
    made = logging.LogRecord("quillroad", logging.ERROR, __file__, 1, "%s failed", ("it",), None)
    made.created = created
    return made


def test_lines_beyond_the_limit_are_left_out_and_counted() -> None:
    """One error a request at thousands of requests a second.

    Writing a line for each takes the core from the requests: a fault of one kind would become an
    overload.
    """
    limit = RateLimit()
    passed = [limit.filter(record(100.0 + 0.001 * number)) for number in range(MAX_LINES + 7)]
    assert passed == [True] * MAX_LINES + [False] * 7
    first = record(100.0 + STRETCH_S)
    assert limit.filter(first)
    assert first.getMessage() == "it failed (7 left out)"


def test_lines_within_the_limit_pass_unchanged() -> None:
    limit = RateLimit()
    for second in range(3):
        lines = [record(100.0 + STRETCH_S * second) for _ in range(MAX_LINES)]
        assert all(limit.filter(line) for line in lines)
        assert {line.getMessage() for line in lines} == {"it failed"}
