"""The README: its example runs, and its test command is the one of CI."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

README = Path(__file__).parent.parent / "README.md"


def test_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    examples = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert len(examples) == 1
    exec(compile(examples[0], "README.md", "exec"), {})
    assert "send request 1" in capsys.readouterr().out


def test_test_command_is_what_ci_runs() -> None:
    assert "\nscripts/test\n" in README.read_text()
    assert "scripts/test" in (README.parent / ".ci" / "run").read_text()


def test_demo_accounts_for_every_request() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "quillroad", "demo", "--seconds", "1.5"],
        cwd=README.parent,
        timeout=30,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert "every request accounted for, no rule broken" in completed.stdout
    assert "drains half way" in completed.stdout
