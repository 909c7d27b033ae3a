"""A ration of CPU time for one process, without privileges: it is stopped after its part."""

from __future__ import annotations

import os
import signal
import time
from pathlib import Path

POLL_S = 0.001  # between two reads of the CPU time that it has used


def used_s(pid: int) -> float:
    """CPU time of a process so far, in seconds (schedstat of proc(5), first field, nanoseconds)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def ration(pid: int, fraction: float, period_s: float, seconds: float) -> int:
    """Let a process use the part `fraction` (0 to 1) of each `period_s`.

    Ends after `seconds`, or with the process. Returns how often it was stopped. A process that
    still lives is left running.
    """
    end = time.monotonic() + seconds
    stops = 0
    try:
        while (began := time.monotonic()) < end:
            before = used_s(pid)
            while (now := time.monotonic()) < began + period_s:
                if used_s(pid) - before >= fraction * period_s:
                    os.kill(pid, signal.SIGSTOP)
                    stops += 1
                    time.sleep(max(0.0, began + period_s - now))
                    os.kill(pid, signal.SIGCONT)
                    break
                time.sleep(POLL_S)
    except (ProcessLookupError, FileNotFoundError):
        return stops
    return stops
