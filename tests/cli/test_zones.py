"""`quillroad zones`: the tables of a report, and how a watch ends."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from quillroad.cli import zones as zones_command
from quillroad.cli.exit_status import ExitStatus
from quillroad.cli.zones import STALE_S, render, zones
from quillroad.zones.report import NEVER_S
from tests.recordings.zones import FULL


def state_of(now: float) -> str:
    line = render(FULL, minutes=0, now=now)[0]
    assert isinstance(line, str)
    return line


def test_the_age_is_shown_only_of_a_stale_report() -> None:
    assert "old" not in state_of(FULL.at + STALE_S)
    assert state_of(FULL.at + STALE_S + 1.0).endswith("this is 11 s old")


@pytest.mark.parametrize(
    ("seconds", "shown"), [(NEVER_S, "never"), (0.0, "now"), (0.25, "0.2 s"), (12.0, "12.0 s")]
)
def test_the_time_until_an_attempt_is_allowed_is_shown_for_people(
    seconds: float, shown: str
) -> None:
    report = msgspec.structs.replace(FULL, allowed_in_s=[seconds, seconds])
    table = render(report, minutes=0, now=FULL.at)[1]
    assert not isinstance(table, str)
    assert list(table.columns[-1].cells) == [shown, shown]


def test_minutes_are_shown_only_where_they_are_asked_for() -> None:
    assert len(render(FULL, minutes=0, now=FULL.at)) == 3
    assert len(render(FULL, minutes=5, now=FULL.at)) == 4


def test_a_watch_shows_each_new_report_until_it_is_interrupted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An operator watches an outage and ends the watch by Ctrl-C, which is no failure."""
    file = tmp_path / "report.json"
    file.write_bytes(msgspec.json.encode(FULL))
    ages: list[float] = []

    def sleep(seconds: float) -> None:
        ages.append(seconds)
        if len(ages) == 2:
            raise KeyboardInterrupt
        file.write_bytes(msgspec.json.encode(msgspec.structs.replace(FULL, gateway="second")))

    monkeypatch.setattr(time, "sleep", sleep)
    result = CliRunner().invoke(zones, ["--watch", str(file)], standalone_mode=False)
    assert result.return_value == ExitStatus.OK
    assert ages == [zones_command.WATCH_INTERVAL_S] * 2
    assert "second: zone east is LOST" in result.output


def test_a_watch_of_a_report_that_goes_away_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "report.json"
    file.write_bytes(msgspec.json.encode(FULL))
    monkeypatch.setattr(time, "sleep", lambda _: file.unlink())
    result = CliRunner().invoke(zones, ["--watch", str(file)], standalone_mode=False)
    assert result.return_value == ExitStatus.FAILED
    assert f"quillroad: cannot read {file}: No such file or directory" in result.output
