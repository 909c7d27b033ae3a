"""Clients that speak the gateway's HTTP: open loop by a schedule, and closed loop.

A client sends one request at a time on a connection and never retries by itself. Requests that the
testbed itself sends late show in `lag`.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from typing import cast

from quillroad.overload.socket_age import Socket, data_age
from testbed.account import Record, RequestClass

LATE_ANSWER_WAIT_S = 0.5  # past the deadline, for late answers to show that they are late
SEND_EARLY_S = 0.0005  # a request may go out this much before its time: sleeps are no finer
YIELD_LATE_S = 0.01  # a sender this late lets answers be read before it sends on
SETTLE_POLL_S = 0.01  # between two looks at whether every request has its answer

HEAD_END = b"\r\n\r\n"


def _header(head: bytes, name: bytes) -> bytes:
    """A number in a head given in lower case, as text; `0` where the head has no such header."""
    at = head.find(name + b":")
    return b"0" if at < 0 else head[at + len(name) + 1 :].split(b"\r\n", 1)[0]


class Connection(asyncio.Protocol):
    """One client connection, with at most one request on it."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self.transport: asyncio.Transport | None = None
        self.record: Record | None = None
        self.used = False
        self.sent = b""
        self._data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and the socket, which tells when data came."""
        self.transport = cast(asyncio.Transport, transport)
        self._sock: Socket = transport.get_extra_info("socket")

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the load, which records the request as unanswered or sends it again."""
        self.transport = None
        self._load.lost(self)

    def send(self, record: Record, data: bytes) -> None:
        """Send a request and note when; the connection must be open and idle."""
        assert self.transport is not None
        self.record = record
        record.first_on_connection = not self.used
        self.used = True
        self.sent = data
        record.sent = record.sent or time.monotonic()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Read responses; they must have a Content-Length."""
        self._data += data
        while (end := self._data.find(HEAD_END)) >= 0:
            head = self._data[:end].lower()
            body_at = end + len(HEAD_END)
            size = int(_header(head, b"content-length"))
            if len(self._data) < body_at + size:
                return
            body = self._data[body_at : body_at + size]
            self._data = self._data[body_at + size :]
            self._answered(head, body)

    def _answered(self, head: bytes, body: bytes) -> None:
        """Note a whole response, its head in lower case, in the record of its request."""
        record = self.record
        self.record = None
        if record is not None:
            # When it came to this machine: a client that reads late makes no answer late.
            record.done = time.monotonic() - data_age(self._sock)
            record.status = int(head[9:12])
            if record.status == HTTPStatus.OK:
                record.answered_for = body.decode()
            record.retry_after = float(_header(head, b"retry-after"))
        keep = b"connection: close" not in head
        if not keep and self.transport is not None:
            self.transport.close()
        self._load.answered(self, record, keep)


def _request_bytes(request_class: RequestClass, request_id: str, tenant: str, key: int) -> bytes:
    """A request as it goes on the wire; `key` is the last part of its path."""
    method, key_headers, body = b"GET", b"", b""
    if request_class.keyed:
        method = b"POST"
        key_headers = b"Idempotency-Key: k-%b\r\nContent-Length: %d\r\n" % (
            request_id.encode(),
            request_class.body_bytes,
        )
        body = b"x" * request_class.body_bytes
    return (
        b"%b /%b/w%d HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %b\r\nTenant: %b\r\n"
        b"Request-Timeout-Ms: %d\r\n%b\r\n%b"
    ) % (
        method,
        request_class.name.encode(),
        key,
        request_id.encode(),
        tenant.encode(),
        round(request_class.deadline * 1000),
        key_headers,
        body,
    )


class Load:
    """Sends requests of a mix to one gateway and keeps a record of each.

    `weights` are those of `request_classes` in the mix; `tenants` and `keys` are dealt out evenly
    and at random.
    `most` bounds the connections that an open-loop client opens; arrivals beyond it are counted in
    `unsent`. `lag` is the most that a scheduled arrival was sent late, in seconds.
    """

    def __init__(
        self,
        address: tuple[str, int],
        request_classes: Sequence[RequestClass],
        weights: Sequence[float],
        *,
        tenants: Sequence[str] = ("acme",),
        keys: int = 200,
        most: int = 1000,
        seed: int = 1,
        prefix: str = "c",
    ) -> None:
        self.address = address
        self.request_classes = request_classes
        self.records: list[Record] = []
        self.unsent = 0
        self.lag = 0.0  # the most that a scheduled arrival was sent late, in seconds
        self._cumulative_weights = list(itertools.accumulate(weights))
        self._tenants = tenants
        self._keys = keys
        self._most = most
        self._random = random.Random(seed)
        self._prefix = prefix
        self._connections: set[Connection] = set()
        self._idle: list[Connection] = []
        self.refused_connects = 0  # that the gateway's address did not take
        self._opening: set[asyncio.Task[None]] = set()
        self._again = False  # closed-loop: the next request follows an answer

    def request(self, class_index: int | None = None) -> tuple[Record, bytes]:
        """Make a new request, of that class or of a random one: its record and its bytes."""
        if class_index is None:
            drawn = self._random.random() * self._cumulative_weights[-1]
            class_index = next(i for i, w in enumerate(self._cumulative_weights) if drawn <= w)
        request_class = self.request_classes[class_index]
        request_id = f"{self._prefix}{len(self.records):x}"
        tenant = self._tenants[int(self._random.random() * len(self._tenants))]
        record = Record(request_id, class_index, 0.0, request_class.deadline, tenant)
        self.records.append(record)
        key = int(self._random.random() * self._keys)
        return record, _request_bytes(request_class, request_id, tenant, key)

    # Called by connections.

    def answered(self, connection: Connection, record: Record | None, keep: bool) -> None:
        """A response has come whole; `keep`: its connection takes another request."""
        if self._again:
            if keep:
                connection.send(*self.request())
            else:
                self._open(True)
        elif keep:
            self._idle.append(connection)

    def lost(self, connection: Connection) -> None:
        """A connection has ended, maybe with a request that has no answer."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        record = connection.record
        connection.record = None
        if record is None:
            return
        if not record.first_on_connection and not record.resent:
            # A gateway may close a connection between two requests. A request that was already on
            # its way then is sent once more on a new connection; otherwise it would count as lost.
            record.resent = True
            self._open(True, (record, connection.sent))
        elif self._again:
            self._open(True)

    # Sending.

    async def _connect(self, send: bool, made: tuple[Record, bytes] | None = None) -> None:
        """Open a connection and send at once. A request's time begins when it is sent."""
        loop = asyncio.get_running_loop()
        if send and made is None:
            made = self.request()
        began = time.monotonic()
        try:
            _, connection = await loop.create_connection(lambda: Connection(self), *self.address)
        except OSError:
            self.refused_connects += 1
            if made is not None:
                made[0].sent = made[0].sent or began
                made[0].refused = True
            return
        self._connections.add(connection)
        if made is not None and connection.transport is not None:
            connection.send(*made)

    def _open(self, send: bool, made: tuple[Record, bytes] | None = None) -> None:
        task = asyncio.get_running_loop().create_task(self._connect(send, made))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def _arrive(self) -> None:
        while self._idle:
            connection = self._idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.send(*self.request())
                return
        if len(self._connections) + len(self._opening) >= self._most:
            self.unsent += 1
            return
        self._open(True)

    async def open_loop(self, times: Iterable[float]) -> None:
        """Send at the given times (seconds from now), whatever became of the requests before.

        Returns once the last request has its answer or its client has given up.
        """
        began = time.monotonic()
        for at in times:
            while (left_s := began + at - time.monotonic()) > SEND_EARLY_S:
                await asyncio.sleep(left_s)
            self.lag = max(self.lag, -left_s)
            self._arrive()
            if left_s < -YIELD_LATE_S:
                await asyncio.sleep(0)
        await self.settle()

    async def closed_loop(self, connections: int, seconds: float) -> None:
        """Run so many clients for `seconds`, each asking again as soon as it is answered."""
        self.begin_closed_loop(connections)
        await asyncio.sleep(seconds)
        await self.end_closed_loop()

    def begin_closed_loop(self, connections: int) -> None:
        """Start so many clients, each asking again as soon as it is answered."""
        self._again = True
        for _ in range(connections):
            self._open(True)

    async def end_closed_loop(self) -> None:
        """Let clients ask no more, and wait for the answers to what they asked."""
        self._again = False
        await self.settle()

    async def burst(self, count: int, silent: int = 0) -> None:
        """Open `count` connections with a request each, and `silent` without, at one instant."""
        connects = count + silent
        for i in range(connects):
            self._open(i % (connects // silent) != 0 if silent else True)
        await self.settle()

    async def settle(self) -> None:
        """Wait until every request has its answer or its client has given up; then close all."""
        longest = max(request_class.deadline for request_class in self.request_classes)
        longest += LATE_ANSWER_WAIT_S
        end = time.monotonic() + longest
        while time.monotonic() < end:
            if not self._opening and not any(c.record is not None for c in self._connections):
                break
            await asyncio.sleep(SETTLE_POLL_S)
        # Where this process stood still, answers that came in time are in the kernel, unread.
        await asyncio.sleep(SETTLE_POLL_S)
        for task in list(self._opening):
            task.cancel()
        for connection in list(self._connections):
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.sleep(0)
