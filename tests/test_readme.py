"""The README's example runs as it stands there."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

README = Path(__file__).parent.parent / "README.md"


def test_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert len(blocks) == 1
    exec(compile(blocks[0], "README.md", "exec"), {})
    assert "send request 1" in capsys.readouterr().out


def test_test_command_is_what_ci_runs() -> None:
    command = ".venv-dev/bin/python -m pytest"
    assert f"\n{command}\n" in README.read_text()
    assert f"\n{command}\n" in (README.parent / ".ci" / "run").read_text()
