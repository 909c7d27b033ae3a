"""A ration of CPU time for one process, without privileges: it is stopped whenever it has used its part."""

from __future__ import annotations

import os
import signal
import time
from pathlib import Path

LOOK_S = 0.001  # between two looks at what it has used


def used_s(pid: int) -> float:
    """CPU time of a process so far, in seconds (schedstat of proc(5), first field, nanoseconds)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def ration(pid: int, share: float, period_s: float, seconds: float) -> int:
    """Let the process use `share` (0 to 1) of each `period_s`, for so many seconds or until it ends; returns
    how often it was stopped. Ends with the process running."""
    end, stops = time.monotonic() + seconds, 0
    try:
        while (began := time.monotonic()) < end:
            before = used_s(pid)
            while (now := time.monotonic()) < began + period_s:
                if used_s(pid) - before >= share * period_s:
                    os.kill(pid, signal.SIGSTOP)
                    stops += 1
                    time.sleep(max(0.0, began + period_s - now))
                    os.kill(pid, signal.SIGCONT)
                    break
                time.sleep(LOOK_S)
    except (ProcessLookupError, FileNotFoundError):
        return stops
    return stops
