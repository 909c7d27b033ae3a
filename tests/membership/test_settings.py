"""The settings file: validation, defaults, membership off without peers; the `fleet` command."""

from __future__ import annotations

import ast
import dataclasses
import json
import time
from pathlib import Path

import pytest

from quillroad.__main__ import main
from quillroad.cli.fleet import differing
from quillroad.config import Config, ConfigError, Peers
from quillroad.membership.report import MemberLine, Report, write_report
from quillroad.membership.settings import load_fleet
from tests.imported_modules import modules_loaded_at_start
from tests.net import make_config

ROOT = Path(__file__).parent.parent.parent
ADDRESSES = tuple(("127.0.0.1", 7001 + n) for n in range(3))


def config(peers: Peers | None = Peers(("127.0.0.1", 7000), ADDRESSES)) -> Config:  # noqa: B008
    return dataclasses.replace(make_config(1), peers=peers)


def file(folder: Path, text: str) -> Path:
    path = folder / "fleet.toml"
    path.write_text(text)
    return path


def test_the_shipped_file_has_the_defaults(tmp_path: Path) -> None:
    shipped = load_fleet(ROOT / "deploy/fleet.toml", config())
    defaults = load_fleet(file(tmp_path, ""), config())
    assert shipped is not None and defaults is not None
    assert dataclasses.replace(shipped, roster=defaults.roster) == defaults


def test_without_peer_addresses_there_are_no_settings(tmp_path: Path) -> None:
    assert load_fleet(file(tmp_path, ""), config(None)) is None
    own = '[members]\nlisten = "127.0.0.1:1"\naddresses = ["127.0.0.1:2", "127.0.0.1:3"]'
    loaded = load_fleet(
        file(tmp_path, own), config(None)
    )  # addresses in the file are used even if the platform gives none
    assert loaded is not None and len(loaded.roster) == 2


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("[talk]\nperiod = 5", "talk.period"),
        ('[talk]\nanswer = "400 ms"', "talk.answer"),
        ("[talk]\nbytes_per_second = 100", "talk.bytes_per_second"),
        ("[talk]\nfleet_bytes_per_second = 2000", "talk.fleet_bytes_per_second"),
        ("[use]\nwindow = true", "use"),
        ('[use]\nhold = "0 s"', "use.hold"),
        ('[report]\nfile = "/no/such/folder/view"', "report.file"),
        ('[members]\nlisten = "here"', "members.listen"),
        ('[members]\neveryone = "127.0.0.1:9"', "members.everyone"),
        (
            '[members]\nlisten = "127.0.0.1:1"\neveryone = "x"\naddresses = ["127.0.0.1:1"]',
            "members.everyone",
        ),
        ('[members]\nlisten = "127.0.0.1:1"\naddresses = ["127.0.0.1:2"]', "members.addresses"),
        (
            '[members]\nlisten = "127.0.0.1:1"\naddresses = ["127.0.0.1:2", "127.0.0.1:2"]',
            "members.addresses",
        ),
    ],
)
def test_a_file_that_cannot_work_names_the_field(tmp_path: Path, text: str, field: str) -> None:
    with pytest.raises(ConfigError) as caught:
        load_fleet(file(tmp_path, text), config())
    assert field.rpartition(".")[0] in str(caught.value) and field.rpartition(".")[2] in str(
        caught.value
    )


def test_the_broadcast_address_comes_from_the_platform_or_the_file(tmp_path: Path) -> None:
    everyone = ("127.0.0.1", 9)
    loaded = load_fleet(file(tmp_path, ""), config(Peers(("127.0.0.1", 7000), ADDRESSES, everyone)))
    assert loaded is not None and loaded.roster.everyone == everyone
    members = (
        f'[members]\nlisten = "{ADDRESSES[0][0]}:{ADDRESSES[0][1]}"\neveryone = "127.0.0.1:9"\n'
    )
    members += f"addresses = {[f'{host}:{port}' for host, port in ADDRESSES]}"
    loaded = load_fleet(file(tmp_path, members), config(None))
    assert loaded is not None and loaded.roster.everyone == everyone
    none = load_fleet(file(tmp_path, ""), config())
    assert none is not None and none.roster.everyone is None


def test_a_small_send_budget_lengthens_the_periods(tmp_path: Path) -> None:
    limited = load_fleet(file(tmp_path, "[talk]\nfleet_bytes_per_second = 3072"), config())
    defaults = load_fleet(file(tmp_path, ""), config())
    assert limited is not None and defaults is not None
    assert (
        limited.timing.max_bytes_per_s == 1024
        and limited.timing.period_s > defaults.timing.period_s
    )


def report(number: int, state: str, *states: str) -> Report:
    others = [n for n in range(len(states) + 1) if n != number]
    lines = [MemberLine(n, s, 1, 2.0, 0.1, "heard", n) for n, s in zip(others, states, strict=True)]
    return Report(
        f"n{number}", number, time.time(), 3, 1, state, 4.0, 2, (number, 3), True, lines, {}, 0, 0
    )


def test_the_fleet_command_reports_where_views_differ(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    views = [report(0, "sound", "alive", "gone"), report(1, "sound", "alive", "alive")]
    assert differing(views) == {2: {"gone": [0], "alive": [1]}}
    for view in views:
        (tmp_path / f"{view.number}.json").write_bytes(write_report(view))
    names = [str(tmp_path / "0.json"), str(tmp_path / "1.json")]

    def run(*arguments: str) -> tuple[int, str]:
        monkeypatch.setattr("sys.argv", ["quillroad", "fleet", *arguments])
        return main(), capsys.readouterr().out

    status, text = run(*names)
    assert status == 3 and "gateway 2" in text and "0: gone; 1: alive" in text
    status, text = run("--json", *names)
    assert json.loads(text)["differ"]["2"] == {"gone": [0], "alive": [1]}
    assert run(names[1])[0] == 0
    assert run(names[1], str(tmp_path / "none.json"))[0] == 1
    (tmp_path / "2.json").write_bytes(write_report(report(2, "alone", "gone", "gone")))
    assert run(str(tmp_path / "2.json"))[0] == 3


IO = {"asyncio", "socket", "time", "random", "os", "threading"}


def test_only_the_transport_and_the_service_do_io() -> None:
    """The core takes time and randomness as arguments; otherwise simulation runs would not be
    reproducible."""
    for path in sorted((ROOT / "quillroad/membership").glob("*.py")):
        names = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                names |= {alias.name.partition(".")[0] for alias in node.names}
            elif isinstance(node, ast.ImportFrom):
                names.add((node.module or "").partition(".")[0])
        assert path.name in ("service.py", "transport.py") or not names & IO, path
        assert path.name == "transport.py" or "socket" not in names, path


def test_the_package_is_not_imported_while_membership_is_off() -> None:
    unwanted = ("fleet", "quillroad.membership")
    loaded = modules_loaded_at_start()
    assert [name for name in loaded if any(part in name for part in unwanted)] == []
