"""Keeps the gateway's own entry in Consul up to date.

`register` decides which calls to make; this module sends them to the agent.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from time import monotonic

from quillroad.config import Config, Register
from quillroad.discovery.consul.register import AgentCall, Entry, Registration, RegistrationState
from quillroad.discovery.consul.token import token_headers
from quillroad.discovery.fetch import FetchError, fetch

log = logging.getLogger("quillroad.discovery.consul")

ANSWER_TIMEOUT_S = 1.0
ANSWER_LIMIT_BYTES = 64 * 1024  # the agent answers with at most one line
READY_CHECK_INTERVAL_S = 0.1  # between two checks of whether the gateway has usable hosts
NO_ANSWER = 0


class Registrar:
    """The entry of one gateway at its own agent.

    `ready` returns whether the gateway has usable hosts. While `is_serving` returns False, because
    a sibling process of this gateway serves, no call is made except to deregister.
    """

    def __init__(self, settings: Register, config: Config, ready: Callable[[], bool]) -> None:
        self._settings = settings
        self._ready = ready
        entry = Entry(
            settings.id or f"{settings.service}-{config.name}",
            settings.service,
            config.listen[0],
            config.listen[1],
            settings.ttl_s,
            (("gateway", config.name),),
        )
        self.registration = Registration(entry, monotonic())
        self.is_serving: Callable[[], bool] = lambda: True
        self._task: asyncio.Task[None] | None = None
        self._wake_up = asyncio.Event()

    def start(self) -> None:
        """Start the task that registers and updates the entry."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        registration = self.registration
        while (wait_s := registration.next_s(monotonic())) is not None:
            if not self.is_serving() and registration.state is not RegistrationState.LEAVING:
                await asyncio.sleep(READY_CHECK_INTERVAL_S)
                continue
            registration.serves(monotonic(), self._ready())
            if wait_s > 0.0 and registration.next_s(monotonic()):
                await self._sleep_until_woken(min(wait_s, READY_CHECK_INTERVAL_S))
                continue
            call = registration.call()
            status = await self._send(call)
            if line := registration.answered(monotonic(), call, status):
                log.info("consul: entry of this gateway: %s", line)

    async def _sleep_until_woken(self, timeout_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._wake_up.wait()
        self._wake_up.clear()

    async def _send(self, call: AgentCall) -> int:
        """Send a call; returns the status of the answer, or `NO_ANSWER`."""
        try:
            answer = await fetch(
                self._settings.agent,
                call.target,
                token_headers(self._settings.token_file),
                ANSWER_TIMEOUT_S,
                ANSWER_LIMIT_BYTES,
                method="PUT",
                body=call.body,
            )
        except (FetchError, OSError):
            return NO_ANSWER
        return answer.status

    async def leave(self) -> None:
        """Deregister; after 2 s without success the entry is left to expire by its TTL."""
        self.registration.leave(monotonic())
        self._wake_up.set()
        if self._task is not None:
            await asyncio.wait({self._task})

    def stop(self) -> None:
        """Stop making calls."""
        if self._task is not None:
            self._task.cancel()
