"""What `KNOWN-RED.txt` does to a run, on runs of pytest of their own."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

CONFTEST = Path(__file__).parent / "conftest.py"
TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"
RED = "test_some.py::test_red | the clock stands still | issue 7"


@pytest.fixture
def suite(pytester: pytest.Pytester) -> pytest.Pytester:
    """Two tests, of which one fails, and the hooks of this project."""
    pytester.makepyprojecttoml("[tool.pytest.ini_options]\ntestpaths = ['.']\n")
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makepyfile(test_some=TESTS)
    return pytester


def known(suite: pytest.Pytester, *lines: str) -> None:
    (suite.path / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))


def test_with_no_file_a_red_test_is_red(suite: pytest.Pytester) -> None:
    suite.runpytest().assert_outcomes(passed=1, failed=1)


def test_a_listed_test_is_passed_over_and_printed(suite: pytest.Pytester) -> None:
    known(suite, RED)
    result = suite.runpytest()
    result.assert_outcomes(passed=1, xfailed=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        ["known red, passed over: *test_red: the clock stands still (issue 7)"]
    )


def test_a_listed_test_that_passes_fails_the_run(suite: pytest.Pytester) -> None:
    known(suite, "test_some.py::test_green | nothing | issue 7")
    result = suite.runpytest()
    result.assert_outcomes(failed=2)
    assert result.ret == 1


@pytest.mark.parametrize(
    ("lines", "why"),
    [
        (["test_some.py::test_gone | it went | issue 7"], "no such test: test_some.py::test_gone"),
        (["test_some.py::test_red | no issue"], "each line is"),
        (["test_some.py::test_red | | issue 7"], "each line is"),
        ([RED, RED], "twice"),
        ([f"{RED}{n}".replace("test_red", f"test_red{n}") for n in range(4)], "4 tests; 3 at most"),
    ],
)
def test_a_line_that_cannot_be_right_fails_the_run(
    suite: pytest.Pytester, lines: list[str], why: str
) -> None:
    known(suite, *lines)
    result = suite.runpytest()
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*{why}*"])


def test_a_run_of_some_tests_does_not_ask_for_the_others(suite: pytest.Pytester) -> None:
    known(suite, RED)
    suite.makepyfile(test_other="def test_green():\n    pass\n")
    assert suite.runpytest("test_other.py").ret == 0
