"""The keeper as a process: holds the listening socket, starts workers, and serves the operators' socket.

`keeper.py` decides; this carries out. It serves no request, knows no host and holds nothing that grows.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import stat
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import assert_never

from quillroad.config import Config, ConfigError
from quillroad.logs import start_log
from quillroad.overload.acceptor import open_listener
from quillroad.upgrade.canary import Canary
from quillroad.upgrade.channel import Channel, pair, peer
from quillroad.upgrade.messages import Message, Take, Welcome
from quillroad.upgrade.settings import Upgrades, load_upgrades
from quillroad.upgrade.supervisor import (
    Act,
    Exit,
    Join,
    Keeper,
    Kill,
    Say,
    Settled,
    Spawn,
    Stop,
    Tell,
    Unlisten,
)
from quillroad.upgrade.worker import SEAT

log = logging.getLogger("quillroad.upgrade")

BIND_S = 15.0  # for an address to come free: workers of a keeper that was killed drain first
BIND_AGAIN_S = 0.1
ASKING = 16  # operators at once
COMMAND_S = 5.0  # for a command to come


class KeeperProcess:
    """One gateway. `command` starts a worker, whose seat is told by the environment."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        upgrades: Upgrades,
        listener: socket.socket,
        command: Sequence[str],
    ) -> None:
        self._loop, self._upgrades, self._command = loop, upgrades, command
        self._listener: socket.socket | None = listener
        self._keeper = Keeper(upgrades.limits, Canary(upgrades.tuning))
        self._channels: dict[int, Channel] = {}
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._waiting: list[asyncio.Future[str]] = []
        self._control: asyncio.Server | None = None
        self._inode = 0
        self._asking = 0
        self.status: asyncio.Future[int] = loop.create_future()

    async def start(self) -> None:
        await self._open_control()
        self._do(self._keeper.begin(time.monotonic()))

    # What happens.

    def _heard(self, number: int, message: Message, fds: list[int]) -> None:
        for fd in fds:  # workers send none
            os.close(fd)
        self._do(self._keeper.heard(time.monotonic(), number, message))

    def _lost(self, number: int, why: str) -> None:
        """The channel has ended: with its process as a rule, whose end is then seen soon."""
        process = self._processes.get(number)
        if process is not None and process.returncode is None and why != "it has ended":
            self._do(self._keeper.lost(time.monotonic(), number, why))

    async def _watch(self, number: int, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if (channel := self._channels.pop(number, None)) is not None:
            channel.close()
        self._processes.pop(number, None)
        self._do(self._keeper.ended(time.monotonic(), number, status))

    def ask(self, what: str) -> str:
        """An operator's command; returns why not, or nothing."""
        why, acts = self._keeper.ask(time.monotonic(), what)
        self._do(acts)
        if why:
            log.error("%s: %s", what, why)
        return why

    def reload(self) -> None:
        """Workers read their configuration again, also those that start later."""
        for number in self._keeper.reload():
            self._signal(number, signal.SIGHUP)

    def _tick(self) -> None:
        self._timer = None
        self._do(self._keeper.tick(time.monotonic()))

    # What is done.

    def _do(self, acts: list[Act]) -> None:
        for act in acts:
            self._act(act)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wait_s = self._keeper.next_s(time.monotonic())
        if wait_s is not None and not self.status.done():
            self._timer = self._loop.call_later(wait_s, self._tick)

    def _act(self, act: Act) -> None:
        match act:
            case Spawn():
                self._task(self._spawn(act.worker))
            case Tell():
                channel = self._channels.get(act.worker)
                if channel is not None:
                    listener = [self._listener.fileno()] if self._listener is not None else []
                    channel.send(act.message, listener if isinstance(act.message, Welcome) else ())
            case Join():
                self._join(act)
            case Stop():
                self._signal(act.worker, signal.SIGTERM)
            case Kill():
                self._signal(act.worker, signal.SIGKILL)
            case Unlisten():
                if self._listener is not None:
                    self._listener.close()
                    self._listener = None
            case Say():
                at = f" worker {act.worker}" if act.worker else ""
                log.info("%s%s%s", act.event, at, f": {act.why}" if act.why else "")
            case Settled():
                for waiting in self._waiting:
                    if not waiting.done():
                        waiting.set_result(act.why)
                self._waiting.clear()
            case Exit():
                if not self.status.done():
                    self.status.set_result(act.status)
            case _:
                assert_never(act)

    def _join(self, act: Join) -> None:
        giver, taker = self._channels.get(act.giver), self._channels.get(act.taker)
        ends = pair()
        if giver is not None and taker is not None:
            giver.send(act.message, [ends[0].fileno()])
            taker.send(Take(act.giver), [ends[1].fileno()])
        for end in ends:
            end.close()  # the kernel keeps them for the messages

    def _signal(self, number: int, what: signal.Signals) -> None:
        process = self._processes.get(number)
        if process is not None and process.returncode is None:
            process.send_signal(what)

    async def _spawn(self, number: int) -> None:
        ours, theirs = pair()
        try:
            process = await asyncio.create_subprocess_exec(
                *self._command,
                env=os.environ | {SEAT: str(theirs.fileno())},
                pass_fds=[theirs.fileno()],
            )
        except OSError as error:
            log.error("cannot start %s: %s", self._command[0], error)
            ours.close()
            self._do(self._keeper.ended(time.monotonic(), number, 127))
            return
        finally:
            theirs.close()
        self._processes[number] = process
        self._channels[number] = Channel(
            self._loop,
            ours,
            lambda message, fds: self._heard(number, message, fds),
            lambda why: self._lost(number, why),
        )
        await self._watch(number, process)

    def _task(self, coroutine: object) -> None:
        assert asyncio.iscoroutine(coroutine)
        task: asyncio.Task[None] = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # The operators' socket.

    async def _open_control(self) -> None:
        """Listen where commands come. A socket that a keeper left when it was killed is taken away; one that
        answers is another gateway's."""
        path = self._upgrades.control
        try:
            if path.exists():
                if not stat.S_ISSOCK(path.stat().st_mode):
                    raise ConfigError(f"control: {path} is no socket")
                with socket.socket(socket.AF_UNIX) as probe:
                    if probe.connect_ex(str(path)) == 0:
                        raise ConfigError(f"control: {path} is in use by another gateway")
                path.unlink()
            before = os.umask(0o177)
            try:
                self._control = await asyncio.start_unix_server(self._serve, path, limit=1024)
            finally:
                os.umask(before)
            self._inode = path.stat().st_ino
        except OSError as error:
            raise ConfigError(f"control: cannot listen on {path}: {error.strerror}") from None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One command and its answer: a line for what was done or why not, for `status` several."""
        if self._asking >= ASKING:
            writer.close()
            return
        self._asking += 1
        try:
            sock = writer.get_extra_info("socket")
            if peer(sock)[1] not in (0, os.geteuid()):
                writer.write(b"error: not yours\n")
                return
            async with asyncio.timeout(COMMAND_S):
                line = (await reader.readline()).decode("utf-8", "replace").strip()
            if line == "status":
                writer.write("".join(f"{each}\n" for each in self._keeper.status()).encode())
                return
            waiting: asyncio.Future[str] = self._loop.create_future()
            if line in ("upgrade", "check"):
                self._waiting.append(waiting)
            why = self.ask(line)
            if why and waiting in self._waiting:
                self._waiting.remove(waiting)
            if line in ("upgrade", "check") and not why:
                writer.write(b"begun\n")
                why = await waiting
            writer.write(f"error: {why}\n".encode() if why else b"done\n")
        except (TimeoutError, ConnectionError, ValueError):
            pass
        finally:
            self._asking -= 1
            writer.close()

    def close(self) -> None:
        if self._control is not None:
            self._control.close()
            path = self._upgrades.control
            if (
                path.exists() and path.stat().st_ino == self._inode
            ):  # not another's that came after us
                path.unlink()
        if self._timer is not None:
            self._timer.cancel()


async def _listen(config: Config) -> socket.socket:
    """The gateway's address, once it is free."""
    end = time.monotonic() + BIND_S
    while True:
        try:
            return open_listener(*config.listen)
        except OSError as error:
            if time.monotonic() >= end:
                raise ConfigError(f"listen: cannot use {config.listen}: {error.strerror}") from None
        await asyncio.sleep(BIND_AGAIN_S)


async def keep(config: Config, upgrades: Upgrades, command: Sequence[str]) -> int:
    """Run a keeper until it was told to end; returns the status to exit with."""
    loop = asyncio.get_running_loop()
    keeper = KeeperProcess(loop, upgrades, await _listen(config), command)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, keeper.ask, "stop")
    loop.add_signal_handler(signal.SIGHUP, keeper.reload)
    loop.add_signal_handler(signal.SIGUSR2, keeper.ask, "upgrade")
    try:
        await keeper.start()
        return await keeper.status
    finally:
        keeper.close()


def run(first: Callable[[], Config], file: Path, arguments: Sequence[str] = ()) -> int:
    """A gateway with upgrades from its start to its end; returns the status to exit with. `arguments` are
    those of the command line by which its workers find their configuration."""
    start_log()
    try:
        config = first()
        upgrades = load_upgrades(file, config.sockets, config.name)
        # Workers are found where this process was: without -P the folder it runs in would come first.
        path = ("-P",) if sys.flags.safe_path else ()
        return asyncio.run(
            keep(config, upgrades, [sys.executable, *path, "-m", "quillroad", *arguments])
        )
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return 2
