"""Tests of `quillroad zones`: the tables of a report, and how `--watch` ends."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from quillroad.cli import zones as zones_command
from quillroad.cli.exit_status import ExitStatus
from quillroad.cli.zones import STALE_AGE_S, render, zones
from quillroad.zones.report import NEVER_S
from tests.recordings.zones import FULL


def state_line_at(now: float) -> str:
    line = render(FULL, minutes=0, now=now)[0]
    assert isinstance(line, str)
    return line


def test_age_is_shown_only_for_a_stale_report() -> None:
    assert "old" not in state_line_at(FULL.at + STALE_AGE_S)
    assert state_line_at(FULL.at + STALE_AGE_S + 1.0).endswith("this is 11 s old")


@pytest.mark.parametrize(
    ("seconds", "shown"), [(NEVER_S, "never"), (0.0, "now"), (0.25, "0.2 s"), (12.0, "12.0 s")]
)
def test_time_until_an_attempt_is_allowed_is_shown_as_text(seconds: float, shown: str) -> None:
    report = msgspec.structs.replace(FULL, allowed_in_s=[seconds, seconds])
    table = render(report, minutes=0, now=FULL.at)[1]
    assert not isinstance(table, str)
    assert list(table.columns[-1].cells) == [shown, shown]


def test_minute_table_is_shown_only_with_minutes() -> None:
    assert len(render(FULL, minutes=0, now=FULL.at)) == 3
    assert len(render(FULL, minutes=5, now=FULL.at)) == 4


def test_watch_shows_each_new_report_until_interrupted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Ctrl-C is the normal end of `--watch`, so it must not exit with a failure."""
    file = tmp_path / "report.json"
    file.write_bytes(msgspec.json.encode(FULL))
    sleeps_s: list[float] = []

    def sleep(seconds: float) -> None:
        sleeps_s.append(seconds)
        if len(sleeps_s) == 2:
            raise KeyboardInterrupt
        file.write_bytes(msgspec.json.encode(msgspec.structs.replace(FULL, gateway="second")))

    monkeypatch.setattr(time, "sleep", sleep)
    result = CliRunner().invoke(zones, ["--watch", str(file)], standalone_mode=False)
    assert result.return_value == ExitStatus.OK
    assert sleeps_s == [zones_command.WATCH_INTERVAL_S] * 2
    assert "second: zone east is LOST" in result.output


def test_watch_fails_when_the_report_is_deleted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loop must end with an error when the report file is deleted."""
    file = tmp_path / "report.json"
    file.write_bytes(msgspec.json.encode(FULL))
    monkeypatch.setattr(time, "sleep", lambda _: file.unlink())
    result = CliRunner().invoke(zones, ["--watch", str(file)], standalone_mode=False)
    assert result.return_value == ExitStatus.FAILED
    assert f"quillroad: cannot read {file}: No such file or directory" in result.output
