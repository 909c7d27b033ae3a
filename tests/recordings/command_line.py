"""Adapter: what the command line says, and the environment that the program reads."""

from __future__ import annotations

import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec

from quillroad.membership.report import write_report
from tests.config.test_file import VALID, VALID_CONSUL
from tests.recordings import fleet, zones
from tests.recordings.kinds import Documents

ROOT = Path(__file__).parent.parent.parent
PROGRAM = ROOT / "quillroad"
NAME = re.compile(r"\b(?:GW|QUILLROAD)_[A-Z][A-Z_]*\b")
BOUND_S = 60
FILES = {
    "good.toml": VALID,
    "consul.toml": VALID_CONSUL,
    "bad.toml": VALID.replace("580 ms", "580"),
    "broken.toml": "[",
    "upgrades.toml": 'control = "no-such-socket"',
    "junk.json": "[]",
    "fleet.json": write_report(fleet.REPORT).decode(),
    "zones.json": msgspec.json.encode(zones.FULL).decode(),
}
COMMANDS: tuple[tuple[str, ...], ...] = (  # each a process of its own
    ("check", "good.toml"),
    ("check", "bad.toml"),
    ("--config", "bad.toml"),
)
LINES: tuple[tuple[str, ...], ...] = (  # all in one process
    ("--help",),
    ("check", "--help"),
    ("demo", "--help"),
    ("fleet", "--help"),
    ("zones", "--help"),
    ("upgrade", "--help"),
    ("rollback", "--help"),
    ("status", "--help"),
    ("check", "consul.toml"),
    ("check", "broken.toml"),
    ("check", "none.toml"),
    ("check",),
    ("--no-such",),
    ("--config", "none.toml"),
    ("no-such",),
    ("fleet", "fleet.json"),
    ("fleet", "--json", "fleet.json"),
    ("fleet", "junk.json"),
    ("fleet", "none.json"),
    ("zones", "zones.json"),
    ("zones", "--minutes", "5", "zones.json"),
    ("zones", "junk.json"),
    ("zones", "none.json"),
    ("status", "--upgrades", "upgrades.toml"),
    ("status",),
    ("upgrade", "--check", "--upgrades", "upgrades.toml"),
    ("rollback", "--upgrades", "bad.toml"),
)
SEVERAL = """
import contextlib, io, json, sys
from quillroad.__main__ import main
told = []
for arguments in json.load(sys.stdin):
    sys.argv = ["quillroad", *arguments]
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = main()
    told.append([status, out.getvalue(), err.getvalue()])
json.dump(told, sys.stdout)
"""


def _environment() -> dict[str, str]:
    kept = {k: v for k, v in os.environ.items() if not NAME.match(k)}
    return kept | {
        "PYTHONPATH": str(ROOT),
        "COLUMNS": "120",
        "LINES": "40",
        "TERM": "dumb",
        "TZ": "UTC",
        "LC_ALL": "C.UTF-8",
        "PYTHONIOENCODING": "utf-8",
        "NO_COLOR": "1",
    }


def _run(folder: Path, arguments: list[str], given: str = "") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, *arguments],
        cwd=folder,
        env=_environment(),
        input=given,
        capture_output=True,
        text=True,
        timeout=BOUND_S,
        check=False,
    )


def _shown(status: int, out: str, err: str, folder: Path) -> str:
    text = f"status {status}\n{out}" + (f"error output:\n{err}" if err else "")
    text = text.replace(str(folder), "FOLDER").replace(str(ROOT), "ROOT")
    return "\n".join(line.rstrip() for line in text.split("\n"))


def commands() -> Documents:
    """Exit status and output of each command line."""
    told: dict[str, bytes | str] = {}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for file, text in FILES.items():
            (folder / file).write_text(text)
        for arguments in COMMANDS:
            done = _run(folder, ["-m", "quillroad", *arguments])
            told["quillroad " + " ".join(arguments)] = _shown(
                done.returncode, done.stdout, done.stderr, folder
            )
        several = _run(folder, ["-c", SEVERAL], msgspec.json.encode(LINES).decode())
        assert several.returncode == 0, several.stderr
        results = msgspec.json.decode(several.stdout, type=list[tuple[int, str, str]])
        for arguments, (status, out, err) in zip(LINES, results, strict=True):
            told["quillroad " + " ".join(arguments)] = _shown(status, out, err, folder)
    return told


def environment() -> Documents:
    """The names of variables that the program reads, as they stand in its source."""
    names = {name for file in PROGRAM.rglob("*.py") for name in NAME.findall(file.read_text())}
    return {"names": "\n".join(sorted(names))}
