"""Memory of long bodies goes back to the system as soon as they are freed."""

from __future__ import annotations

import ctypes
import logging
from functools import cache

log = logging.getLogger("quillroad.overload")

M_MMAP_THRESHOLD = -3  # parameter number of mallopt(3)
# Blocks of at least so many bytes are mapped one by one, and unmapped when freed. The C library
# raises its own threshold with each long block that is freed, up to 32 MB, and keeps such blocks in
# a heap from then on, where bodies of many sizes leave holes that never go back to the system.
MMAP_THRESHOLD_BYTES = 64 * 1024


@cache
def fix_mmap_threshold() -> None:
    """Fix the size from which on freed blocks go back to the system; called with a long body.

    The first call sets it for the process, later ones do nothing. Where the C library has no such
    call, a line in the log says so and memory stays with the process.
    """
    try:
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    except (OSError, AttributeError):
        log.info("the C library keeps memory of long bodies")
