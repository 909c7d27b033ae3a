"""The gateways of a drawn deployment: started, told to end, replaced, held up and killed."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import resource
import signal
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Self

from testbed.drawn.account import Ending, Kill
from testbed.drawn.deployment import Deployment, Replacement
from testbed.gateway import GatewayProcess
from testbed.sibling import SiblingGateway

# Of an upgrade under a supervisor, short enough for a run.
UPGRADES = """
[times]
start = "8 s"
prepare = "4 s"
switch = "2 s"
retire = "{retire} s"
[canary]
time = "400 ms"
silence = "2 s"
least = 1000
[limits]
memory_mb = 400.0
"""
# As the platform starts `run` of the deploy file.
LAUNCHER = ("/bin/sh", "-c", 'trap "" HUP; exec "$@"', "sh")
FRONT_DELAY_S = (0.2, 0.4)  # after SIGTERM, until the front sends no new connections
READY_S = 10.0  # for a process to be ready after its start
PAUSE_S = 0.15
SAMPLE_S = 0.03
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20


class DrawnGateway(SiblingGateway):
    """One gateway; its processes have as many descriptors as its settings say."""

    def __init__(
        self, folder: Path, discovery_port: int, deployment: Deployment, number: int
    ) -> None:
        super().__init__(folder, discovery_port, deployment.settings(number), deployment.sockets)
        self._replacement = deployment.replacement
        self._sockets = deployment.sockets
        self.limit_memory(deployment.memory_mb)
        self.log_file = folder / "log.txt"
        self.launcher = LAUNCHER
        if self._replacement is Replacement.WORKER:
            # Longer than the earliest SIGKILL, and not as long as the longest deadline.
            self.upgrades = UPGRADES.format(retire=round(deployment.kill_s + 1.0, 1))

    async def start(self, log: bool = False, command: Sequence[str] = ("-m", "quillroad")) -> Self:
        """Start the first process and wait until `/up` answers 200."""
        if self._replacement is Replacement.SIBLING:
            return await super().start(log, command)
        return await GatewayProcess.start(self, log, command)

    async def _spawn(
        self, command: Sequence[str], variables: dict[str, str], log: bool
    ) -> asyncio.subprocess.Process:
        process = await super()._spawn(command, variables, log)
        limits = (self._sockets, self._sockets)
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
        return process

    def signal_all(self, number: signal.Signals) -> None:
        """Send a signal to all its processes."""
        with contextlib.suppress(OSError):
            for pid in self.processes():
                os.kill(pid, number)

    def resident_mb(self) -> float:
        """Resident memory of all its processes."""
        total_mb = 0.0
        with contextlib.suppress(OSError):
            for pid in self.processes():
                pages = Path(f"/proc/{pid}/statm").read_text().split()[1]
                total_mb += int(pages) * PAGE_MB
        return total_mb


class Gateways:
    """All gateways of a run, and what was done to them."""

    def __init__(
        self,
        folder: Path,
        deployment: Deployment,
        discovery_ports: Sequence[int],
        environment: dict[str, str],
        draw: random.Random,
    ) -> None:
        self.all: list[DrawnGateway] = []
        for number in range(deployment.gateways):
            own_folder = folder / f"n{number}"
            own_folder.mkdir()
            gateway = DrawnGateway(own_folder, discovery_ports[0], deployment, number)
            gateway.extra_environment = environment
            self.all.append(gateway)
        self.endings: list[Ending] = []
        self.kills: list[Kill] = []
        self.faults: list[str] = []  # violations that no request shows
        self.peak_mb = 0.0
        self.killed = 0  # processes that had not ended at the earliest time of SIGKILL
        self._deployment = deployment
        self._discovery_ports = discovery_ports
        self._draw = draw
        self._closed_at: dict[int, float] = {}  # when the front stops sending new connections
        self.refuses_upgrades = False  # system calls fail: a new process may fail its self-test
        self.upgrades_refused = 0
        self._busy: set[int] = set()  # being replaced, or killed and not started again

    async def start(self) -> None:
        """Start all; returns once all are ready."""
        await asyncio.gather(*(gateway.start() for gateway in self.all))

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Where clients reach them."""
        return [gateway.address for gateway in self.all]

    def takes_new(self, number: int) -> bool:
        """Whether the front sends new connections to a gateway now."""
        return time.monotonic() < self._closed_at.get(number, float("inf"))

    async def stop(self) -> str:
        """Kill all processes; returns their logs."""
        logs = []
        for number, gateway in enumerate(self.all):
            with contextlib.suppress(OSError):
                await gateway.stop()
            assert gateway.log_file is not None
            text = gateway.log_file.read_text(errors="replace") if gateway.log_file.exists() else ""
            if "Traceback" in text:
                self.faults.append(f"n{number}: a traceback in the log")
            logs.append(f"--- n{number}\n{text}")
        return "\n".join(logs)

    async def sample_memory(self) -> None:
        """Note the largest resident memory of any gateway, until cancelled."""
        while True:
            for gateway in self.all:
                if gateway.process is not None and gateway.process.returncode is None:
                    self.peak_mb = max(self.peak_mb, gateway.resident_mb())
            await asyncio.sleep(SAMPLE_S)

    # What happens to them.

    async def end_and_replace(self, number: int, repeat_signals: bool) -> None:
        """Replace the process of a gateway as the deployment does it."""
        gateway = self.all[number]
        if number in self._busy or gateway.process is None:
            return
        self._busy.add(number)
        try:
            match self._deployment.replacement:
                case Replacement.SIBLING:
                    await self._upgrade(number, repeat_signals)
                case Replacement.WORKER:
                    gateway.process.send_signal(signal.SIGUSR2)
                    await asyncio.sleep(self._draw.uniform(0.5, 3.0))
                    await self._restart(number, repeat_signals)
                case _:
                    await self._restart(number, repeat_signals)
        finally:
            self._busy.discard(number)

    async def _restart(self, number: int, repeat_signals: bool) -> None:
        process = self.all[number].process
        assert process is not None
        told_at = time.monotonic()
        ending = Ending(number, told_at, self._deployment.kill_s)
        self.endings.append(ending)
        self._closed_at[number] = told_at + self._draw.uniform(*FRONT_DELAY_S)
        await self._end(number, process, repeat_signals)
        ending.ended_at = time.monotonic()
        with contextlib.suppress(OSError):
            await self.all[number].stop()
        await asyncio.sleep(self._draw.uniform(0.05, 0.4))
        await self._start_again(number)

    async def _upgrade(self, number: int, repeat_signals: bool) -> None:
        gateway = self.all[number]
        before = gateway.process
        assert before is not None
        process, admin = await gateway.start_sibling()
        if not await gateway.wait_until_ready(process, admin):
            if self.refuses_upgrades:  # the old process goes on
                self.upgrades_refused += 1
            else:
                self.faults.append(f"n{number}: the new process was not ready in time")
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            return
        gateway.process, gateway.admin = process, admin
        await self._end(number, before, repeat_signals)

    async def _end(
        self, number: int, process: asyncio.subprocess.Process, repeat_signals: bool
    ) -> None:
        """Tell a process to end, and kill it at the earliest time."""
        end = time.monotonic() + self._deployment.kill_s
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        if repeat_signals:
            for _ in range(self._draw.randint(1, 4)):
                await asyncio.sleep(self._draw.uniform(0.0, 0.3))
                kind = self._draw.choice((signal.SIGTERM, signal.SIGHUP))
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(kind)
        try:
            await asyncio.wait_for(process.wait(), max(0.0, end - time.monotonic()))
        except TimeoutError:
            self.killed += 1
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            return
        if process.returncode:
            self.faults.append(f"n{number}: ended with {process.returncode} after SIGTERM")

    async def _start_again(self, number: int) -> None:
        began_at = time.monotonic()
        try:
            async with asyncio.timeout(3 * READY_S):
                await self.all[number].start()
        except (RuntimeError, TimeoutError) as error:
            self.faults.append(f"n{number}: did not start again: {error}")
            return
        took_s = time.monotonic() - began_at
        if took_s > READY_S:
            self.faults.append(f"n{number}: ready {took_s:.1f} s after its start")
        self._closed_at.pop(number, None)

    async def kill(self, number: int) -> None:
        """Kill a gateway, and start it again soon."""
        gateway = self.all[number]
        if number in self._busy:
            return
        self._busy.add(number)
        try:
            self.kills.append(Kill(number, time.monotonic()))
            await gateway.stop()
            await asyncio.sleep(self._draw.uniform(0.1, 0.5))
            await self._start_again(number)
        finally:
            self._busy.discard(number)

    def reload(self, number: int, discovery: int) -> None:
        """Have a gateway read a configuration with another address of discovery."""
        gateway = self.all[number]
        if gateway.process is None or gateway.process.returncode is not None:
            return
        gateway.reconfigure(discovery=f"127.0.0.1:{self._discovery_ports[discovery]}")
        gateway.reload()

    async def pause(self, number: int) -> None:
        """Hold the processes of a gateway up."""
        self.all[number].signal_all(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        self.all[number].signal_all(signal.SIGCONT)

    def describe(self) -> dict[str, Any]:
        """What was done to them, as plain values."""
        return {"peak_mb": round(self.peak_mb, 1), "killed": self.killed}
