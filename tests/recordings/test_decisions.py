"""The decisions are those on record: every action of every scenario, by a digest of its wire form.

`python -m tests.recordings.test_decisions --record` writes `decisions.json` anew. Only a change
that is meant to change decisions may do that, and its commit says which and why; a renaming, a
split or a faster form of the same rules must leave the file as it is. Counts stand beside the
digests to show where a difference lies. The program's names are used in `adapter.py` and
`bench/decisions.py` only.
"""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import Any

import pytest

from bench.decisions import digest
from tests.recordings.scenarios import SCENARIOS
from tests.recordings.world import Scenario, World

RECORDED = Path(__file__).with_name("decisions.json")
SEEDS = (1, 2, 3)
BENCH_REQUESTS = 20_000
CASES = [
    pytest.param(scenario, seed, id=f"{scenario.name}-{seed}")
    for scenario in SCENARIOS
    for seed in SEEDS
]


def played(scenario: Scenario, seed: int) -> dict[str, Any]:
    """What is on record of a scenario and seed."""
    world = World(scenario, seed)
    world.play()
    return {
        "digest": world.digest.hexdigest(),
        "actions": world.actions.total(),
        "by_name": dict(sorted(world.actions.items())),
        "seen": dict(sorted((name, count) for name, count in world.seen.items() if count)),
    }


def missing(scenario: Scenario, result: dict[str, Any]) -> list[str]:
    """What should have happened in the scenario, and did not often enough."""
    counts = result["by_name"] | result["seen"]
    return [
        f"{name}: {counts.get(name, 0)}, {least} wanted"
        for name, least in scenario.least.items()
        if counts.get(name, 0) < least
    ]


def bench_result(seed: int) -> dict[str, Any]:
    found, count = digest(seed, BENCH_REQUESTS)
    return {"digest": found, "actions": count}


def recorded() -> dict[str, Any]:
    known: dict[str, Any] = json.loads(RECORDED.read_text())
    return known


def test_the_record_has_every_scenario_and_no_other() -> None:
    wanted = {scenario.name: {str(seed) for seed in SEEDS} for scenario in SCENARIOS}
    assert {name: set(seeds) for name, seeds in recorded()["scenarios"].items()} == wanted
    assert set(recorded()["bench"]) == {str(seed) for seed in SEEDS}


@pytest.mark.parametrize(("scenario", "seed"), CASES)
def test_decisions_are_those_on_record(scenario: Scenario, seed: int) -> None:
    result = played(scenario, seed)
    assert missing(scenario, result) == []
    known = recorded()["scenarios"][scenario.name][str(seed)]
    assert result["by_name"] == known["by_name"]
    assert result["seen"] == known["seen"]
    assert result == known


@pytest.mark.parametrize("seed", SEEDS)
def test_decisions_of_the_bench_are_those_on_record(seed: int) -> None:
    assert bench_result(seed) == recorded()["bench"][str(seed)]


def record() -> int:
    """Write the file; nothing, and status 1, where a scenario does not do what it is for."""
    scenarios: dict[str, dict[str, Any]] = {}
    lacking = []
    for scenario in SCENARIOS:
        scenarios[scenario.name] = {str(seed): played(scenario, seed) for seed in SEEDS}
        lacking += [
            f"{scenario.name}, seed {seed}: {line}"
            for seed, result in scenarios[scenario.name].items()
            for line in missing(scenario, result)
        ]
    if lacking:
        print(*lacking, sep="\n", file=sys.stderr)
        return 1
    bench = {str(seed): bench_result(seed) for seed in SEEDS}
    RECORDED.write_text(json.dumps({"bench": bench, "scenarios": scenarios}, indent=1) + "\n")
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description="Plays the recorded scenarios.")
    parser.add_argument("--record", action="store_true", help="write decisions.json anew")
    if not parser.parse_args().record:
        parser.error("--record writes the file anew; to compare with it, run pytest")
    return record()


if __name__ == "__main__":
    sys.exit(main())
