"""The operators' socket of a supervisor: one command and its answer a connection.

It is a Unix socket that only its owner may open. The answer is a line for what was done or why not,
for `status` several lines; `upgrade` and `check` are answered once their result is known.
"""

from __future__ import annotations

import asyncio
import os
import socket
import stat
from collections.abc import Callable, Iterator
from pathlib import Path

from quillroad.config import ConfigError
from quillroad.upgrade.channel import peer

MOST_CALLERS = 16  # operators at once
COMMAND_TIMEOUT_S = 5.0  # for a command to come
LINE_LIMIT_BYTES = 1024
ONLY_OWNER = 0o177  # mask of the socket's permissions
WAITED_FOR = ("upgrade", "check")  # commands whose result comes later


class ControlSocket:
    """Listens for operators at `path`.

    `on_command` takes a command and returns why not, or nothing; `status` gives the lines for an
    operator.
    """

    def __init__(
        self, path: Path, on_command: Callable[[str], str], status: Callable[[], Iterator[str]]
    ) -> None:
        self._path = path
        self._on_command = on_command
        self._status = status
        self._server: asyncio.Server | None = None
        self._inode = 0
        self._callers = 0
        self._waiting: list[asyncio.Future[str]] = []

    async def open(self) -> None:
        """Begin to listen. Raises `ConfigError` where the path cannot be used.

        A socket that a supervisor left when it was killed is removed; one that answers is another
        gateway's.
        """
        try:
            self._remove_leftover()
            mask_before = os.umask(ONLY_OWNER)
            try:
                self._server = await asyncio.start_unix_server(
                    self._serve, self._path, limit=LINE_LIMIT_BYTES
                )
            finally:
                os.umask(mask_before)
            self._inode = self._path.stat().st_ino
        except OSError as error:
            raise ConfigError(f"control: cannot listen on {self._path}: {error.strerror}") from None

    def _remove_leftover(self) -> None:
        path = self._path
        if not path.exists():
            return
        if not stat.S_ISSOCK(path.stat().st_mode):
            raise ConfigError(f"control: {path} is no socket")
        with socket.socket(socket.AF_UNIX) as client:
            if client.connect_ex(str(path)) == 0:
                raise ConfigError(f"control: {path} is in use by another gateway")
        path.unlink()

    def upgrade_ended(self, why: str) -> None:
        """Tell who waits what became of the upgrade; `why` is empty where it holds."""
        for waiting in self._waiting:
            if not waiting.done():
                waiting.set_result(why)
        self._waiting.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._callers >= MOST_CALLERS:
            writer.close()
            return
        self._callers += 1
        try:
            writer.write(await self._answer(reader, writer))
        except (TimeoutError, ConnectionError, ValueError):
            pass  # the caller has gone, or sent no line: nobody is there to be told
        finally:
            self._callers -= 1
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        if peer(writer.get_extra_info("socket")).user not in (0, os.geteuid()):
            return b"error: not yours\n"
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            command = (await reader.readline()).decode("utf-8", "replace").strip()
        if command == "status":
            return "".join(f"{line}\n" for line in self._status()).encode()
        if command in WAITED_FOR:
            why = await self._ask_and_wait(command, writer)
        else:
            why = self._on_command(command)
        return f"error: {why}\n".encode() if why else b"done\n"

    async def _ask_and_wait(self, command: str, writer: asyncio.StreamWriter) -> str:
        waiting: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        # Before the command is given: its result may be known at once.
        self._waiting.append(waiting)
        why = self._on_command(command)
        if why:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            return why
        writer.write(b"begun\n")
        return await waiting

    def close(self) -> None:
        """End listening, and remove the socket unless it is a later supervisor's."""
        if self._server is None:
            return
        self._server.close()
        if self._path.exists() and self._path.stat().st_ino == self._inode:
            self._path.unlink()
