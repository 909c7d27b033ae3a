"""The effect of `KNOWN-RED.txt` on a run, checked in nested runs of pytest."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

CONFTEST = Path(__file__).parent / "conftest.py"
TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"
KNOWN_FAILURE = "test_some.py::test_red | the clock stands still | issue 7"


@pytest.fixture
def suite(pytester: pytest.Pytester) -> pytest.Pytester:
    """A suite of two tests, one of which fails, with the hooks of `conftest.py`."""
    pytester.makepyprojecttoml("[tool.pytest.ini_options]\ntestpaths = ['.']\n")
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makepyfile(test_some=TESTS)
    return pytester


def write_known_failures(suite: pytest.Pytester, *lines: str) -> None:
    (suite.path / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))


def test_failing_test_fails_the_run_without_the_file(suite: pytest.Pytester) -> None:
    suite.runpytest().assert_outcomes(passed=1, failed=1)


def test_listed_failure_is_expected_and_printed(suite: pytest.Pytester) -> None:
    write_known_failures(suite, KNOWN_FAILURE)
    result = suite.runpytest()
    result.assert_outcomes(passed=1, xfailed=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["expected failure: *test_red: the clock stands still (issue 7)"])


def test_listed_test_that_passes_fails_the_run(suite: pytest.Pytester) -> None:
    write_known_failures(suite, "test_some.py::test_green | nothing | issue 7")
    result = suite.runpytest()
    result.assert_outcomes(failed=2)
    assert result.ret == 1


@pytest.mark.parametrize(
    ("lines", "why"),
    [
        (["test_some.py::test_gone | it went | issue 7"], "no such test: test_some.py::test_gone"),
        (["test_some.py::test_red | no issue"], "each line is"),
        (["test_some.py::test_red | | issue 7"], "each line is"),
        ([KNOWN_FAILURE, KNOWN_FAILURE], "twice"),
        (
            [f"{KNOWN_FAILURE}{n}".replace("test_red", f"test_red{n}") for n in range(4)],
            "4 tests; 3 at most",
        ),
    ],
)
def test_invalid_line_fails_the_run(suite: pytest.Pytester, lines: list[str], why: str) -> None:
    write_known_failures(suite, *lines)
    result = suite.runpytest()
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*{why}*"])


def test_partial_run_accepts_lines_of_tests_not_collected(suite: pytest.Pytester) -> None:
    write_known_failures(suite, KNOWN_FAILURE)
    suite.makepyfile(test_other="def test_green():\n    pass\n")
    assert suite.runpytest("test_other.py").ret == 0
