"""Helpers shared by the overload tests."""

from __future__ import annotations

import time


def block_process(seconds: float) -> None:
    """Block the whole process, as SIGSTOP or a long loop iteration does."""
    time.sleep(seconds)
