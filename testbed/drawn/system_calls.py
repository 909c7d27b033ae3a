"""Failing system calls and clock steps in gateway processes, by a preloaded library.

The library is compiled from `system_calls.c` where there is a C compiler.
"""

from __future__ import annotations

import mmap
import shutil
import struct
import subprocess
import time
from pathlib import Path

SOURCE = Path(__file__).with_name("system_calls.c")
CONTROL = struct.Struct("ddd")  # the fields of `struct control`
VARIABLE = "TESTBED_SYSTEM_CALLS"
COMPILE_TIMEOUT_S = 60


def compile_library(folder: Path) -> Path | None:
    """Compile the library into a folder; None without a C compiler.

    Raises `subprocess.CalledProcessError` if the source does not compile.
    """
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        return None
    library = folder / "system_calls.so"
    subprocess.run(
        [compiler, "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"],
        check=True,
        timeout=COMPILE_TIMEOUT_S,
    )
    return library


class SystemCalls:
    """The system calls of all gateway processes of a run."""

    def __init__(self, folder: Path, library: Path) -> None:
        path = folder / "system_calls.control"
        path.write_bytes(bytes(CONTROL.size))
        self._file = path.open("r+b")
        self._map = mmap.mmap(self._file.fileno(), CONTROL.size)
        self.environment = {"LD_PRELOAD": str(library), VARIABLE: str(path)}
        self._fail_until = 0.0
        self._chance = 0.0
        self.clock_step_s = 0.0

    def fail(self, seconds: float, chance: float) -> None:
        """Let each call fail by this chance (0 to 1), for so long."""
        self._fail_until = time.monotonic() + seconds
        self._chance = chance
        self._store()

    def step_clock(self, seconds: float) -> None:
        """Step the wall clock of the gateways by so many seconds."""
        self.clock_step_s += seconds
        self._store()

    def _store(self) -> None:
        CONTROL.pack_into(self._map, 0, self._fail_until, self._chance, self.clock_step_s)

    def close(self) -> None:
        """Release the file."""
        self._map.close()
        self._file.close()
