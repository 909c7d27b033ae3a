"""Background tasks of one owner: failures are logged, and `close` cancels and awaits them all."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine

log = logging.getLogger("quillroad.upgrade")


class OwnedTasks:
    """Background tasks of one owner.

    Holds a reference to each running task, since the event loop keeps only weak ones. `on_fault`
    is called after each task that ends with an exception.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_fault: Callable[[], None] = lambda: None
    ) -> None:
        self._loop = loop
        self._on_fault = on_fault
        self._running: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task, and keep a reference to the task until it is done."""
        task = self._loop.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task of the upgrade failed", exc_info=task.exception())
            self._on_fault()

    async def close(self) -> None:
        """Cancel all running tasks and wait until they have ended."""
        for task in list(self._running):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
