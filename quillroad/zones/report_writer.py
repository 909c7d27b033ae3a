"""Writes the report of cross-zone traffic to its file, again and again, without a stop of the loop.

One `ReportWriter` owns the task that writes, and the knowledge of whether the file can be written.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from quillroad.files import replace_file

log = logging.getLogger("quillroad.zones")


class ReportWriter:
    """Writes what `encode` returns to `path()` every `interval_s()` seconds.

    Both are asked each time, since a reload changes them; with no path nothing is written, nor
    while `is_serving()` is false: of two processes of one gateway only one may write the file.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        encode: Callable[[], bytes],
        path: Callable[[], Path | None],
        interval_s: Callable[[], float],
        is_serving: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._encode = encode
        self._path = path
        self._interval_s = interval_s
        self._is_serving = is_serving
        self._task: asyncio.Task[None] | None = None
        self._is_writing = False
        self._is_failing = False

    @property
    def is_started(self) -> bool:
        """Whether `start` was called, and `stop` was not."""
        return self._task is not None

    def start(self) -> None:
        """Write now, and then again and again."""
        self._task = self._loop.create_task(self._run())

    def stop(self) -> None:
        """Write the last report, unless a write is still under way: the disk may hang."""
        if self._task is None:
            return
        self._task.cancel()
        self._task = None
        path = self._path()
        if path is None or self._is_writing or not self._is_serving():
            return
        try:
            replace_file(path, self._encode())
        except OSError as error:
            log.error("the report cannot be written: %s", error)

    async def _run(self) -> None:
        while True:
            path = self._path()
            interval_s = self._interval_s()
            if path is not None and self._is_serving():
                await self._write(path)
            await asyncio.sleep(interval_s)

    async def _write(self, path: Path) -> None:
        """Write one report in a thread.

        On the event loop a disk that hangs would stop every request. One write at a time: else a
        disk that hangs would take one thread after the other.
        """
        data = self._encode()
        self._is_writing = True
        write = self._loop.run_in_executor(None, replace_file, path, data)
        write.add_done_callback(self._on_written)
        await asyncio.wait({write})

    def _on_written(self, write: asyncio.Future[None]) -> None:
        """Say in the log when writes begin to fail and when they succeed again, each once."""
        self._is_writing = False
        error = None if write.cancelled() else write.exception()
        was_failing = self._is_failing
        self._is_failing = error is not None
        if error is not None and not was_failing:
            log.error("the report cannot be written: %s", error)
        if error is None and was_failing:
            log.info("the report is written again")
