"""Stand-ins and helpers that the cases share; standard library only.

Hosts, discovery and clients follow the protocol page. They run in the process of the case; the
gateway runs in processes of its own, started by the commands of `deploy/balancer.toml`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HEAD_END = b"\r\n\r\n"
KEEPALIVE_S = 2.0  # an empty line on a watch
DRAIN_GRACE_S = 0.55  # the settings' 500 ms, and the 50 ms that the protocol page adds
ANSWER_S = 0.09  # mean work of a request on the site: 51 to 120 ms
PIECE_S = 0.1  # between two pieces of a long answer
LIMIT_S = 115.0  # for a whole case
CANNOT_RUN = 2  # exit status
READY_S = 30.0  # a gateway has to be ready by then

CLASSES = {
    "status-check": {"method": "GET", "deadline_ms": 1400},
    "seat-checkout": {"method": "POST", "deadline_ms": 1900},
}


class CannotRunError(Exception):
    """The case could not run; nothing was found out."""


def free_port() -> int:
    """Return a free port of 127.0.0.1."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Journal:
    """What was sent, answered and run: lines in a file, with seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._zero = time.monotonic()

    def at(self, moment: float) -> float:
        """Return a moment of the monotonic clock as seconds since the start."""
        return moment - self._zero

    def write(self, text: str, moment: float | None = None) -> None:
        """Write a line, for now or for an earlier moment."""
        when = time.monotonic() if moment is None else moment
        self._file.write(f"{self.at(when):8.3f} {text}\n")
        self._file.flush()

    def note_line(self, text: str) -> None:
        """Write a line without a time."""
        self._file.write(text + "\n")
        self._file.flush()

    def note_request(self, sent: Sent, receipt: Receipt | None) -> None:
        """Write down what became of a request."""
        parts = [f"{sent.request_id}:"]
        parts.append(f"last byte sent {self.at(sent.written):.3f}" if sent.written else "not sent")
        if receipt is not None:
            parts.append(f"run by {receipt.host} {self.at(receipt.at):.3f}")
        if sent.answered:
            parts.append(f"answered {sent.status} {self.at(sent.answered):.3f}")
        else:
            parts.append(f"no whole answer, ended {self.at(sent.ended):.3f} ({sent.error})")
        self.note_line(" ".join(parts))

    def note(self, text: str) -> None:
        """Write a line without a time, and print it."""
        self._file.write(text + "\n")
        self._file.flush()
        print(text, flush=True)


@dataclass
class Receipt:
    """A request that a host received whole."""

    request_id: str
    host: str
    began: float  # first byte read
    at: float  # last byte read
    stated_ms: int  # Request-Timeout-Ms
    answered: float = 0.0  # its answer was written


@dataclass
class SecondCopy:
    """A second copy of an answer. Times are of the monotonic clock."""

    request_id: str
    answered: float  # the answer itself was written
    written: float


class Host:
    """One licence node: answers each request with a body made for its id."""

    def __init__(self, name: str, answer_s: float = ANSWER_S) -> None:
        self.name = name
        self.answer_s = answer_s
        self.receipts: list[Receipt] = []
        self.port = 0
        # By request id: bytes and seconds of an answer that takes longer than that of others.
        self.long_answers: dict[str, tuple[int, float]] = {}
        # Called with each request: whether a second copy of its answer follows right behind.
        self.writes_second_copy: Callable[[], bool] = lambda: False
        self.second_copies: list[SecondCopy] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "almaty-room1",
            "machineType": "three-core",
            "cell": 0,
            "lifecycle": "up",
            "weight": 1.0,
            "startedAtMs": 0,
        } | changes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        # The system's default for a socket, which asyncio changes.
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(HEAD_END)
                began = time.monotonic()
                headers = headers_of(head)
                await reader.readexactly(int(headers.get("content-length", "0")))
                receipt = Receipt(
                    headers.get("request-id", ""),
                    self.name,
                    began,
                    time.monotonic(),
                    int(headers.get("request-timeout-ms", "0")),
                )
                self.receipts.append(receipt)
                await self._answer(receipt, writer)
                if self.writes_second_copy():
                    self._write_second_copy(receipt, reader, writer)
        self._writers.discard(writer)
        writer.close()

    def _write_second_copy(
        self, receipt: Receipt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Write the answer once more, unless another request waits on the connection."""
        if reader._buffer:  # what asyncio has read, and this host has not
            return
        written = time.monotonic()
        writer.write(short_answer(receipt.request_id))
        self.second_copies.append(SecondCopy(receipt.request_id, receipt.answered, written))

    async def _answer(self, receipt: Receipt, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.answer_s)
        if receipt.request_id in self.long_answers:
            await self._answer_long(receipt, writer, *self.long_answers[receipt.request_id])
            return
        receipt.answered = time.monotonic()
        writer.write(short_answer(receipt.request_id))
        await writer.drain()

    async def _answer_long(
        self, receipt: Receipt, writer: asyncio.StreamWriter, size: int, seconds: float
    ) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        body = long_answer_body(receipt.request_id, size)
        began = time.monotonic()
        piece = -(-size // max(1, int(seconds / PIECE_S)))
        for number, start in enumerate(range(0, size, piece), 1):
            writer.write(body[start : start + piece])
            await writer.drain()
            await asyncio.sleep(began + number * PIECE_S - time.monotonic())


def answer_body(request_id: str) -> bytes:
    """Return the body that a host makes for this request."""
    return b"made for " + request_id.encode()


def short_answer(request_id: str) -> bytes:
    """Return the answer that a host gives to this request."""
    body = answer_body(request_id)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def long_answer_body(request_id: str, size: int) -> bytes:
    """Return a long body that a host makes for this request."""
    line = answer_body(request_id) + b"\n"
    return (line * (size // len(line) + 1))[:size]


def headers_of(head: bytes) -> dict[str, str]:
    """Return the headers of a head, names in lower case."""
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return headers


class Discovery:
    """The platform's list of hosts, as the agent on the gateway's machine has it."""

    def __init__(self, hosts: list[Host]) -> None:
        self.entries = {host.name: host.entry() for host in hosts}
        self.generation = 1
        self._watches: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def _document(self, whole: bool, entries: list[dict[str, Any]]) -> bytes:
        document = {"generation": self.generation, "reset": whole, "instances": entries}
        return json.dumps(document).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(HEAD_END)
            line = self._document(True, list(self.entries.values()))
            if b"watch=1" not in head.split(b"\r\n", 1)[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(line) + line)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(chunk(line))
            self._watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(KEEPALIVE_S)
                writer.write(chunk(b"\n"))
                await writer.drain()
        self._watches.discard(writer)
        writer.close()

    def tell(self, name: str, **changes: Any) -> None:
        """Change an entry, and write the change to all watches."""
        self.generation += 1
        self.entries[name] = self.entries[name] | changes
        for writer in list(self._watches):
            writer.write(chunk(self._document(False, [self.entries[name]])))


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def settings() -> dict[str, Any]:
    """Return the settings of the site `almaty-main`, as the adapter's page shows them."""
    return {
        "balancers": 1,
        "my_number": 0,
        "discovery": "push",
        "clients": {"marks_retry": False},
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
        "orgs": [{"name": "irtysh-design", "quota_per_s": 1000.0}],
        "over_share_worth": 0.05,
        "zone": 0,
        "zones": ["almaty-room1"],
    }


@dataclass
class Gateway:
    """One gateway's place: its addresses, configuration and common temporary folder."""

    folder: Path
    discovery_port: int
    journal: Journal
    settings: dict[str, Any] = field(default_factory=settings)
    sockets: int = 1024
    environment: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.port = free_port()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.logs: list[Path] = []
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        self._run = str(deploy["run"])
        (self.folder / "shared").mkdir()

    def start(self, admin_port: int = 0) -> subprocess.Popen[bytes]:
        """Start `run` of the deploy file, as the platform does; with an operators' address."""
        number = len(self.processes)
        listen = f"127.0.0.1:{self.port}"
        discovery = f"127.0.0.1:{self.discovery_port}"
        config = {
            "name": "n0",
            "listen": listen,
            "discovery": discovery,
            "seed": f"8c1f30d27a5be96{number}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": {},
            "settings": self.settings,
        }
        environment = os.environ | {
            "GW_NAME": "n0",
            "GW_LISTEN": listen,
            "GW_DISCOVERY": discovery,
            "TMPDIR": str(self.folder / "shared"),
        }
        if admin_port:
            config["admin_addr"] = environment["GW_ADMIN_ADDR"] = f"127.0.0.1:{admin_port}"
        path = self.folder / f"config-{number}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environment["GW_CONFIG"] = str(path)
        log = self.folder / f"log-{number}.txt"
        with log.open("wb") as output:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self._run],
                cwd=ROOT,
                env=environment | self.environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        self.processes.append(process)
        self.logs.append(log)
        self.journal.write(f"started gateway process {number + 1}, pid {process.pid}")
        return process

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals) -> float:
        """Send a signal to a process that this case started; return when."""
        if process.poll() is None:
            process.send_signal(number)
        self.journal.write(f"{number.name} to process {self.processes.index(process) + 1}")
        return time.monotonic()

    def end(self) -> None:
        """End all processes of this gateway, its workers too, and note their logs."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):  # its own session: workers are in it
                os.killpg(process.pid, signal.SIGKILL)
            process.wait()
        for number, log in enumerate(self.logs):
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
                self.journal.write(f"log of process {number + 1}: {line[:300]}")


def children_of(process: int) -> set[int]:
    """Return the ids of a process's children that run."""
    found = set()
    for path in Path("/proc").glob("[0-9]*/stat"):
        with contextlib.suppress(OSError):
            state, parent = path.read_text(encoding="utf-8").rpartition(") ")[2].split()[:2]
            if int(parent) == process and state != "Z":
                found.add(int(path.parent.name))
    return found


async def call(method: str, path: str, port: int) -> int:
    """Make one call of HTTP; return the status, 0 if there was no answer within a second."""
    with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: g\r\n\r\n".encode())
            line = await reader.readline()
            writer.close()
            return int(line.split()[1])
    return 0


async def wait_for_yes(method: str, path: str, port: int, limit_s: float = READY_S) -> float:
    """Call until the answer is 200; return when it came. Raise `CannotRunError` if it does not."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if await call(method, path, port) == 200:
            return time.monotonic()
        await asyncio.sleep(0.02)
    raise CannotRunError(f"{method} {path} was not answered with 200 within {limit_s:.0f} s")


async def wait_for_log(log: Path, text: str, limit_s: float) -> float:
    """Wait until a process has logged a text; return when. Raise `CannotRunError` if not."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if text in log.read_text(encoding="utf-8", errors="replace"):
            return time.monotonic()
        await asyncio.sleep(0.02)
    raise CannotRunError(f"not in the log within {limit_s:.0f} s: {text}")


def request_head(name: str, request_id: str, length: int = 0) -> bytes:
    """Return the head of a client's request of this class, in the form of the protocol page."""
    kind = CLASSES[name]
    lines = [
        f"{kind['method']} /{name}/k{request_id} HTTP/1.1",
        "Host: service.internal",
        f"Request-Id: {request_id}",
        "Tenant: irtysh-design",
        f"Request-Timeout-Ms: {kind['deadline_ms']}",
    ]
    if kind["method"] == "POST":
        lines += [f"Idempotency-Key: {request_id}", f"Content-Length: {length}"]
    return "\r\n".join(lines).encode() + HEAD_END


@dataclass
class Sent:
    """One request of a client. Times are of the monotonic clock; 0: did not happen."""

    request_id: str
    begun: float = 0.0
    written: float = 0.0  # its last byte was written
    answered: float = 0.0  # last byte of a whole answer
    status: int = 0
    ended: float = 0.0  # its connection ended without a whole answer
    body: bytes = b""
    error: str = ""
    resent: bool = False  # once more on a new connection, as the one before had been closed


async def read_answer(reader: asyncio.StreamReader, sent: Sent) -> dict[str, str]:
    """Read an answer with a length; raise as the reader does if it is not whole."""
    head = await reader.readuntil(HEAD_END)
    headers = headers_of(head)
    sent.body = await reader.readexactly(int(headers["content-length"]))
    sent.answered = time.monotonic()
    sent.status = int(head.split()[1])
    return headers


class Client:
    """One client that sends a request at a time, keeps its connection, and notes each request."""

    def __init__(self, port: int, name: str, prefix: str, pause_s: float) -> None:
        self._port = port
        self._name = name
        self._prefix = prefix
        self._pause_s = pause_s
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._stopped = False
        self.sent: list[Sent] = []

    def stop(self) -> None:
        """Send no further request."""
        self._stopped = True

    async def run(self, until: float = math.inf) -> None:
        """Send requests until this moment of the monotonic clock, or until `stop`."""
        number = 0
        while time.monotonic() < until and not self._stopped:
            number += 1
            await self._send(Sent(f"{self._prefix}-{number}"))
            await asyncio.sleep(self._pause_s)
        self._close()

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _send(self, sent: Sent) -> None:
        self.sent.append(sent)
        sent.begun = time.monotonic()
        deadline_s = CLASSES[self._name]["deadline_ms"] / 1000
        try:
            async with asyncio.timeout(deadline_s):
                reused = self._writer is not None
                try:
                    headers = await self._exchange(sent)
                except (OSError, asyncio.IncompleteReadError) as error:
                    # The gateway may close a connection between two requests; the client then
                    # sends the request once more on a new one.
                    if not reused or getattr(error, "partial", b""):
                        raise
                    self._close()
                    sent.resent = True
                    headers = await self._exchange(sent)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            sent.ended = time.monotonic()
            sent.error = type(error).__name__
            self._close()
            return
        if headers.get("connection", "").lower() == "close":
            self._close()

    async def _exchange(self, sent: Sent) -> dict[str, str]:
        if self._reader is None or self._writer is None:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        self._writer.write(request_head(self._name, sent.request_id))
        await self._writer.drain()
        sent.written = time.monotonic()
        return await read_answer(self._reader, sent)


RunCase = Callable[[Path, Journal, bool], Awaitable[int]]


def run_case(record: Path, run: RunCase) -> int:
    """Run a case and return its exit status; `record` is where its journal is written.

    1: the rule was broken, 0: it held, 2: the case could not run. The environment's `TROUBLE=0`
    leaves the disruption out.
    """
    journal = Journal(record)
    trouble = os.environ.get("TROUBLE") != "0"
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that all processes are ended
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(_run_in_time(run, Path(folder), journal, trouble))
        except (Exception, KeyboardInterrupt) as error:
            journal.note(f"could not run: {type(error).__name__}: {error}")
    return CANNOT_RUN


async def _run_in_time(run: RunCase, folder: Path, journal: Journal, trouble: bool) -> int:
    async with asyncio.timeout(LIMIT_S):
        return await run(folder, journal, trouble)
