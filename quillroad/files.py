"""Writing report files in a background thread, so that the event loop is not blocked."""

from __future__ import annotations

import asyncio
import logging
import os
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

log = logging.getLogger("quillroad.files")

# Lines that may be pending while the disk is stalled (a few MB); further lines are dropped and
# counted.
MAX_PENDING_LINES = 10_000


class FileWriter:
    """Writes files in a dedicated thread.

    Writing reports in the event loop would delay all requests until the disk is done. If a file is
    replaced faster than the disk can write it, only the newest content is written. Failed writes
    are logged.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._executor = ThreadPoolExecutor(1, "files")
        self._replacements: dict[Path, bytes] = {}
        self._lines: dict[Path, list[str]] = {}
        self._pending_lines = 0  # lines not yet handed to the thread
        self.dropped_lines = 0  # lines appended while too many were pending
        self._writing = False  # whether the thread is writing

    def replace(self, path: Path, data: bytes) -> None:
        """Replace the content of a file atomically: a reader sees the old or the new content."""
        self._replacements[path] = data
        self._start_write()

    def append(self, path: Path, line: str) -> None:
        """Append a line to a file, or drop it if `MAX_PENDING_LINES` are pending."""
        if self._pending_lines >= MAX_PENDING_LINES:
            self.dropped_lines += 1
            return
        self._pending_lines += 1
        self._lines.setdefault(path, []).append(line)
        self._start_write()

    def close(self) -> None:
        """Write what is pending, then end the thread. The writer cannot be used afterwards."""
        if self._replacements or self._lines:
            # Runs after the write in progress.
            self._executor.submit(_write, self._replacements, self._lines)
            self._replacements = {}
            self._lines = {}
        self._executor.shutdown(wait=False)

    def _start_write(self) -> None:
        """Hand the pending content to the thread, unless it is writing."""
        if self._writing or not (self._replacements or self._lines):
            return
        self._writing = True
        replacements, lines = self._replacements, self._lines
        self._replacements = {}
        self._lines = {}
        self._pending_lines = 0
        write = self._loop.run_in_executor(self._executor, _write, replacements, lines)
        write.add_done_callback(self._on_written)

    def _on_written(self, write: asyncio.Future[str | None]) -> None:
        self._writing = False
        if not write.cancelled() and (error := write.result()) is not None:
            log.error("%s", error)
        self._start_write()


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file atomically with rename(2), so that a reader never sees a partial file.

    Raises OSError if the file cannot be written; the previous file is then unchanged.
    """
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        temporary.write_bytes(data)
        temporary.replace(path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise


def _write(replacements: dict[Path, bytes], lines: dict[Path, list[str]]) -> str | None:
    """Append the lines, then replace files.

    The lines come first, so that a reader of a replaced file already finds the lines that led to
    its content. Stops at the first file that cannot be written and returns an error message that
    names it; returns None if everything was written.
    """
    path = Path()
    try:
        for path, new_lines in lines.items():
            with path.open("a", encoding="utf-8") as file:
                file.write("".join(f"{line}\n" for line in new_lines))
        for path, data in replacements.items():
            replace_file(path, data)
    except OSError as error:
        return f"cannot write {path}: {error.strerror}"
    return None
