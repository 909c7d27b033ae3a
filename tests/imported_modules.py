"""Which modules a gateway loads when it starts with every optional feature off."""

from __future__ import annotations

import json
import subprocess
import sys

from testbed.gateway import ROOT

TIMEOUT_S = 20.0
CODE = (
    "import json, sys, quillroad.__main__, quillroad.gateway, quillroad.start\n"
    "print(json.dumps(sorted(sys.modules)))"
)


def modules_loaded_at_start() -> list[str]:
    """Return the names of all modules that a new interpreter has loaded by then, sorted."""
    done = subprocess.run(
        [sys.executable, "-c", CODE],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=True,
    )
    names: list[str] = json.loads(done.stdout)
    return names
