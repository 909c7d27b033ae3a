"""`python -m testbed.counted FILE`: the gateway with every call counted.

Counted are calls of Python functions of the gateway's packages, calls of built-in functions from
them (sys.setprofile) and the interpreter's instructions in them (sys.settrace): figures that do not
depend on the machine's speed. SIGTERM ends it as it ends the gateway.
"""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from types import FrameType
from typing import Any

import quillroad
import quillroad.balancing
from quillroad.__main__ import main

OURS = tuple(
    str(Path(package.__file__ or "").parent) + os.sep
    for package in (quillroad.balancing, quillroad)
)


def run() -> int:
    """Run the gateway and write the counts to the file that the last argument names."""
    file = sys.argv.pop()
    counts = {"call": 0, "c_call": 0, "opcode": 0}
    known: dict[str, bool] = {}

    def ours(frame: FrameType) -> bool:
        """Whether a frame runs code of the gateway's packages."""
        name = frame.f_code.co_filename
        found = known.get(name)
        if found is None:
            found = known[name] = name.startswith(OURS)
        return found

    def count(frame: FrameType, event: str, _argument: Any) -> None:
        """Count a call: the callback of `sys.setprofile`."""
        if event in counts and ours(frame):
            counts[event] += 1

    def step(_frame: FrameType, event: str, _argument: Any) -> Any:
        """Count an instruction: the callback of `sys.settrace` inside a frame."""
        counts["opcode"] += event == "opcode"
        return step

    def enter(frame: FrameType, _event: str, _argument: Any) -> Any:
        """Trace instructions of the gateway's frames only: the callback of `sys.settrace`."""
        if not ours(frame):
            return None
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return step

    sys.settrace(enter)
    sys.setprofile(count)
    try:
        return main()
    finally:
        sys.setprofile(None)
        sys.settrace(None)
        names = {"python calls": "call", "built-in calls": "c_call", "instructions": "opcode"}
        Path(file).write_text(json.dumps({name: counts[kind] for name, kind in names.items()}))


if __name__ == "__main__":
    sys.exit(run())
