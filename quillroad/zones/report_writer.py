"""Periodically writes the cross-zone report to its file without blocking the event loop.

`ReportWriter` owns the writing task and remembers whether the last write failed.
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

    Both are called before each write because a reload can change them. Nothing is written while
    `path()` is None or `is_serving()` is false: during an upgrade two processes of a gateway share
    the file, and only the serving one may write it.
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
        """Whether `start` was called and `stop` has not been called since."""
        return self._task is not None

    def start(self) -> None:
        """Start the task that writes a report now and then at each interval."""
        self._task = self._loop.create_task(self._run())

    def stop(self) -> None:
        """Stop the task and write a final report, blocking the event loop.

        Skips the final report while another write is in progress: the disk may be hanging, and the
        final write would then block the stop.
        """
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
            log.error("the cross-zone report cannot be written: %s", error)

    async def _run(self) -> None:
        while True:
            path = self._path()
            interval_s = self._interval_s()
            if path is not None and self._is_serving():
                await self._write(path)
            await asyncio.sleep(interval_s)

    async def _write(self, path: Path) -> None:
        """Write one report in a thread and wait for it.

        Written on the event loop, a hanging disk would block every request. Without the wait, a
        hanging disk would occupy one more thread of the pool with each interval.
        """
        data = self._encode()
        self._is_writing = True
        write = self._loop.run_in_executor(None, replace_file, path, data)
        write.add_done_callback(self._on_written)
        await asyncio.wait({write})

    def _on_written(self, write: asyncio.Future[None]) -> None:
        """Log the first failed write and the first successful one after it."""
        self._is_writing = False
        error = None if write.cancelled() else write.exception()
        was_failing = self._is_failing
        self._is_failing = error is not None
        if error is not None and not was_failing:
            log.error("the cross-zone report cannot be written: %s", error)
        if error is None and was_failing:
            log.info("the cross-zone report can be written again")
