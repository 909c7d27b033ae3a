"""Files that a gateway writes for people, without holding up the loop."""

from __future__ import annotations

import asyncio
import logging
import os
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

log = logging.getLogger("quillroad.files")

MOST_LINES = (
    10_000  # that wait for a disk that stands still; what comes then is left out and counted
)


class Writer:
    """Writes in a thread of its own. Written by the loop, ten reports a second of each of twelve gateways
    held their loops up for 0.2 to 0.8 s. Of a file that is replaced faster than the disk takes it only the
    newest state is written."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self._pool = loop, ThreadPoolExecutor(1, "files")
        self._whole: dict[Path, bytes] = {}
        self._lines: dict[Path, list[str]] = {}
        self._waiting = self.left_out = 0
        self._busy = False

    def replace(self, path: Path, data: bytes) -> None:
        """Write a file anew, so that who reads it sees the old one or the new one."""
        self._whole[path] = data
        self._begin()

    def append(self, path: Path, line: str) -> None:
        """Add a line to a file."""
        if self._waiting >= MOST_LINES:
            self.left_out += 1
            return
        self._waiting += 1
        self._lines.setdefault(path, []).append(line)
        self._begin()

    def close(self) -> None:
        """What was given so far is still written; nothing may come after this."""
        if self._whole or self._lines:
            self._pool.submit(_write, self._whole, self._lines)  # behind what is being written
            self._whole, self._lines = {}, {}
        self._pool.shutdown(wait=False)

    def _begin(self) -> None:
        if self._busy or not (self._whole or self._lines):
            return
        self._busy = True
        whole, self._whole = self._whole, {}
        lines, self._lines = self._lines, {}
        self._waiting = 0
        self._loop.run_in_executor(self._pool, _write, whole, lines).add_done_callback(self._done)

    def _done(self, future: asyncio.Future[str]) -> None:
        self._busy = False
        if not future.cancelled() and (error := future.result()):
            log.error("%s", error)
        self._begin()


def put(path: Path, data: bytes) -> None:
    """Replace a file as a whole, so that a reader never finds half of one (rename(2))."""
    part = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        part.write_bytes(data)
        part.replace(path)
    except OSError:
        part.unlink(missing_ok=True)
        raise


def _write(whole: dict[Path, bytes], lines: dict[Path, list[str]]) -> str:
    """Lines first: who reads a state finds what led to it. Returns what went wrong, empty: nothing."""
    error = ""
    try:
        for path, told in lines.items():
            with path.open("a", encoding="utf-8") as file:
                file.write("".join(f"{line}\n" for line in told))
        for path, data in whole.items():
            put(path, data)
    except OSError as failure:
        error = f"cannot write {path}: {failure.strerror}"
    return error
