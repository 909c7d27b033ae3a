"""Tasks that belong to one object: they are awaited at its end, and none fails unseen."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine

log = logging.getLogger("quillroad.upgrade")


class OwnedTasks:
    """Tasks of one owner, which keeps a reference to each: the event loop has weak ones only.

    `on_fault` is called after each that ends by an exception.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_fault: Callable[[], None] = lambda: None
    ) -> None:
        self._loop = loop
        self._on_fault = on_fault
        self._running: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task, which is kept until its end."""
        task = self._loop.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task of the upgrade failed", exc_info=task.exception())
            self._on_fault()

    async def close(self) -> None:
        """Cancel all that still run, and wait for them."""
        for task in list(self._running):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
