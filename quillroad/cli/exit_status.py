"""The statuses that commands exit with, which scripts of operators go by."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """What a command's exit status says."""

    OK = 0
    FAILED = 1
    """A report cannot be read, the gateway refused, or the demo broke a rule."""
    BAD_INPUT = 2
    """A configuration or a command line that cannot work."""
    DIFFERING = 3
    """Gateways see each other differently, or one of them is not sound."""
    INTERRUPTED = 130
    """By Ctrl-C, as shells report it (128 + SIGINT)."""
