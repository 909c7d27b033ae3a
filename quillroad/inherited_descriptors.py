"""Descriptors that a process was started with, beside its standard streams."""

from __future__ import annotations

import os

# Standard input, output and error have the descriptors below this one.
FIRST_AFTER_STREAMS = 3


def count_inherited_descriptors() -> int:
    """How many descriptors there are; called before the process opens any itself.

    Whoever starts a program may leave its own files and sockets open in it. Nothing here uses them,
    and they count against the process's limit all the same. 0 where the system does not tell.
    """
    try:
        names = os.listdir("/proc/self/fd")  # noqa: PTH208 - opens one descriptor, taken off below
    except OSError:
        return 0
    # The look itself has one, a low one where a standard stream is closed.
    return max(0, sum(int(name) >= FIRST_AFTER_STREAMS for name in names) - 1)
