"""The end of one worker process of a gateway: when it ends, and what it answers before.

A process ends by SIGTERM, by the loss of its supervisor, because another one has taken over, or by
an internal error.
"""

from __future__ import annotations

import asyncio
import logging
import socket

from quillroad.gateway import Gateway
from quillroad.upgrade.gateway_control import answer_and_stop
from quillroad.upgrade.owned_tasks import OwnedTasks
from quillroad.upgrade.worker_state import WorkerState

log = logging.getLogger("quillroad.upgrade")

LAST_GRANT_TIMEOUT_S = 0.05  # for a grant of the supervisor that may still be in transit


class WorkerLifetime:
    """The gateway of one process, until it ends.

    `end` is set once the process may exit, with `status`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._state = WorkerState()
        self._gateway: Gateway | None = None
        self._listener: socket.socket | None = None
        self._tasks = OwnedTasks(loop, on_fault=lambda: self._fail(1))
        self._ending = False
        self._finishing = False
        self.status = 0  # exit status of the process
        self.end = asyncio.Event()

    @property
    def gateway(self) -> Gateway:
        """The gateway, which must have been built."""
        assert self._gateway is not None
        return self._gateway

    def _has_sibling(self) -> bool:
        """Return whether there is a link to another process, which can take over connections."""
        raise NotImplementedError

    def _close_link(self) -> None:
        """Close the link to the other process, if there is one."""
        raise NotImplementedError

    async def _finish(self) -> None:
        """Answer open requests, migrate or close idle connections, then end.

        Requests of which a part has been received are answered too if they are complete in time.
        """
        if self._finishing:
            return
        self._finishing = True
        self._limit_end(told_by_signal=self._ending)
        if self._listener is not None and not self._state.accepts:
            self._listener.close()
        await answer_and_stop(self.gateway, self._must_close)
        self.end.set()

    def _must_close(self) -> bool:
        """Return whether idle connections must be closed, because no sibling takes them over.

        The server is marked as draining then.
        """
        if not self._has_sibling():
            self.gateway.server.draining = True
            return True
        return False

    def _limit_end(self, told_by_signal: bool) -> None:
        """Have every request answered before this process may be killed.

        `told_by_signal`: the whole gateway ends, not only this process of it.
        """
        self.gateway.begin_shutdown()

    def drain(self) -> None:
        """Answer open requests and end; called on SIGTERM and when the supervisor is lost."""
        if self._ending:
            return
        self._ending = True
        if self._gateway is not None:
            self._limit_end(told_by_signal=True)
        # A supervisor that ends during a switch first grants the listener to one worker, and that
        # message may still be in transit.
        self._loop.call_later(LAST_GRANT_TIMEOUT_S if self._state.yielded else 0.0, self._end)

    def _end(self) -> None:
        if self._gateway is None:
            self.end.set()
        elif self._state.accepts:
            self._tasks.start(self._drain())
        else:
            self._close_link()
            self._tasks.start(self._finish())

    async def _drain(self) -> None:
        log.info("draining")
        await self.gateway.drain()
        self.gateway.stop()
        log.info("drained")
        self.end.set()

    def _fail(self, status: int) -> None:
        """End the process with this exit status, which is not 0."""
        self.status = status
        self.end.set()

    async def close(self) -> None:
        """Cancel the remaining tasks and wait for them."""
        await self._tasks.close()
