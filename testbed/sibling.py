"""A gateway whose operators start the next process beside the one that serves."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Self

from testbed.gateway import GatewayProcess

READY_TIMEOUT_S = 6.0  # operators give up on a new process that is not ready by then
READY_POLL_S = 0.02  # between two calls of /healthcheck
END_S = 4.0  # from SIGTERM to SIGKILL: more than the longest deadline of a request


class SiblingGateway(GatewayProcess):
    """A gateway that is upgraded by starting a sibling process for the same address.

    `process` is the one that serves; `admin` is the port of its operators' address.
    """

    def __init__(
        self, folder: Path, discovery_port: int, balancing: dict[str, Any], sockets: int = 4096
    ) -> None:
        super().__init__(folder, discovery_port, balancing, sockets)
        self.folder = folder / "tmp"
        self.folder.mkdir()
        # Exit statuses of the processes that were told to end; None: had to be killed.
        self.ended: list[int | None] = []

    async def start(self, log: bool = False, command: Sequence[str] = ("-m", "quillroad")) -> Self:
        """Start the first process and wait until `/up` answers 200."""
        self.admin = self.reserve_port()
        return await self._start(command, self._environment(self.admin), log)

    def _environment(self, admin: int) -> dict[str, str]:
        path = self.reconfigure()
        return {
            "GW_CONFIG": str(path),
            "GW_ADMIN_ADDR": f"127.0.0.1:{admin}",
            "TMPDIR": str(self.folder),
        }

    async def start_sibling(self) -> tuple[asyncio.subprocess.Process, int]:
        """Start a sibling process; returns it and the port of its operators' address."""
        admin = self.reserve_port()
        return await self._spawn(("-m", "quillroad"), self._environment(admin), False), admin

    async def wait_until_ready(self, process: asyncio.subprocess.Process, admin: int) -> bool:
        """Wait until a process says that it is ready, for as long as operators do.

        Returns False where it ends first, or is not ready within `READY_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + READY_TIMEOUT_S
        while loop.time() < until and process.returncode is None:
            if await self.call("GET", "/healthcheck", admin) == 200:
                return True
            await asyncio.sleep(READY_POLL_S)
        return False

    async def upgrade(self) -> bool:
        """Upgrade as operators do: start a sibling, wait until it is ready, end the one before.

        Returns False, with the sibling killed, where that was not ready in time.
        """
        process, admin = await self.start_sibling()
        if not await self.wait_until_ready(process, admin):
            await self._end(process, signal.SIGKILL)
            return False
        before = self.process
        assert before is not None
        self.process = process
        self.admin = admin
        await self._end(before, signal.SIGTERM)
        return True

    async def _end(self, process: asyncio.subprocess.Process, signal_number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, signal_number)
        try:
            async with asyncio.timeout(END_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            self.ended.append(None)
            return
        self.ended.append(process.returncode)
