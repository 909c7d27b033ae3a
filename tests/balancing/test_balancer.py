"""The package as the operators have it: the deciding modules, and their size."""

from __future__ import annotations

import tomllib
from pathlib import Path

PACKAGE = Path(__file__).parent.parent.parent / "quillroad" / "balancing"
NOT_DECIDING = {  # types, and what is read and written at the edge
    "__init__.py",
    "actions.py",
    "endpoint.py",
    "events.py",
    "platform_settings.py",
    "settings.py",
    "simulator.py",
}


def test_the_deploy_file_lists_the_modules_that_decide() -> None:
    """Operators are told which files hold the decisions, and read them when one has to be
    explained."""
    modules = {path.name for path in PACKAGE.glob("*.py")}
    assert modules >= NOT_DECIDING
    told = tomllib.loads((PACKAGE.parent.parent / "deploy" / "balancer.toml").read_text())
    deciding = [f"quillroad/balancing/{name}" for name in sorted(modules - NOT_DECIDING)]
    assert sorted(told["policy"]) == deciding
    assert told["policy"][0] == "quillroad/balancing/balancer.py"  # where reading starts


def test_each_module_that_decides_is_read_at_one_go() -> None:
    """One job a file, and each file small: what a rule decides is found without a search."""
    for path in sorted(PACKAGE.glob("*.py")):
        lines = path.read_text().splitlines()
        assert len(lines) <= 400, path.name
        assert max(map(len, lines)) <= 100, path.name
    first = (PACKAGE / "balancer.py").read_text().splitlines()[0]
    assert "(`events`)" in first and "(`actions`)" in first
