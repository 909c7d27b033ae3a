"""Memory of long bodies goes back to the system when they are done with."""

from __future__ import annotations

import ctypes
import logging

log = logging.getLogger("quillroad.overload")

M_MMAP_THRESHOLD = -3  # mallopt(3)
# Blocks from this size on are the system's again at once. The C library raises its own limit with each long
# block that is freed, up to 32 MB, and from then on keeps them in a heap that bodies of many sizes tear up:
# on bulk+slow+pieces, seed 3, a gateway peaked at 79 MB, and at 67 MB with this.
BLOCK = 64 * 1024

_state = {"steady": False}


def steady() -> None:
    """Called with the first long body; does nothing after that, or where the C library has no such call."""
    if _state["steady"]:
        return
    _state["steady"] = True
    try:
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, BLOCK)
    except (OSError, AttributeError):
        log.info("the C library keeps memory of long bodies")
