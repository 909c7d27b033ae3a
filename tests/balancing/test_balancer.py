"""The list of decision modules in the deploy file, and the size of the modules."""

from __future__ import annotations

import tomllib
from pathlib import Path

PACKAGE = Path(__file__).parent.parent.parent / "quillroad" / "balancing"
NON_DECISION_MODULES = {  # types, settings and the simulator's protocol
    "__init__.py",
    "actions.py",
    "endpoint.py",
    "events.py",
    "platform_settings.py",
    "settings.py",
    "simulator.py",
}


def test_deploy_file_lists_all_decision_modules() -> None:
    """Operators use the list in the deploy file to find the code behind a decision; they would not
    find the code of a missing module."""
    modules = {path.name for path in PACKAGE.glob("*.py")}
    assert modules >= NON_DECISION_MODULES
    deploy_file = tomllib.loads((PACKAGE.parent.parent / "deploy" / "balancer.toml").read_text())
    decision_modules = [
        f"quillroad/balancing/{name}" for name in sorted(modules - NON_DECISION_MODULES)
    ]
    assert sorted(deploy_file["policy"]) == decision_modules
    # The entry point comes first.
    assert deploy_file["policy"][0] == "quillroad/balancing/balancer.py"


def test_modules_stay_within_400_lines_of_100_characters() -> None:
    """Long modules and lines make it hard to find what a rule decides."""
    for path in sorted(PACKAGE.glob("*.py")):
        lines = path.read_text().splitlines()
        assert len(lines) <= 400, path.name
        assert max(map(len, lines)) <= 100, path.name
    first_line = (PACKAGE / "balancer.py").read_text().splitlines()[0]
    assert "(`events`)" in first_line and "(`actions`)" in first_line
