"""A gateway whose operators start the next process beside the one that serves."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Self

from testbed.gateway import GatewayProcess, free_port

YES_S = 6.0  # in which operators want the new process's yes
END_S = 4.0  # after SIGTERM, until SIGKILL: the longest deadline and room


class BesideGateway(GatewayProcess):
    """`process` is the one that serves."""

    def __init__(
        self, folder: Path, discovery_port: int, told: dict[str, Any], sockets: int = 4096
    ) -> None:
        super().__init__(folder, discovery_port, told, sockets)
        self.folder = folder / "tmp"
        self.folder.mkdir()
        self.ended: list[
            int | None
        ] = []  # statuses of the processes that were told to end; None: killed

    async def start(self, log: bool = False, command: Sequence[str] = ("-m", "quillroad")) -> Self:
        self.admin = free_port()
        return await self._start(command, self._told(self.admin), log)

    def _told(self, admin: int) -> dict[str, str]:
        path = self.reconfigure()
        return {
            "GW_CONFIG": str(path),
            "GW_ADMIN_ADDR": f"127.0.0.1:{admin}",
            "TMPDIR": str(self.folder),
        }

    async def newcomer(self) -> tuple[asyncio.subprocess.Process, int]:
        """Start another process beside; returns it with its operators' port."""
        admin = free_port()
        return await self._spawn(("-m", "quillroad"), self._told(admin), False), admin

    async def yes(self, process: asyncio.subprocess.Process, admin: int) -> bool:
        """Wait for a process's yes, as long as operators do; False where it ends or says none."""
        loop = asyncio.get_running_loop()
        until = loop.time() + YES_S
        while loop.time() < until and process.returncode is None:
            if await self.call("GET", "/healthcheck", admin) == 200:
                return True
            await asyncio.sleep(0.02)
        return False

    async def upgrade(self) -> bool:
        """As operators do it: start, wait for its yes, end the one before. Without a yes the new one ends."""
        process, admin = await self.newcomer()
        if not await self.yes(process, admin):
            await self._end(process, signal.SIGKILL)
            return False
        before, self.process, self.admin = self.process, process, admin
        assert before is not None
        await self._end(before, signal.SIGTERM)
        return True

    async def _end(self, process: asyncio.subprocess.Process, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)
        try:
            async with asyncio.timeout(END_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            self.ended.append(None)
            return
        self.ended.append(process.returncode)
