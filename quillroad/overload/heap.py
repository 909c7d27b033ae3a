"""Makes the C library return memory to the system when it is freed."""

from __future__ import annotations

import ctypes
import logging
from functools import cache

log = logging.getLogger("quillroad.overload")

M_MMAP_THRESHOLD = -3  # parameter number, see mallopt(3)
# Blocks of at least this size get a memory mapping of their own, which is removed when the block is
# freed. By default glibc raises the threshold whenever a larger mapped block is freed, up to 32 MB,
# and allocates smaller blocks on the heap from then on, where bodies of many sizes cause
# fragmentation that is never returned to the system.
MMAP_THRESHOLD_BYTES = 64 * 1024


@cache
def fix_mmap_threshold() -> None:
    """Set a fixed mmap threshold for the process; called when the first long body is handled.

    Later calls do nothing. If the C library has no mallopt, this is logged, and the process may
    keep the memory of freed bodies.
    """
    try:
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    except (OSError, AttributeError):
        log.info(
            "mallopt is not available: memory of long bodies may not be returned to the system"
        )


def return_free_memory() -> None:
    """Return all free memory of the heap to the system, which takes some milliseconds.

    The heap shrinks by itself only from its end: after a peak, most of it stays resident.
    """
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        log.info("malloc_trim is not available: free memory may not be returned to the system")
