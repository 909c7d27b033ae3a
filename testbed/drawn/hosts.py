"""Stand-in hosts that fail in the ways of a plan, and record every request that came whole."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from dataclasses import dataclass
from typing import Any, cast

from testbed.drawn.deployment import DrawnHost
from testbed.drawn.faults import HostFault
from testbed.hosts import BACKLOG, HEAD_END, header_value
from testbed.ports import ReservedPort

MAX_SECOND_ANSWER_S = 0.008  # so late at most does a host write an answer a second time
LATE_ANSWER_S = (0.2, 3.0)
CATCH_UP_S = 0.5  # for a host that reads again to read what has come meanwhile
RESET = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s
STALLING = (HostFault.HANG, HostFault.STOP_READING)


@dataclass(slots=True)
class Receipt:
    """One request that a host has received whole. Times are of the monotonic clock, in seconds.

    `told_s` is the time that the gateway said that it would wait. `may_have_run` is False where the
    host has turned the request away; `ended_at` is when it answered, or lost the connection.
    """

    id: str
    host: str
    zone: int
    cell: int
    at: float
    told_s: float
    may_have_run: bool = True
    ended_at: float = float("inf")
    what: str = ""  # what the host did
    answered: bool = False  # it has written an answer
    read_late: bool = False  # it came while the host read nothing, so `at` is late


@dataclass(frozen=True, slots=True)
class ActiveFault:
    """A fault of one host, between two times of the monotonic clock."""

    kind: HostFault
    begin_at: float
    end_at: float


def answer_body(request_id: str, host: str) -> bytes:
    """The body of a host's answer, by which the client sees whose answer it is."""
    return f"{request_id} {host}".encode()


class _Connection(asyncio.Protocol):
    """One connection of a gateway to a host."""

    def __init__(self, host: FaultyHost) -> None:
        self._host = host
        self._data = b""
        self.transport: asyncio.Transport | None = None
        self.open: Receipt | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self._host.connections.add(self)
        if self._host.active() is HostFault.STOP_READING:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that a request still out has ended here."""
        self.transport = None
        self._host.connections.discard(self)
        if self.open is not None:
            self.open.ended_at = time.monotonic()
            self.open = None

    def data_received(self, data: bytes) -> None:
        """Read requests; one without a Content-Length has no body."""
        self._data += data
        while (end := self._data.find(HEAD_END)) >= 0:
            head = self._data[:end].lower()
            size = end + len(HEAD_END) + int(header_value(head, b"content-length") or 0)
            if len(self._data) < size:
                return
            self._data = self._data[size:]
            self._host.received(self, head)

    def write(self, data: bytes) -> None:
        """Write, if the connection is still open."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def finish(self) -> None:
        """Note that the request was answered."""
        if self.open is not None:
            self.open.ended_at = time.monotonic()
            self.open.answered = True
            self.open = None

    def end(self, reset: bool) -> None:
        """End the connection, by RST if `reset`."""
        if self.transport is None:
            return
        if reset:
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()
        else:
            self.transport.close()


class FaultyHost:
    """One host on 127.0.0.1."""

    def __init__(self, drawn: DrawnHost, draw: random.Random) -> None:
        self.drawn = drawn
        self._draw = draw
        self._reserved = ReservedPort()  # also while it is away
        self.port = self._reserved.number
        self.started_at_ms = 0
        self.faults: list[ActiveFault] = []
        self.receipts: list[Receipt] = []
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._reads_late_until = 0.0

    async def start(self) -> FaultyHost:
        """Listen, at the same port as before if it listened before."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), "127.0.0.1", self.port, backlog=BACKLOG
        )
        return self

    def active(self) -> HostFault | None:
        """The fault that it has now."""
        now = time.monotonic()
        for fault in self.faults:
            if fault.begin_at <= now < fault.end_at:
                return fault.kind
        return None

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Its entry in the endpoint list, with changes."""
        line = {
            "instanceId": self.drawn.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": f"z{self.drawn.zone}",
            "machineType": "two-core",
            "cell": self.drawn.cell,
            "lifecycle": "up",
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }
        return line | changes

    @property
    def name(self) -> str:
        """Its name in the endpoint list."""
        return self.drawn.name

    def received(self, connection: _Connection, head: bytes) -> None:
        """Note a request that has come whole, and do with it what the active fault says."""
        request_id = header_value(head, b"request-id").decode()
        told_s = int(header_value(head, b"request-timeout-ms") or 0) / 1000
        receipt = Receipt(
            request_id, self.name, self.drawn.zone, self.drawn.cell, time.monotonic(), told_s
        )
        receipt.read_late = time.monotonic() < self._reads_late_until
        self.receipts.append(receipt)
        connection.open = receipt
        fault = self.active()
        receipt.what = "" if fault is None else fault.value
        if fault in STALLING:
            return
        delay_s = self.drawn.answer_s * self._draw.uniform(0.7, 1.4)
        if fault is HostFault.LATE:
            delay_s += self._draw.uniform(*LATE_ANSWER_S)
        asyncio.get_running_loop().call_later(delay_s, self._answer, connection, receipt, fault)

    def _answer(self, connection: _Connection, receipt: Receipt, fault: HostFault | None) -> None:
        if connection.open is not receipt:
            return
        body = answer_body(receipt.id, self.name)
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        match fault:
            case HostFault.STOP_IN_HEAD:
                connection.write(whole[:20])
            case HostFault.STOP_IN_BODY:
                connection.write(whole[:-3])
            case HostFault.STOP_IN_CHUNK:
                connection.write(chunked + b"%x\r\n%b" % (len(body), body[:4]))
            case HostFault.RESET_BEFORE | HostFault.CLOSE_BEFORE:
                connection.end(fault is HostFault.RESET_BEFORE)
            case HostFault.RESET_WITHIN | HostFault.CLOSE_WITHIN:
                connection.write(whole[:-3])
                asyncio.get_running_loop().call_later(
                    0.002, connection.end, fault is HostFault.RESET_WITHIN
                )
            case HostFault.NONSENSE:
                connection.write(self._draw.randbytes(40) + b"\r\n\r\n")
            case HostFault.ERROR:
                connection.write(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
                connection.finish()
            case HostFault.TURN_AWAY:
                receipt.may_have_run = False
                connection.write(
                    b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
                )
                connection.finish()
            case _:
                self._answer_whole(connection, whole, fault)

    def _answer_whole(self, connection: _Connection, whole: bytes, fault: HostFault | None) -> None:
        connection.write(whole)
        connection.finish()
        loop = asyncio.get_running_loop()
        if fault is HostFault.RESET_AFTER:
            loop.call_later(0.001, connection.end, True)
        elif fault is HostFault.TWICE:
            delay_s = self._draw.uniform(0.0005, MAX_SECOND_ANSWER_S)
            loop.call_later(delay_s, self._answer_again, connection, whole, time.monotonic())

    @staticmethod
    def _answer_again(connection: _Connection, whole: bytes, answered_at: float) -> None:
        """Write the answer again, unless that would be late or meet another request."""
        if connection.open is None and time.monotonic() < answered_at + 2 * MAX_SECOND_ANSWER_S:
            connection.write(whole)

    def go_away(self) -> None:
        """Stop listening and reset all connections, as a machine that restarts."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.end(True)

    def resume_reading(self) -> None:
        """Read again on all connections."""
        self._reads_late_until = time.monotonic() + CATCH_UP_S
        for connection in self.connections:
            if connection.transport is not None:
                connection.transport.resume_reading()

    def pause_reading(self) -> None:
        """Read nothing more on any connection."""
        for connection in self.connections:
            if connection.transport is not None:
                connection.transport.pause_reading()
