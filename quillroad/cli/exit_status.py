"""Exit statuses of the commands. Operators' scripts depend on the numbers."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a command."""

    OK = 0
    FAILED = 1
    """A report could not be read, the gateway answered with an error or not at all, or the testbed
    of the demo found a violation."""
    BAD_INPUT = 2
    """Invalid configuration file or command line."""
    DIFFERING = 3
    """The views of gateways differ, or a gateway reports that it is not healthy."""
    INTERRUPTED = 130
    """Ended by Ctrl-C: 128 + SIGINT, as shells report it."""
