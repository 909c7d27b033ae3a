"""What one run of a drawn deployment showed."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any

from testbed.drawn.account import Violation, by_rule

SHOWN_VIOLATIONS = 10


@dataclass(slots=True)
class DrawnResult:
    """What one run showed."""

    seed: int
    kinds: list[str]
    counts: dict[str, int]
    violations: list[Violation] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    deployment: dict[str, Any] = field(default_factory=dict)
    story: list[str] = field(default_factory=list)
    peak_mb: float = 0.0
    killed: int = 0
    longest_lag_s: float = 0.0
    needed_kinds: list[str] = field(default_factory=list)  # after the plan was made smaller
    log: str = ""

    @property
    def holds(self) -> bool:
        """Whether no rule was broken."""
        return not self.violations and not self.faults

    def report(self) -> dict[str, Any]:
        """The result as plain values for JSON; in short where everything held."""
        values = asdict(self)
        del values["log"]
        values["rules"] = by_rule(self.violations)
        values["violations"] = values["violations"][:SHOWN_VIOLATIONS]
        if self.holds:
            for detail in ("deployment", "story", "violations", "faults", "needed_kinds"):
                del values[detail]
        return values
