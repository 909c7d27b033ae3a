"""Expected failures, listed in `KNOWN-RED.txt` beside `pyproject.toml`.

Each line is `test | cause | issue`, with three lines at most. The tests are marked as expected
failures and printed. The run fails if one of them passes, if a line is malformed, or, in a run of
the whole suite, if a line names no test.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest
from hypothesis import HealthCheck, settings

# No deadline: the time of an example depends on the load of the machine. With all cores busy, an
# example of 73 ms took 257 ms and failed.
settings.register_profile("suite", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("suite")

KNOWN_FAILURES_FILE, MAX_KNOWN_FAILURES = "KNOWN-RED.txt", 3


class KnownFailure(NamedTuple):
    """A line of the file: pytest's id of the test, why it fails, and the issue that tracks it."""

    test: str
    cause: str
    issue: str


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Return the lines of the file, or none if it does not exist.

    Raises `pytest.UsageError` if a line is malformed or repeated, or if there are too many.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    known = [
        KnownFailure(*map(str.strip, line.split("|"))) for line in lines if line.count("|") == 2
    ]
    if len(known) < len(lines) or not all(all(failure) for failure in known):
        raise pytest.UsageError(f"{KNOWN_FAILURES_FILE}: each line is `test | cause | issue`")
    if len(known) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"{KNOWN_FAILURES_FILE}: {len(known)} tests; {MAX_KNOWN_FAILURES} at most"
        )
    if len({failure.test for failure in known}) < len(known):
        raise pytest.UsageError(f"{KNOWN_FAILURES_FILE}: a test is listed twice")
    return known


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = {
        failure.test: failure
        for failure in read_known_failures(config.rootpath / KNOWN_FAILURES_FILE)
    }
    for item in items:
        if (failure := known.pop(item.nodeid, None)) is not None:
            item.add_marker(
                pytest.mark.xfail(strict=True, reason=f"{failure.cause} ({failure.issue})")
            )
    whole_suite = (
        config.args_source is not pytest.Config.ArgsSource.ARGS and not config.option.keyword
    )
    if known and whole_suite and not config.option.markexpr:
        raise pytest.UsageError(f"{KNOWN_FAILURES_FILE}: no such test: {', '.join(known)}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for failure in read_known_failures(config.rootpath / KNOWN_FAILURES_FILE):
        terminalreporter.write_line(
            f"expected failure: {failure.test}: {failure.cause} ({failure.issue})"
        )
