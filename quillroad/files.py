"""Files that a gateway writes for people, without holding up the event loop."""

from __future__ import annotations

import asyncio
import logging
import os
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

log = logging.getLogger("quillroad.files")

# Lines that may wait for a disk that stands still, some MB; what comes then is left out and
# counted.
MAX_WAITING_LINES = 10_000


class FileWriter:
    """Writes files in a thread of its own.

    Written by the event loop, reports hold up all requests for as long as the disk takes. Of a file
    that is replaced faster than the disk takes it, only the newest state is written. What could not
    be written is said in the log.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pool = ThreadPoolExecutor(1, "files")
        self._replacements: dict[Path, bytes] = {}
        self._lines: dict[Path, list[str]] = {}
        self._waiting = 0  # lines that have not been given to the thread
        self.left_out = 0  # lines that came while too many waited
        self._busy = False  # the thread writes

    def replace(self, path: Path, data: bytes) -> None:
        """Write a file anew, so that a reader sees the old one or the new one, never half of it."""
        self._replacements[path] = data
        self._begin()

    def append(self, path: Path, line: str) -> None:
        """Add a line to a file; it is left out where too many wait for the disk."""
        if self._waiting >= MAX_WAITING_LINES:
            self.left_out += 1
            return
        self._waiting += 1
        self._lines.setdefault(path, []).append(line)
        self._begin()

    def close(self) -> None:
        """Write what was given so far, and end the thread; nothing may be given after this."""
        if self._replacements or self._lines:
            # Behind what is being written.
            self._pool.submit(_write, self._replacements, self._lines)
            self._replacements = {}
            self._lines = {}
        self._pool.shutdown(wait=False)

    def _begin(self) -> None:
        """Give the thread what waits, if it is free."""
        if self._busy or not (self._replacements or self._lines):
            return
        self._busy = True
        replacements, lines = self._replacements, self._lines
        self._replacements = {}
        self._lines = {}
        self._waiting = 0
        write = self._loop.run_in_executor(self._pool, _write, replacements, lines)
        write.add_done_callback(self._done)

    def _done(self, write: asyncio.Future[str | None]) -> None:
        self._busy = False
        if not write.cancelled() and (error := write.result()) is not None:
            log.error("%s", error)
        self._begin()


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file as a whole, so that a reader never finds half of one (rename(2)).

    Raises OSError where that cannot be done; the file before stays then.
    """
    part = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        part.write_bytes(data)
        part.replace(path)
    except OSError:
        part.unlink(missing_ok=True)
        raise


def _write(replacements: dict[Path, bytes], lines: dict[Path, list[str]]) -> str | None:
    """Write lines first, so that a reader of a state finds what led to it.

    Returns which file could not be written and why, and leaves out what comes after it; None where
    all was written.
    """
    path = Path()
    try:
        for path, added in lines.items():
            with path.open("a", encoding="utf-8") as file:
                file.write("".join(f"{line}\n" for line in added))
        for path, data in replacements.items():
            replace_file(path, data)
    except OSError as error:
        return f"cannot write {path}: {error.strerror}"
    return None
