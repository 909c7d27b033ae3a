"""The gateway under test as a process of its own: configured, started, pinned, measured, ended."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, PIPE
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Self

from testbed.account import RequestClass
from testbed.ports import ReservedPort

ROOT = Path(__file__).parent.parent
TICKS_PER_S = os.sysconf("SC_CLK_TCK")  # unit of CPU times in /proc/PID/stat
UP_POLL_S = 0.02  # between two calls of /up
CALL_TIMEOUT_S = 1.0  # of one call of an operator


def settings(
    request_classes: Sequence[RequestClass], tenants: dict[str, float] | None = None, **limits: Any
) -> dict[str, Any]:
    """The settings of a gateway for these classes; `limits` replace or add to the limits here.

    `tenants` are quotas in requests a second, by name; without any there is one with ample quota.
    """
    lanes = [
        {
            "name": request_class.name,
            "semantics": "keyed" if request_class.keyed else "safe",
            "group": "all",
            "memory_span": 6_000_000,
            "goal_time": round(request_class.latency_objective * 1e6),
            "deadline": round(request_class.deadline * 1e6),
            "importance": request_class.priority_weight,
        }
        for request_class in request_classes
    ]
    quotas = tenants or {"acme": 1e6}
    return {
        "balancers": 1,
        "my_number": 0,
        "lanes": lanes,
        "models": ["two-core"],
        "zones": ["room"],
        "orgs": [{"name": name, "quota_per_s": quota} for name, quota in quotas.items()],
        "guarantees": {"drain_grace": 500_000},
        "limits": {
            "attempts_cap": 4,
            "cancelling": True,
            "parallel_tries": True,
            "retry_after": True,
            "max_retry_after": 600_000,
            "connect_timeout": 200_000,
            "conn_idle": 15_000_000,
        }
        | limits,
    }


def _descriptor_count(pid: int) -> int:
    """Open file descriptors of a process; raises OSError where it has ended."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


class GatewayProcess:
    """One gateway.

    `core` pins it to one processor core; `cores` is how many its configuration says that it may
    use; `balancing` are its settings; `sockets` is its limit of descriptors.
    """

    def __init__(
        self,
        folder: Path,
        discovery_port: int,
        balancing: dict[str, Any],
        sockets: int = 4096,
        core: int | None = None,
        cores: float = 1.0,
    ) -> None:
        self._ports: list[ReservedPort] = []
        self.port = self.reserve_port()
        self._folder = folder
        self._core = core
        self._data: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "8c1f",
            "limits": {"cores": cores, "memory_mb": 192, "sockets": sockets},
            "settings": balancing,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.admin = 0  # port of its operators' address; 0: they have none
        self.upgrades = ""  # the text of the file that turns upgrades on
        self.fleet = ""  # the text of the file that turns the view of the fleet on
        self.budget = ""  # the text of the file that holds traffic to other zones to a budget
        build = os.environ.get("RIG_BUILD")
        # The folder whose packages run in place of the source tree's: CI's second part names the
        # compiled build by RIG_BUILD.
        self.tree = Path(build) if build else None
        self.path: Path | None = None  # of modules that replace those of the build, on the disk
        self.extra_environment: dict[str, str] = {}  # of all its processes
        self.log_file: Path | None = None  # where its log goes, in place of a pipe
        self.launcher: tuple[str, ...] = ()  # a command that its command is passed to

    def limit_memory(self, memory_mb: int) -> None:
        """Let its configuration say that it may use so much memory."""
        self._data["limits"] = self._data["limits"] | {"memory_mb": memory_mb}

    def reserve_port(self) -> int:
        """A port for this gateway alone, also while it is killed and not started again yet."""
        reserved = ReservedPort()
        self._ports.append(reserved)
        return reserved.number

    @property
    def control(self) -> Path:
        """Where commands of its operators go, with upgrades on."""
        return self._folder / "control"

    async def send_command(self, command: str) -> list[str]:
        """Send an operator's command to the control socket; the lines of its answer."""
        reader, writer = await asyncio.open_unix_connection(str(self.control))
        writer.write(f"{command}\n".encode())
        text = (await reader.read()).decode()
        writer.close()
        return text.splitlines()

    async def call(self, method: str, path: str, port: int = 0) -> int:
        """Call the operators' address; the answer's status, 0: no answer in time."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", port or self.admin)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: g\r\n\r\n".encode())
                line = await reader.readline()
                writer.close()
            return int(line.split()[1]) if line else 0
        except (OSError, TimeoutError):
            return 0

    def processes(self) -> dict[int, int]:
        """Its process ids, the supervisor first, and the open descriptors of each."""
        children = Path(f"/proc/{self.pid}/task/{self.pid}/children").read_text().split()
        found = {}
        for pid in (self.pid, *map(int, children)):
            with contextlib.suppress(OSError):  # it has just ended
                found[pid] = _descriptor_count(pid)
        return found

    @property
    def address(self) -> tuple[str, int]:
        """Host and port at which clients reach it."""
        return "127.0.0.1", self.port

    @property
    def pid(self) -> int:
        """Its process id; it must have been started."""
        assert self.process is not None
        return self.process.pid

    def join_membership(
        self,
        fleet: str,
        listen: tuple[str, int],
        peers: list[str],
        everyone: str = "",
        every: str = "100 ms",
    ) -> None:
        """Let it take part in membership, by the text of this fleet file.

        It listens at `listen` and reaches each other gateway at its address in `peers`, by number,
        and all of them at `everyone`, where that is given; its view is written once in `every`.
        """
        self.fleet = f'{fleet}\n[report]\nfile = "{self.view_file}"\nevery = "{every}"\n'
        self.fleet += f'changes = "{self.changes_file}"\n'
        self._data |= {"peer_listen": f"{listen[0]}:{listen[1]}", "peers": peers}
        if everyone:
            self._data["peers_all"] = everyone

    @property
    def view_file(self) -> Path:
        """Where its view of the other gateways is written."""
        return self._folder / "view.json"

    @property
    def changes_file(self) -> Path:
        """Where changes of that view are written, one JSON object a line."""
        return self._folder / "changes.jsonl"

    def config_field(self, name: str) -> Any:
        """A field of its configuration file; raises KeyError."""
        return self._data[name]

    def reconfigure(self, **changes: Any) -> Path:
        """Write its configuration file, with changes; returns the path.

        The gateway reads the file at its start and by SIGHUP.
        """
        self._data |= changes
        path = self._folder / "gateway.json"
        path.write_text(json.dumps(self._data))
        return path

    async def start(self, log: bool = False, command: Sequence[str] = ("-m", "quillroad")) -> Self:
        """Start it, or `command` in its place, and wait until `/up` answers 200.

        With `log` its log goes to this process's standard error; otherwise `stop` returns it.
        Raises RuntimeError where it ends before that.
        """
        variables = {"GW_CONFIG": str(self.reconfigure())}
        if self.admin:
            variables["GW_ADMIN_ADDR"] = f"127.0.0.1:{self.admin}"
        if self.upgrades:
            upgrades = f'control = "{self.control}"\n{self.upgrades}'
            variables["QUILLROAD_UPGRADES"] = self._write_file("upgrades.toml", upgrades)
        if self.budget:
            variables["QUILLROAD_ZONES"] = self._write_file("zones.toml", self.budget)
        if self.fleet:
            variables["QUILLROAD_FLEET"] = self._write_file("fleet.toml", self.fleet)
        return await self._start(command, variables, log)

    def _write_file(self, name: str, text: str) -> str:
        """Write a file in the gateway's folder; returns its path."""
        file = self._folder / name
        file.write_text(text)
        return str(file)

    async def _start(self, command: Sequence[str], variables: dict[str, str], log: bool) -> Self:
        self.process = await self._spawn(command, variables, log)
        while not await self._up():
            if self.process.returncode is not None:
                raise RuntimeError(f"the gateway ended with {self.process.returncode}")
            await asyncio.sleep(UP_POLL_S)
        return self

    async def _spawn(
        self, command: Sequence[str], variables: dict[str, str], log: bool
    ) -> asyncio.subprocess.Process:
        if self.path is not None:
            variables["PYTHONPATH"] = f"{self.path}{os.pathsep}{ROOT}"
        environment = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(("GW_", "QUILLROAD_"))
        }
        interpreter_options: tuple[str, ...] = ()
        if self.tree is not None and self.path is None:
            environment["PYTHONPATH"] = f"{self.tree.resolve()}{os.pathsep}{ROOT}"
            interpreter_options = ("-P",)  # else the source tree, the working folder, comes first
        with contextlib.ExitStack() as files:
            stderr: Any = None if log else PIPE
            if self.log_file is not None:
                stderr = files.enter_context(self.log_file.open("ab"))
            process = await asyncio.create_subprocess_exec(
                *self.launcher,
                sys.executable,
                *interpreter_options,
                *command,
                cwd=ROOT,
                env=environment | variables | self.extra_environment,
                stdout=DEVNULL,
                stderr=stderr,
            )
        if self._core is not None:
            os.sched_setaffinity(process.pid, {self._core})
        return process

    async def _up(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    def cpu_s(self) -> float:
        """CPU time that it has used so far, in seconds (proc_pid_stat(5), fields 14 and 15)."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def io(self) -> tuple[int, int]:
        """Reads and writes that it has made so far (proc_pid_io(5), syscr and syscw)."""
        counters = dict(
            line.split(": ") for line in Path(f"/proc/{self.pid}/io").read_text().splitlines()
        )
        return int(counters["syscr"]), int(counters["syscw"])

    def memory_mb(self) -> float:
        """Resident memory now, in MB."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    def descriptors(self) -> int:
        """Open file descriptors of its first process."""
        return _descriptor_count(self.pid)

    def pause(self) -> None:
        """Stop it (SIGSTOP)."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let it run again (SIGCONT)."""
        os.kill(self.pid, signal.SIGCONT)

    def drain(self) -> None:
        """Ask it to end without loss (SIGTERM)."""
        os.kill(self.pid, signal.SIGTERM)

    def reload(self) -> None:
        """Let it read its files again (SIGHUP)."""
        os.kill(self.pid, signal.SIGHUP)

    def kill(self) -> None:
        """Kill its first process (SIGKILL); `stop` must be awaited before the next `start`."""
        os.kill(self.pid, signal.SIGKILL)

    async def stop(self) -> str:
        """Kill all its processes and wait for their end; returns its log where that was kept.

        It may be started again afterwards, at the same port.
        """
        process = self.process
        if process is None:
            return ""
        if process.returncode is None:
            for pid in self.processes():
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
        text = (await process.stderr.read()).decode() if process.stderr is not None else ""
        await process.wait()
        return text


class FileGateway(GatewayProcess):
    """One gateway by a configuration file that people write, at `path`."""

    def __init__(self, path: Path, port: int, core: int | None = None) -> None:
        super().__init__(path.parent, 1, {}, core=core)
        self._path = path
        self.port = port

    async def start(self, log: bool = False, command: Sequence[str] = ("-m", "quillroad")) -> Self:
        """Start it and wait until `/up` answers 200."""
        return await self._start((*command, "--config", str(self._path)), {}, log)
