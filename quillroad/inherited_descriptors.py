"""Descriptors that a process was started with, beside its standard streams."""

from __future__ import annotations

import os

STREAMS = 3


def inherited() -> int:
    """How many there are now; called before the process opens any itself. Whoever starts a program may leave
    its own files and sockets open in it: nothing here uses them, and they count against its limit all the
    same. 0 where the system does not tell."""
    try:
        told = [int(name) for name in os.listdir("/proc/self/fd")]
    except OSError:
        return 0
    # One is that of this look itself, a low one where a standard stream is closed.
    return max(0, sum(number >= STREAMS for number in told) - 1)
