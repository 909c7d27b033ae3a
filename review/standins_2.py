"""Stand-ins that the cases 6 to 10 share: hosts, discovery, clients, operators and the platform.

They use the standard library only and follow PROTOCOL, DEPLOY and DAYS. All addresses are of the
loopback network; all times are of the monotonic clock, in seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
_kept_ports: list[socket.socket] = []  # see `free_port`
HELD, BROKEN, CANNOT_RUN = 0, 1, 2  # exit statuses of a case
KEEPALIVE_S = 2.0  # of a watch without changes: an empty line
POLL_S = 0.01
# The caller has gone, or the case ends; asyncio would log a cancellation as an error.
ENDS = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)
START_LIMIT_S = 30.0  # from a start to ready, as the pages have it


class CannotRunError(Exception):
    """The case could not run: nothing can be said about the rule."""


def trouble() -> bool:
    """Whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the seconds passed."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        print(f"{time.monotonic() - self._began_at:8.3f} {text}", file=self._file, flush=True)

    def at(self, moment: float) -> float:
        """Return a moment as this record shows it."""
        return moment - self._began_at


def free_port() -> int:
    """Return a TCP port of the loopback address that is nobody else's until this process ends.

    A bound socket that never listens keeps it: the system gives it to nobody who asks for any port,
    and lets the gateway bind it, as both set SO_REUSEADDR.
    """
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((LOOPBACK, 0))
    _kept_ports.append(bound)
    port: int = bound.getsockname()[1]
    return port


class Head(NamedTuple):
    """The head of a request: its first line, and its headers by name in lower case."""

    line: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = text.strip().split("\r\n")
    pairs = (one.partition(":") for one in rest)
    return Head(line, {name.lower(): value.strip() for name, _, value in pairs})


class Receipt(NamedTuple):
    """A request whose last byte came to a host."""

    at: float
    host: str
    request: str


class Host:
    """A host that answers each request after `delay_s` with a body that names the request."""

    def __init__(self, name: str, record: Record, delay_s: float) -> None:
        self.name = name
        self.delay_s = delay_s
        self.port = 0
        self.receipts: list[Receipt] = []
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDS):
            while True:
                head = await read_head(reader)
                await reader.readexactly(int(head.headers.get("content-length", "0")))
                request = head.headers.get("request-id", "")
                self.receipts.append(Receipt(time.monotonic(), self.name, request))
                self._record.note(f"host {self.name} received {request}")
                await asyncio.sleep(self.delay_s)
                body = f"answer to {request}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        writer.close()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return its entry in the list of hosts."""
        entry = {
            "instanceId": self.name,
            "hostPort": f"{LOOPBACK}:{self.port}",
            "zone": "almaty-room1",
            "machineType": "two-core",
            "cell": 0,
            "lifecycle": "up",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        return entry | changes

    def stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()


class Discovery:
    """The platform's discovery: the whole list, and watches that are told each change at once."""

    def __init__(self, entries: list[dict[str, Any]], record: Record) -> None:
        self.port = 0
        self._entries = {entry["instanceId"]: entry for entry in entries}
        self._generation = 1
        self.is_down = False
        self._watches: set[asyncio.StreamWriter] = set()
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def document(self, entries: list[dict[str, Any]], whole: bool) -> dict[str, Any]:
        """Return a document of the list."""
        return {"generation": self._generation, "reset": whole, "instances": entries}

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return self.document(list(self._entries.values()), True)

    def tell(self, name: str, **changes: Any) -> float:
        """Change an entry and write it to all watches; return when."""
        self._generation += 1
        self._entries[name] |= changes
        line = json.dumps(self.document([self._entries[name]], False)).encode() + b"\n"
        for writer in self._watches:
            writer.write(_chunk(line))
        self._record.note(f"discovery tells {len(self._watches)} watches: {name} {changes}")
        return time.monotonic()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDS):
            head = await read_head(reader)
            if self.is_down:
                await reader.read()  # until the caller gives up
                writer.close()
                return
            body = json.dumps(self.whole()).encode() + b"\n"
            if "watch=1" not in head.line:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(body))
            self._watches.add(writer)
            try:
                while not writer.is_closing():
                    await asyncio.sleep(KEEPALIVE_S)
                    if writer in self._watches:  # else it has fallen silent
                        writer.write(_chunk(b"\n"))
                        await writer.drain()
            finally:
                self._watches.discard(writer)
        writer.close()

    def go_down(self) -> None:
        """Fall silent: open watches, and calls from now on, get nothing any more."""
        self.is_down = True
        self._watches.clear()
        self._record.note("discovery is down")

    def come_back(self) -> float:
        """Answer calls again; return when."""
        self.is_down = False
        self._record.note("discovery is back")
        return time.monotonic()

    def stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings of one gateway of a small deployment, in the form of the WIRE page."""
    values: dict[str, Any] = {
        "balancers": 1,
        "my_number": 0,
        "discovery": "push",
        "guarantees": {
            "answer_slack": 20000,
            "ask_within": 10000000,
            "cold": 8800000,
            "cold_from": 0.32,
            "drain_grace": 500000,
            "fall_multiple": 3.0,
            "tip_after": 1000000,
        },
        "lanes": [
            {
                "name": "status-check",
                "semantics": "safe",
                "group": "all",
                "memory_span": 5000000,
                "goal_time": 580000,
                "deadline": 1400000,
                "importance": 2.0,
                "late_worth": 0.0,
                "stream": False,
            },
            {
                "name": "seat-checkout",
                "semantics": "keyed",
                "group": "all",
                "memory_span": 6000000,
                "goal_time": 750000,
                "deadline": 1900000,
                "importance": 8.0,
                "late_worth": 0.0,
                "stream": False,
            },
        ],
        "limits": {
            "attempts_cap": 4,
            "cancelling": True,
            "conn_idle": 15000000,
            "connect_timeout": 200000,
            "max_open": 20000,
            "max_retry_after": 600000,
            "parallel_tries": True,
            "peers": False,
            "probing": True,
            "retry_after": True,
            "streams_per_conn": 1,
        },
        "models": ["two-core", "three-core"],
        "orgs": [{"name": "irtysh-design", "fraction": 1.0, "quota_per_s": 320.0}],
        "over_share_worth": 0.05,
        "tick": 5000,
        "zone": 0,
        "zones": ["almaty-room1"],
    }
    return values | changes


class Process:
    """A process of the gateway, started as the platform does: `run` of the deploy file."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name = name
        self.admin = 0  # port of its operators' address; 0: none
        self.killed = False
        self._folder = folder
        self._record = record
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, environment: dict[str, str], command: str = "") -> None:
        """Start it with these variables beside those of the machine."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        inherited = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(("GW_", "QUILLROAD_", "PYTHON"))
        }
        log = (self._folder / f"{self.name}.log").open("wb")
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command or deploy["run"],
            cwd=ROOT,
            env=inherited | environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._record.note(f"process {self.name} started")

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def status(self) -> int | None:
        """Its exit status; None while it runs."""
        return None if self._process is None else self._process.returncode

    @property
    def log(self) -> str:
        """What it has written so far."""
        return (self._folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self.running and self._process is not None:
            self._record.note(f"process {self.name} gets {number.name}")
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def wait(self, seconds: float) -> bool:
        """Wait for its end; return whether it came in time."""
        if self._process is None:
            return True
        try:
            async with asyncio.timeout(seconds):
                await self._process.wait()
        except TimeoutError:
            return False
        self._record.note(f"process {self.name} has ended with {self._process.returncode}")
        return True

    async def kill(self) -> None:
        """End it whatever it does."""
        if self.running:
            self.killed = True
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.wait(5.0)


async def call(port: int, method: str, path: str, limit_s: float = 1.0) -> int:
    """Send one call without a body on a new connection; return its status, 0 without an answer."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: g\r\n\r\n".encode())
            line = await reader.readline()
            writer.close()
        return int(line.split()[1]) if line else 0
    except (OSError, TimeoutError, ValueError):
        return 0


async def until_yes(process: Process, port: int, path: str) -> None:
    """Wait until a process answers 200. Raises `CannotRunError` if that takes too long."""
    end = time.monotonic() + START_LIMIT_S
    while time.monotonic() < end and process.running:
        if await call(port, "GET", path) == 200:
            return
        await asyncio.sleep(POLL_S)
    raise CannotRunError(f"process {process.name} is not ready: {process.log[-2000:]}")


class Answer(NamedTuple):
    """An answer to a client; a status of 0 means that the connection ended without a whole one."""

    status: int
    body: bytes
    at: float
    keep: bool


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a Content-Length or in chunks."""
    try:
        head = await read_head(reader)
        body = b""
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            body = await reader.readexactly(int(head.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(0, b"", time.monotonic(), False)
    keep = head.headers.get("connection", "").lower() != "close"
    return Answer(int(head.line.split()[1]), body, time.monotonic(), keep)


def get_request(request: str, timeout_ms: int = 1400) -> bytes:
    """Return a status-check."""
    return (
        f"GET /status-check/ws-{request} HTTP/1.1\r\nHost: service.internal\r\n"
        f"Request-Id: {request}\r\nTenant: irtysh-design\r\n"
        f"Request-Timeout-Ms: {timeout_ms}\r\n\r\n"
    ).encode()


async def ask_steadily(
    port: int, name: str, pause_s: float, stop: asyncio.Event, record: Record
) -> None:
    """Send one status-check after the other on a kept connection, until `stop` is set."""
    number = 0
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
        except OSError as error:
            record.note(f"client {name} could not connect: {error}")
            await asyncio.sleep(pause_s)
            continue
        keep = True
        while keep and not stop.is_set():
            number += 1
            writer.write(get_request(f"{name}-{number}"))
            answer = await read_answer(reader)
            record.note(f"client {name}-{number}: {answer.status or 'connection ended'}")
            keep = answer.keep
            await asyncio.sleep(pause_s)
        writer.close()


def post_request(request: str, size: int, timeout_ms: int = 1900) -> tuple[bytes, bytes]:
    """Return head and body of a seat-checkout."""
    head = (
        f"POST /seat-checkout/ws-{request} HTTP/1.1\r\nHost: service.internal\r\n"
        f"Request-Id: {request}\r\nTenant: irtysh-design\r\n"
        f"Request-Timeout-Ms: {timeout_ms}\r\nIdempotency-Key: key-{request}\r\n"
        f"Content-Length: {size}\r\n\r\n"
    )
    return head.encode(), b"x" * size


class Deployment:
    """Hosts, discovery and the configuration of one gateway with an operators' address.

    Its processes share the clients' address and TMPDIR, as in an upgrade of DAYS.
    """

    def __init__(self, record: Record, folder: Path, hosts: int, host_s: float) -> None:
        self.hosts = [Host(f"s-{number}", record, host_s) for number in range(hosts)]
        self.port = free_port()
        self._record = record
        self._folder = folder
        self.environment: dict[str, str] = {}

    async def start(self, **changes: Any) -> None:
        """Start hosts and discovery, and write the configuration; `changes` are to the settings."""
        for host in self.hosts:
            await host.start()
        self.discovery = Discovery([host.entry() for host in self.hosts], self._record)
        await self.discovery.start()
        config = {
            "name": "n0",
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.whole(),
            "settings": settings(**changes),
        }
        path = self._folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        (self._folder / "tmp").mkdir()
        self.environment = {
            "GW_CONFIG": str(path),
            "GW_LISTEN": str(config["listen"]),
            "GW_DISCOVERY": str(config["discovery"]),
            "GW_NAME": "n0",
            "TMPDIR": str(self._folder / "tmp"),
        }

    async def start_process(self, name: str, processes: list[Process]) -> Process:
        """Start a process with an operators' address of its own, and wait for its yes."""
        process = Process(name, self._folder, self._record)
        process.admin = free_port()
        processes.append(process)
        await process.start(self.environment | {"GW_ADMIN_ADDR": f"{LOOPBACK}:{process.admin}"})
        await until_yes(process, process.admin, "/healthcheck")
        self._record.note(f"process {name} says yes")
        return process

    def receipts(self) -> list[Receipt]:
        """Return what all hosts received."""
        return [receipt for host in self.hosts for receipt in host.receipts]

    def stop(self) -> None:
        """Stop hosts and discovery."""
        for host in self.hosts:
            host.stop()
        self.discovery.stop()


Case = Callable[[Record, Path, list[Process]], Awaitable[list[str]]]


async def _run_limited(case: Case, record: Record, folder: Path, limit_s: float) -> int:
    processes: list[Process] = []
    try:
        async with asyncio.timeout(limit_s):
            broken = await case(record, folder, processes)
    except Exception:  # whatever it is, it says nothing about the rule
        record.note(f"could not run: {traceback.format_exc()}")
        return CANNOT_RUN
    finally:
        for process in processes:
            await process.kill()
            record.note(f"log of {process.name}:\n{process.log}")
    for line in broken:
        record.note(f"BROKEN {line}")
    record.note(f"the rule was {'broken' if broken else 'kept'}")
    return BROKEN if broken else HELD


def main(case: Case, record_path: Path, limit_s: float = 110.0) -> int:
    """Run a case in a temporary folder, and record it in a file; return its exit status.

    The case appends the processes that it starts to its third parameter, and returns one line for
    each break of the rule.
    """
    record = Record(record_path)
    record.note("with the disruption" if trouble() else "without the disruption")
    temporary = Path(tempfile.mkdtemp(prefix="quillroad-review-"))
    try:
        status = asyncio.run(_run_limited(case, record, temporary, limit_s))
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    print({HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[status], file=sys.stderr)
    return status
