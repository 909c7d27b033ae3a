"""File descriptors that the process inherited, besides its standard streams."""

from __future__ import annotations

import os

# Standard input, output and error are descriptors 0 to 2.
FIRST_NON_STANDARD_DESCRIPTOR = 3


def count_inherited_descriptors() -> int:
    """Return the number of inherited descriptors; call before the process opens its own.

    A parent process may leave files and sockets open in its child. The gateway does not use them,
    but they count towards the descriptor limit of the process. Returns 0 on systems without
    `/proc/self/fd`.
    """
    try:
        names = os.listdir("/proc/self/fd")  # noqa: PTH208 - opens one descriptor, subtracted below
    except OSError:
        return 0
    # Listing the directory opens one descriptor; it may be below 3 if a standard stream is closed.
    return max(0, sum(int(name) >= FIRST_NON_STANDARD_DESCRIPTOR for name in names) - 1)
