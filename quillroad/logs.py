"""The process's log: lines on standard error, a bounded number of them a second."""

from __future__ import annotations

import logging
import sys

# Lines that pass in one stretch of time. One error a request would otherwise become thousands of
# lines a second, and writing them takes the core from the requests.
MAX_LINES = 50
STRETCH_S = 1.0


class RateLimit(logging.Filter):
    """Passes `MAX_LINES` lines in `STRETCH_S` seconds, and says how many it left out before."""

    def __init__(self) -> None:
        super().__init__()
        self._stretch_start = 0.0
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line passes; adds the number left out to the first line of a stretch."""
        if record.created - self._stretch_start >= STRETCH_S:
            left_out = self._lines - MAX_LINES
            if left_out > 0:
                record.msg = f"{record.getMessage()} ({left_out} left out)"
                record.args = ()
            self._stretch_start = record.created
            self._lines = 0
        self._lines += 1
        return self._lines <= MAX_LINES


def start_log() -> None:
    """Write the log to standard error from now on."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimit())
    handler.setFormatter(
        logging.Formatter("%(asctime)s.%(msecs)03d %(name)s: %(message)s", "%H:%M:%S")
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])
