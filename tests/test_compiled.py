"""The mypyc build: same decisions as plain Python, and a fallback without a C compiler."""

from __future__ import annotations

import asyncio
import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from testbed.account import RequestClass, count_outcomes, total
from testbed.environment import Environment
from testbed.gateway import ROOT
from testbed.schedule import steady
from tests.net import on_loop, until

COMPILED = ROOT / "build" / "compiled"


def decision_digest(source_tree: Path, seed: int) -> list[str]:
    code = (
        "import quillroad.balancing.balancer, sys; from bench.decisions import digest\n"
        f"print(*digest({seed}, 4000), quillroad.balancing.balancer.__file__)"
    )
    completed = subprocess.run(
        [sys.executable, "-P", "-c", code],
        capture_output=True,
        text=True,
        timeout=120,
        check=True,
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": f"{source_tree}{os.pathsep}{ROOT}"},
    )
    return completed.stdout.split()


@pytest.mark.skipif(not COMPILED.exists(), reason="scripts/build was not run")
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_compiled_and_plain_code_decide_alike(seed: int) -> None:
    plain, compiled = decision_digest(ROOT, seed), decision_digest(COMPILED, seed)
    assert plain[:2] == compiled[:2] and int(plain[1]) > 5_000
    assert plain[2].startswith(str(ROOT / "quillroad")) and compiled[2].startswith(str(COMPILED))


@pytest.mark.skipif(not COMPILED.exists(), reason="scripts/build was not run")
@on_loop
async def test_workers_run_compiled_code_after_an_upgrade(tmp_path: Path) -> None:
    request_classes = [
        RequestClass("status-check", 0.58, 1.4),
        RequestClass("seat-checkout", 0.75, 1.9, keyed=True, body_bytes=200),
    ]
    upgrades = '[canary]\ntime = "300 ms"\n[times]\nstart = "5 s"'
    (library,) = COMPILED.glob("*__mypyc*.so")
    async with Environment(
        tmp_path, request_classes, hosts=4, delay=0.01, upgrades=upgrades, tree=COMPILED
    ) as environment:
        load = environment.load(weights=(3, 1), most=200)
        sending = asyncio.ensure_future(load.open_loop(steady(150.0, 60.0)))
        await until(lambda: len(load.records) > 30)
        assert (await environment.gateway.send_command("upgrade"))[-1] == "done"
        count = len(load.records)
        await until(lambda: len(load.records) > count + 60)
        for pid in environment.gateway.processes():
            if pid != environment.gateway.pid:
                # One shared library holds the code of all compiled modules. The extension file of
                # a module only refers to it, and is loaded only if plain Python imports that module
                # first.
                assert str(library) in Path(f"/proc/{pid}/maps").read_text()
        sending.cancel()
        await load.settle()
        totals = total(count_outcomes(load.records, request_classes).values())
        assert totals.sent == totals.within_objective + totals.after_objective + totals.rejected
        assert environment.violations(load) == [] and load.refused_connects == 0


def test_decisions_differ_by_seed() -> None:
    assert decision_digest(ROOT, 1)[0] != decision_digest(ROOT, 2)[0]


def test_build_without_a_compiler_copies_plain_python(tmp_path: Path) -> None:
    """Without a package index or C compiler, the build must still produce a runnable copy."""
    for name in ("quillroad", "scripts"):
        shutil.copytree(ROOT / name, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "requirements-build.txt", tmp_path)
    subprocess.run([sys.executable, "-m", "venv", "--without-pip", tmp_path / ".venv"], check=True)
    python = tmp_path / ".venv" / "bin" / "python"

    def build() -> str:
        return subprocess.run(
            [python, "scripts/compile.py"], cwd=tmp_path, capture_output=True, text=True, check=True
        ).stderr

    assert build().startswith("not compiled, plain Python is run: ")
    code = "import quillroad.balancing.balancer; print(quillroad.balancing.balancer.__file__)"
    output = subprocess.check_output([python, "-P", "-c", code], cwd=tmp_path, text=True)
    assert output.strip() == str(
        tmp_path / "build" / "compiled" / "quillroad" / "balancing" / "balancer.py"
    )
    assert build() == ""  # no source file has changed
    (tmp_path / "quillroad" / "gateway.py").write_text("changed = True\n")
    assert build() != ""
    assert (
        tmp_path / "build" / "compiled" / "quillroad" / "gateway.py"
    ).read_text() == "changed = True\n"
