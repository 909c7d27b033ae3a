"""Stand-in hosts, and the discovery that lists them.

Hosts answer after a set time, remember every request received, and fail on command; fast enough to
serve a gateway at its full rate from one core.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol, cast

from quillroad.upstream.quick_ack import BorrowedSocket
from testbed.account import Receipt
from testbed.lines import gateway_at

HEAD_END = b"\r\n\r\n"
HOSTS_AT = b'"127.0.0.1:'  # how an address of a host begins in a line of discovery
BACKLOG = 1024  # connects that wait at a host: a whole storm of gateways' first connects
KEEPALIVE_S = 2.0  # the protocol's interval of empty lines on a watch
FIRST_WRITE_S = 0.0005  # for the event loop to write an answer, before a second one follows
# A second answer that this process could not write in time is left out: so late, one may meet the
# next request on its way, and no gateway can tell it from that request's answer.
MAX_SECOND_ANSWER_DELAY_S = 0.015


def answer_to(request: str) -> bytes:
    """The answer to a request, which names it, so that its client sees whose answer it got."""
    body = request.encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def _long_answer(size: int) -> bytes:
    """An answer of so many bytes, which names no request."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (size, b"x" * size)


@dataclass(frozen=True, slots=True)
class SecondAnswer:
    """An answer that a host wrote twice: when it was answered, and when the second write was.

    Times are of the monotonic clock, in seconds; the write began and ended between the last two.
    """

    answered_at: float
    write_began_at: float
    write_ended_at: float
    nodelay: bool

    def __str__(self) -> str:
        began_ms = (self.write_began_at - self.answered_at) * 1e3
        ended_ms = (self.write_ended_at - self.answered_at) * 1e3
        socket_kind = "with" if self.nodelay else "without"
        return f"again after {began_ms:.1f} to {ended_ms:.1f} ms, {socket_kind} TCP_NODELAY"


@dataclass(slots=True)
class SecondAnswers:
    """A fault: a host writes some of its answers twice, where no other request waits for one.

    `fraction` (0 to 1) is how many, `max_late_s` how long after the answer in seconds at the most,
    below `MAX_SECOND_ANSWER_DELAY_S`; `draw` decides both. `written` has them by request.
    """

    fraction: float
    max_late_s: float
    draw: random.Random
    written: dict[str, SecondAnswer] = field(default_factory=dict, init=False)


def header_value(head: bytes, name: bytes) -> bytes:
    """A header's value in a head given in lower case; empty where there is none."""
    at = head.find(b"\r\n" + name + b": ")
    return head[at + len(name) + 4 :].split(b"\r\n", 1)[0] if at >= 0 else b""


class _Connection(asyncio.Protocol):
    """One connection of a gateway to a host."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._data = b""
        self._unanswered = 0  # requests received
        self._asks_long = False  # the latest request is for a long answer
        self.transport: asyncio.Transport | None = None
        self.by = -1  # the gateway at the other end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and note which gateway it is, if it came through the relay."""
        self.transport = cast(asyncio.Transport, transport)
        self._socket = BorrowedSocket(transport.get_extra_info("socket").fileno())
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, self._host.nodelay)
        self.by = gateway_at(transport.get_extra_info("peername")[0])
        self._host.connections.add(self)
        self._host.connects += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport: no answer can be sent any more."""
        self.transport = None
        self._host.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Read requests; one without a Content-Length has no body."""
        self._data += data
        while (end := self._data.find(HEAD_END)) >= 0:
            head = self._data[:end].lower()
            request_end = end + len(HEAD_END) + int(header_value(head, b"content-length") or 0)
            if len(self._data) < request_end:
                return
            self._data = self._data[request_end:]
            key = header_value(head, b"idempotency-key").decode()
            self._unanswered += 1
            self._asks_long = b" /status-check/long " in head
            self._host.received(self, header_value(head, b"request-id").decode(), key)

    def answer(self, request: str) -> None:
        """Send the answer to a request, if the connection is still open."""
        if self.transport is None:
            return
        self._unanswered -= 1
        if self._asks_long and self._host.long_answer_bytes:
            self.transport.write(_long_answer(self._host.long_answer_bytes))
            return
        self.transport.write(answer_to(request))
        faults = self._host.second_answers
        if faults is not None and faults.draw.random() < faults.fraction:
            late_s = FIRST_WRITE_S + faults.draw.uniform(0.0, faults.max_late_s)
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._answer_again, faults, request, time.monotonic())

    def _answer_again(self, faults: SecondAnswers, request: str, answered_at: float) -> None:
        """Write the answer a second time, by a system call of its own."""
        if self.transport is None or self.transport.is_closing() or self._unanswered:
            return
        answer = answer_to(request)
        began_at = time.monotonic()
        if began_at - answered_at >= MAX_SECOND_ANSWER_DELAY_S:
            return
        with contextlib.suppress(OSError):  # the gateway has closed the connection
            self._socket.send(answer)
            ended_at = time.monotonic()
            faults.written[request] = SecondAnswer(
                answered_at, began_at, ended_at, self._host.nodelay
            )


class Host:
    """One stand-in host on 127.0.0.1.

    `delay` is the time in seconds to an answer; while `hangs` it answers nothing. `nodelay` sets
    TCP_NODELAY on new connections, which the system leaves unset. `second_answers` is a fault that
    it has, or None. Requests for the key `long` get `long_answer_bytes`, unless that is 0.
    """

    def __init__(self, name: str, delay: float = 0.0, zone: str = "room") -> None:
        self.name = name
        self.delay = delay
        self.hangs = False
        self.nodelay = False
        self.long_answer_bytes = 0
        self.second_answers: SecondAnswers | None = None
        self.zone = zone
        self.port = 0
        self.connects = 0
        self.receipts: list[Receipt] = []
        self.connections: set[_Connection] = set()
        self.on_receipt: Callable[[Receipt], None] | None = None

    async def start(self, port: int = 0) -> Host:
        """Listen on this port, or on a free one; raises OSError where it is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), "127.0.0.1", port, backlog=BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def received(self, connection: _Connection, request: str, key: str) -> None:
        """Note a request that has come whole, and answer it."""
        receipt = Receipt(request, self.name, time.monotonic(), key, connection.by)
        self.receipts.append(receipt)
        if self.on_receipt is not None:
            self.on_receipt(receipt)
        if self.hangs:
            return
        if self.delay > 0:
            asyncio.get_running_loop().call_later(self.delay, connection.answer, request)
        else:
            connection.answer(request)

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Its entry in the endpoint list, with changes."""
        line = {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": "two-core",
            "cell": 0,
            "lifecycle": "up",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        return line | changes

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class ListedHost(Protocol):
    """A host in the list of discovery."""

    @property
    def name(self) -> str:
        """Its name."""

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Its entry in the endpoint list, with changes."""


class Discovery:
    """Sends the endpoint list to every watch, and changes as tests make them."""

    def __init__(self, hosts: Sequence[ListedHost]) -> None:
        self._entries = {host.name: host.entry() for host in hosts}
        self._generation = 1
        self.port = 0
        self._watches: list[asyncio.StreamWriter] = []
        self._silent: set[asyncio.StreamWriter] = set()
        self._is_down = False
        self.keepalives_sent = 0  # over all watches

    @staticmethod
    def _as_seen(line: bytes, writer: asyncio.StreamWriter) -> bytes:
        """The line with the address at which this caller reaches hosts.

        That is the caller's own, where its connections go through the relay.
        """
        host = writer.get_extra_info("peername")[0]
        return line if gateway_at(host) < 0 else line.replace(HOSTS_AT, f'"{host}:'.encode())

    def _line(
        self, whole: bool, entries: list[dict[str, Any]], writer: asyncio.StreamWriter
    ) -> bytes:
        update = {"generation": self._generation, "reset": whole, "instances": entries}
        data = self._as_seen(json.dumps(update).encode() + b"\n", writer)
        return b"%x\r\n%b\r\n" % (len(data), data)

    async def start(self) -> Discovery:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            if self._is_down:
                await reader.read()  # until the caller gives up
                return
            if not await self._is_answered(writer):
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(self._line(True, list(self._entries.values()), writer))
            self._watches.append(writer)
            while not writer.is_closing() and not await self._has_left(reader):
                if writer in self._silent or writer.is_closing():
                    continue
                writer.write(b"1\r\n\n\r\n")  # the empty line
                self.keepalives_sent += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The caller has gone, or the event loop ends. A cancellation is not passed on:
            # asyncio's streams would log it as an error of this callback.
            pass
        finally:
            writer.close()
            self._forget(writer)

    @staticmethod
    async def _has_left(reader: asyncio.StreamReader) -> bool:
        """Whether the caller ends its connection before the next empty line is due."""
        try:
            async with asyncio.timeout(KEEPALIVE_S):
                return not await reader.read(1)
        except TimeoutError:
            return False

    def _forget(self, writer: asyncio.StreamWriter) -> None:
        self._silent.discard(writer)
        if writer in self._watches:
            self._watches.remove(writer)

    async def _is_answered(self, writer: asyncio.StreamWriter) -> bool:
        """Whether this call is answered. Here each is, at once."""
        return True

    def tell(self, name: str, **changes: Any) -> None:
        """Change one host's entry, for all watches; raises KeyError."""
        self._generation += 1
        entry = self._entries[name] = self._entries[name] | changes
        self._write(self._watches, entry)

    def break_off(self, name: str, keep: str, most: int | None = None, **changes: Any) -> int:
        """Change one host's entry, and end some watches in the middle of telling it.

        The oldest `most` watches (None: all) end right after `keep`, a part of the line's text; the
        others get the whole line. Returns how many ended; raises ValueError where the line has no
        such part.
        """
        self._generation += 1
        entry = self._entries[name] = self._entries[name] | changes
        ended = self._watches[:most]
        self._watches = self._watches[len(ended) :]
        broken = self._write(ended, entry, keep.encode())
        for writer in ended:
            writer.close()
        self._write(self._watches, entry)
        return broken

    def _write(
        self, watches: list[asyncio.StreamWriter], entry: dict[str, Any], keep: bytes = b""
    ) -> int:
        listening = [writer for writer in watches if not writer.is_closing()]
        for writer in listening:
            line = self._line(False, [entry], writer)
            writer.write(line[: line.index(keep) + len(keep)] if keep else line)
        return len(listening)

    @property
    def watching(self) -> int:
        """How many watches are open and get changes."""
        return len(self._watches)

    def fall_silent(self) -> None:
        """Let open watches stay open and get nothing more, not even empty lines.

        New calls are answered as before.
        """
        self._silent.update(self._watches)
        self._watches.clear()

    def go_down(self) -> None:
        """Fall silent on all watches and on all calls from now on, which are never answered."""
        self._is_down = True
        self.fall_silent()

    def come_back(self) -> None:
        """Answer new calls again."""
        self._is_down = False

    def stop(self) -> None:
        """Close the listener and all watches."""
        self._server.close()
        for writer in (*self._watches, *self._silent):
            writer.close()


class CrowdedDiscovery(Discovery):
    """A discovery that serves all its callers one by one.

    A call takes `work_s` seconds; who has waited for `wait_timeout_s` is turned away with 503.
    """

    def __init__(self, hosts: list[Host], work_s: float, wait_timeout_s: float) -> None:
        super().__init__(hosts)
        self._work_s = work_s
        self._wait_timeout_s = wait_timeout_s
        self._busy = asyncio.Lock()  # serves its waiters in the order in which they came
        self.turned_away = 0

    async def _is_answered(self, writer: asyncio.StreamWriter) -> bool:
        try:
            async with asyncio.timeout(self._wait_timeout_s):
                await self._busy.acquire()
        except TimeoutError:
            self.turned_away += 1
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return False
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._busy.release()
        return True
