"""The supervisor's control socket: each connection carries one command and its answer.

It is a Unix socket that only its owner may open. The answer is a line that says `done` or why the
command failed; `status` has several lines. `upgrade` and `check` are answered when their result is
known.
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

MAX_CONNECTIONS = 16  # open at the same time
COMMAND_TIMEOUT_S = 5.0  # from the connect until the command has arrived
LINE_LIMIT_BYTES = 1024
OWNER_ONLY_UMASK = 0o177  # the socket gets mode 0600
COMMANDS_WITH_LATER_RESULT = ("upgrade", "check")  # answered when the upgrade has ended


class ControlSocket:
    """Server for operators' commands at `path`.

    `on_command` carries out a command and returns why it cannot, or an empty string; `status`
    yields the lines of the `status` command.
    """

    def __init__(
        self, path: Path, on_command: Callable[[str], str], status: Callable[[], Iterator[str]]
    ) -> None:
        self._path = path
        self._on_command = on_command
        self._status = status
        self._server: asyncio.Server | None = None
        self._inode = 0
        self._connections = 0
        self._result_futures: list[asyncio.Future[str]] = []

    async def open(self) -> None:
        """Begin to listen. Raises `ConfigError` if the path cannot be used.

        A stale socket of a supervisor that was killed is removed; a socket that accepts a
        connection belongs to another gateway and is an error.
        """
        try:
            self._remove_stale_socket()
            mask_before = os.umask(OWNER_ONLY_UMASK)
            try:
                self._server = await asyncio.start_unix_server(
                    self._serve, self._path, limit=LINE_LIMIT_BYTES
                )
            finally:
                os.umask(mask_before)
            self._inode = self._path.stat().st_ino
        except OSError as error:
            raise ConfigError(f"control: cannot listen on {self._path}: {error.strerror}") from None

    def _remove_stale_socket(self) -> None:
        path = self._path
        if not path.exists():
            return
        if not stat.S_ISSOCK(path.stat().st_mode):
            raise ConfigError(f"control: {path} exists and is not a socket")
        with socket.socket(socket.AF_UNIX) as client:
            if client.connect_ex(str(path)) == 0:
                raise ConfigError(f"control: {path} is in use by another gateway")
        path.unlink()

    def upgrade_ended(self, why: str) -> None:
        """Answer the waiting commands: the upgrade has ended; `why` is empty if it succeeded."""
        for result in self._result_futures:
            if not result.done():
                result.set_result(why)
        self._result_futures.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._connections >= MAX_CONNECTIONS:
            writer.close()
            return
        self._connections += 1
        try:
            writer.write(await self._answer(reader, writer))
        except (TimeoutError, ConnectionError, ValueError):
            pass  # the client has closed the connection or sent no valid line: no answer
        finally:
            self._connections -= 1
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        if peer(writer.get_extra_info("socket")).user not in (0, os.geteuid()):
            return b"error: not yours\n"
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            command = (await reader.readline()).decode("utf-8", "replace").strip()
        if command == "status":
            return "".join(f"{line}\n" for line in self._status()).encode()
        if command in COMMANDS_WITH_LATER_RESULT:
            why = await self._await_result(command, writer)
        else:
            why = self._on_command(command)
        return f"error: {why}\n".encode() if why else b"done\n"

    async def _await_result(self, command: str, writer: asyncio.StreamWriter) -> str:
        result: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        # Added before the command is carried out, which may give the result at once.
        self._result_futures.append(result)
        why = self._on_command(command)
        if why:
            if result in self._result_futures:
                self._result_futures.remove(result)
            return why
        writer.write(b"begun\n")
        return await result

    def close(self) -> None:
        """Stop listening. Remove the socket unless a later supervisor has replaced it."""
        if self._server is None:
            return
        self._server.close()
        if self._path.exists() and self._path.stat().st_ino == self._inode:
            self._path.unlink()
