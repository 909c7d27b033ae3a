"""Keeps the gateway's own entry in Consul: `register.py` decides what to say, this says it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from time import monotonic

from quillroad.config import Config, Register
from quillroad.discovery.consul.register import Call, Entry, Registration, Where
from quillroad.discovery.fetch import FetchError, fetch

log = logging.getLogger("quillroad.discovery.consul")

ANSWER_S, ANSWER_BYTES = 1.0, 64 * 1024  # of an agent, for one word
LOOK_S = 0.1  # between two looks at whether there are hosts


class Registrar:
    """One gateway's entry at its own agent. `ready` says whether it has hosts; where `serves` says no, since
    another process of this gateway does, nothing is said."""

    def __init__(self, told: Register, config: Config, ready: Callable[[], bool]) -> None:
        self._told, self._ready = told, ready
        entry = Entry(
            told.id or f"{told.service}-{config.name}",
            told.service,
            config.listen[0],
            config.listen[1],
            told.ttl_s,
            (("gateway", config.name),),
        )
        self.registration = Registration(entry, monotonic())
        self.serves: Callable[[], bool] = lambda: True
        self._task: asyncio.Task[None] | None = None
        self._look: asyncio.Event = asyncio.Event()

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        machine = self.registration
        while (wait_s := machine.next_s(monotonic())) is not None:
            if not self.serves() and machine.where is not Where.LEAVING:
                await asyncio.sleep(LOOK_S)
                continue
            machine.serves(monotonic(), self._ready())
            if wait_s > 0.0 and machine.next_s(monotonic()):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(min(wait_s, LOOK_S)):
                        await self._look.wait()
                self._look.clear()
                continue
            call = machine.call()
            status = await self._say(call)
            if line := machine.answered(monotonic(), call, status):
                log.info("own entry: %s", line)

    async def _say(self, call: Call) -> int:
        """The status of the answer, 0 for none."""
        try:
            token = self._told.token_file
            headers = {"X-Consul-Token": token.read_text().strip()} if token else {}
            answer = await fetch(
                self._told.agent,
                call.target,
                headers,
                ANSWER_S,
                ANSWER_BYTES,
                method="PUT",
                body=call.body,
            )
        except (FetchError, OSError):
            return 0
        return answer.status

    async def leave(self) -> None:
        """Deregister, for 2 s at the most; then the TTL does."""
        self.registration.leave(monotonic())
        self._look.set()
        if self._task is not None:
            await asyncio.wait({self._task})

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
