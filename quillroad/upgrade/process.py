"""The supervisor process: holds the listening socket, starts workers and carries out commands.

Module `supervisor` makes the decisions. This process serves no requests, knows no hosts, and its
memory does not grow with load.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import assert_never

from quillroad.config import Config, ConfigError
from quillroad.end_signals import block_signals
from quillroad.logs import start_log
from quillroad.overload.acceptor import open_listener
from quillroad.upgrade.canary import Canary
from quillroad.upgrade.channel import PEER_CLOSED, Channel, close_all, pair
from quillroad.upgrade.control_socket import ControlSocket
from quillroad.upgrade.messages import Message, PrepareTakeover, Welcome
from quillroad.upgrade.owned_tasks import OwnedTasks
from quillroad.upgrade.settings import Upgrades, load_upgrades
from quillroad.upgrade.supervisor import Supervisor
from quillroad.upgrade.supervisor_commands import (
    CloseListener,
    Command,
    ConnectWorkers,
    ExitSupervisor,
    KillWorker,
    LogEvent,
    SendMessage,
    StartWorker,
    StopWorker,
    UpgradeEnded,
)
from quillroad.upgrade.worker import SUPERVISOR_SOCKET_VARIABLE

log = logging.getLogger("quillroad.upgrade")

BIND_TIMEOUT_S = 15.0  # workers of a killed supervisor keep the address until they have drained
BIND_RETRY_S = 0.1
EXIT_CANNOT_RUN = 127  # status that shells use for a command that cannot be run


class SupervisorProcess:
    """Supervisor of one gateway.

    `command` starts a worker, which finds its channel by `SUPERVISOR_SOCKET_VARIABLE`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        upgrades: Upgrades,
        listener: socket.socket,
        command: Sequence[str],
    ) -> None:
        self._loop = loop
        self._command = command
        self._listener: socket.socket | None = listener
        self._supervisor = Supervisor(upgrades.limits, Canary(upgrades.tuning))
        self._control = ControlSocket(
            upgrades.control, self.operator_command, self._supervisor.status
        )
        self._channels: dict[int, Channel] = {}
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._tasks = OwnedTasks(loop)
        self._timer: asyncio.TimerHandle | None = None
        self.status: asyncio.Future[int] = loop.create_future()

    async def start(self) -> None:
        """Open the control socket and start the first worker. Raises `ConfigError`."""
        await self._control.open()
        self._perform_all(self._supervisor.begin(time.monotonic()))

    # Events.

    def _message_received(self, number: int, message: Message, descriptors: list[int]) -> None:
        close_all(descriptors)  # workers send the supervisor none
        self._perform_all(self._supervisor.message_received(time.monotonic(), number, message))

    def _channel_lost(self, number: int, why: str) -> None:
        """Handle the end of a channel, unless the peer closed it: then the process exits soon."""
        process = self._processes.get(number)
        if process is not None and process.returncode is None and why != PEER_CLOSED:
            self._perform_all(self._supervisor.channel_lost(number, why))

    async def _wait_for(self, number: int, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if (channel := self._channels.pop(number, None)) is not None:
            channel.close()
        self._processes.pop(number, None)
        self._perform_all(self._supervisor.worker_ended(time.monotonic(), number, status))

    def operator_command(self, command_name: str) -> str:
        """Carry out an operator's command; return why it is refused, or an empty string."""
        why, commands = self._supervisor.operator_command(time.monotonic(), command_name)
        self._perform_all(commands)
        if why:
            log.error("%s: %s", command_name, why)
        return why

    def reload(self) -> None:
        """Reload the configuration in all workers, also in those that start later."""
        for number in self._supervisor.reload():
            self._signal(number, signal.SIGHUP)

    def _tick(self) -> None:
        self._timer = None
        self._perform_all(self._supervisor.tick(time.monotonic()))

    # Commands.

    def _perform_all(self, commands: list[Command]) -> None:
        for command in commands:
            self._perform(command)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wait_s = self._supervisor.next_tick_s(time.monotonic())
        if wait_s is not None and not self.status.done():
            self._timer = self._loop.call_later(wait_s, self._tick)

    def _perform(self, command: Command) -> None:
        match command:
            case StartWorker():
                self._tasks.start(self._run_worker(command.worker))
            case SendMessage():
                self._send(command)
            case ConnectWorkers():
                self._connect(command)
            case StopWorker():
                self._signal(command.worker, signal.SIGTERM)
            case KillWorker():
                self._signal(command.worker, signal.SIGKILL)
            case CloseListener():
                self._close_listener()
            case LogEvent():
                self._log(command)
            case UpgradeEnded():
                self._control.upgrade_ended(command.why)
            case ExitSupervisor():
                self._exit(command.status)
            case _:
                assert_never(command)

    def _send(self, command: SendMessage) -> None:
        channel = self._channels.get(command.worker)
        if channel is None:
            return
        descriptors: list[int] = []
        if isinstance(command.message, Welcome) and self._listener is not None:
            descriptors.append(self._listener.fileno())
        channel.send(command.message, descriptors)

    def _connect(self, command: ConnectWorkers) -> None:
        giver, taker = self._channels.get(command.giver), self._channels.get(command.taker)
        ends = pair()
        if giver is not None and taker is not None:
            giver.send(command.message, [ends[0].fileno()])
            taker.send(PrepareTakeover(command.giver), [ends[1].fileno()])
        for end in ends:
            end.close()  # the messages hold duplicates in the kernel

    def _signal(self, number: int, signal_number: signal.Signals) -> None:
        process = self._processes.get(number)
        if process is not None and process.returncode is None:
            process.send_signal(signal_number)

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _log(self, event: LogEvent) -> None:
        worker = f" worker {event.worker}" if event.worker else ""
        log.info("%s%s%s", event.event, worker, f": {event.why}" if event.why else "")

    def _exit(self, status: int) -> None:
        if not self.status.done():
            self.status.set_result(status)

    async def _run_worker(self, number: int) -> None:
        supervisor_end, worker_end = pair()
        try:
            process = await asyncio.create_subprocess_exec(
                *self._command,
                env=os.environ | {SUPERVISOR_SOCKET_VARIABLE: str(worker_end.fileno())},
                pass_fds=[worker_end.fileno()],
            )
        except OSError as error:
            log.error("cannot start the worker process %s: %s", self._command[0], error)
            supervisor_end.close()
            now = time.monotonic()
            self._perform_all(self._supervisor.worker_ended(now, number, EXIT_CANNOT_RUN))
            return
        finally:
            worker_end.close()
        self._processes[number] = process
        self._channels[number] = Channel(
            self._loop,
            supervisor_end,
            lambda message, descriptors: self._message_received(number, message, descriptors),
            lambda why: self._channel_lost(number, why),
        )
        await self._wait_for(number, process)

    def close(self) -> None:
        """Close the control socket and cancel the timer."""
        self._control.close()
        if self._timer is not None:
            self._timer.cancel()


async def _listen(config: Config) -> socket.socket:
    """Listen on the gateway's address, retrying while it is in use. Raises `ConfigError`."""
    end = time.monotonic() + BIND_TIMEOUT_S
    while True:
        try:
            return open_listener(*config.listen)
        except OSError as error:
            if time.monotonic() >= end:
                raise ConfigError(
                    f"listen: cannot listen on {config.listen}: {error.strerror}"
                ) from None
        await asyncio.sleep(BIND_RETRY_S)


async def supervise(config: Config, upgrades: Upgrades, command: Sequence[str]) -> int:
    """Run a supervisor until it is stopped; return its exit status."""
    loop = asyncio.get_running_loop()
    supervisor = SupervisorProcess(loop, upgrades, await _listen(config), command)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, supervisor.operator_command, "stop")
    loop.add_signal_handler(signal.SIGHUP, supervisor.reload)
    loop.add_signal_handler(signal.SIGUSR2, supervisor.operator_command, "upgrade")
    try:
        await supervisor.start()
        return await supervisor.status
    finally:
        supervisor.close()
        block_signals()


def run(read_config: Callable[[], Config], file: Path, arguments: Sequence[str] = ()) -> int:
    """Run a gateway under a supervisor; return its exit status.

    `read_config` reads the configuration at startup, `file` is the upgrades file, and `arguments`
    are the command-line arguments by which workers find their configuration.
    """
    start_log()
    try:
        config = read_config()
        upgrades = load_upgrades(file, config.sockets, config.name)
        # Workers import the package from where this process did: without -P, Python would search
        # the working directory first.
        path = ("-P",) if sys.flags.safe_path else ()
        command = [sys.executable, *path, "-m", "quillroad", *arguments]
        return asyncio.run(supervise(config, upgrades, command))
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return 2
