"""The log of the process: rate-limited lines on standard error."""

from __future__ import annotations

import logging
import sys

# Log lines written per window. Without this limit, one error per request would become thousands of
# lines a second, and writing them would take CPU time from the requests.
MAX_LINES_PER_WINDOW = 50
WINDOW_S = 1.0


class RateLimit(logging.Filter):
    """Passes `MAX_LINES_PER_WINDOW` records per `WINDOW_S` seconds, counts those it suppresses."""

    def __init__(self) -> None:
        super().__init__()
        self._window_start = 0.0
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is logged.

        The first record of a window reports how many were suppressed in the window before.
        """
        # The wall clock may be set back, by an hour too.
        if not 0.0 <= record.created - self._window_start < WINDOW_S:
            suppressed = self._lines - MAX_LINES_PER_WINDOW
            if suppressed > 0:
                record.msg = f"{record.getMessage()} ({suppressed} lines suppressed)"
                record.args = ()
            self._window_start = record.created
            self._lines = 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_WINDOW


def start_log() -> None:
    """Configure the root logger: rate-limited lines on standard error, level INFO."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimit())
    handler.setFormatter(
        logging.Formatter("%(asctime)s.%(msecs)03d %(name)s: %(message)s", "%H:%M:%S")
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])
