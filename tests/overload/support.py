"""What several tests of overload protection use."""

from __future__ import annotations

import time


def stand_still(seconds: float) -> None:
    """Hold up the whole process, as a stopped machine or a long turn does."""
    time.sleep(seconds)
