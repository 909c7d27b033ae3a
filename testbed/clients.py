"""Clients that speak the gateway's HTTP: open-loop by a schedule, and closed-loop; a record each request.

A client sends one request at a time on a connection and never asks again by itself. What the
testbed can't send
in time is the testbed's own fault and shows in `lag`.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Iterable, Sequence
from typing import cast

from quillroad.overload.socket_age import Socket, data_age
from testbed.account import Record, Work

GRACE_S = 0.5  # past the deadline, for late answers to show that they are late


class Connection(asyncio.Protocol):
    """One client connection."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self.transport: asyncio.Transport | None = None
        self.record: Record | None = None
        self.used = False
        self.sent = b""
        self._data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._sock: Socket = transport.get_extra_info("socket")

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._load.lost(self)

    def send(self, record: Record, data: bytes) -> None:
        assert self.transport is not None
        self.record, record.first_on_connection, self.used = record, not self.used, True
        self.sent = data
        record.sent = record.sent or time.monotonic()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._data += data
        while (end := self._data.find(b"\r\n\r\n")) >= 0:
            head = self._data[:end].lower()
            at = head.find(b"content-length:")
            size = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(self._data) < end + 4 + size:
                return
            self._data = self._data[end + 4 + size :]
            record, self.record = self.record, None
            if record is not None:
                # When it came to this machine: a client that reads late makes no answer late.
                record.done = time.monotonic() - data_age(self._sock)
                record.status = int(head[9:12])
                at = head.find(b"retry-after:")
                record.retry_after = float(head[at + 12 :].split(b"\r\n", 1)[0]) if at >= 0 else 0.0
            keep = b"connection: close" not in head
            if not keep and self.transport is not None:
                self.transport.close()
            self._load.answered(self, record, keep)


class Load:
    """Sends requests of a mix to one gateway and keeps a record of each.

    `shares` weigh the classes of `works`; `tenants` and `keys` are dealt out evenly and at random. `most`
    bounds the connections that an open-loop client opens; arrivals past it are counted in `unsent`.
    """

    def __init__(
        self,
        address: tuple[str, int],
        works: Sequence[Work],
        shares: Sequence[float],
        *,
        tenants: Sequence[str] = ("acme",),
        keys: int = 200,
        most: int = 1000,
        seed: int = 1,
        prefix: str = "c",
    ) -> None:
        self.address, self.works = address, works
        self.records: list[Record] = []
        self.unsent = 0
        self.lag = 0.0  # the most that a scheduled arrival was sent late, in seconds
        self._shares = list(itertools.accumulate(shares))
        self._tenants, self._keys, self._most = tenants, keys, most
        self._chance, self._prefix = random.Random(seed), prefix
        self._connections: set[Connection] = set()
        self._idle: list[Connection] = []
        self.refused_connects = 0  # that the gateway's address did not take
        self._opening: set[asyncio.Task[None]] = set()
        self._again = False  # closed-loop: the next request follows an answer
        self._end = 0.0

    def request(self, work: int | None = None) -> tuple[Record, bytes]:
        """A new request: its record and its bytes."""
        if work is None:
            drawn = self._chance.random() * self._shares[-1]
            work = next(i for i, share in enumerate(self._shares) if drawn <= share)
        told = self.works[work]
        number = f"{self._prefix}{len(self.records):x}"
        tenant = self._tenants[int(self._chance.random() * len(self._tenants))]
        record = Record(number, work, 0.0, told.deadline, tenant)
        self.records.append(record)
        key = int(self._chance.random() * self._keys)
        more = b""
        if told.keyed:
            more = b"Idempotency-Key: k-%b\r\nContent-Length: %d\r\n" % (number.encode(), told.body)
        data = (
            b"%b /%b/w%d HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %b\r\nTenant: %b\r\n"
            b"Request-Timeout-Ms: %d\r\n%b\r\n%b"
        ) % (
            b"POST" if told.keyed else b"GET",
            told.name.encode(),
            key,
            number.encode(),
            tenant.encode(),
            round(told.deadline * 1000),
            more,
            b"x" * told.body if told.keyed else b"",
        )
        return record, data

    # Called by connections.

    def answered(self, connection: Connection, record: Record | None, keep: bool) -> None:
        if self._again and time.monotonic() < self._end:
            if keep:
                connection.send(*self.request())
            else:
                self._open(True)
        elif keep:
            self._idle.append(connection)

    def lost(self, connection: Connection) -> None:
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        record, connection.record = connection.record, None
        if record is None:
            return
        if not record.first_on_connection and not record.again:
            # The gateway may close between two requests: one that crossed it is sent once more, on a new one.
            record.again = True
            self._open(True, (record, connection.sent))
        elif self._again and time.monotonic() < self._end:
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
        """Send at the given times, whatever became of the requests before, then wait for the last answers."""
        began = time.monotonic()
        for at in times:
            while (wait := began + at - time.monotonic()) > 0.0005:
                await asyncio.sleep(wait)
            self.lag = max(self.lag, -wait)
            self._arrive()
            if wait < -0.01:
                await asyncio.sleep(0)  # late: let answers in between
        await self.settle()

    async def closed_loop(self, connections: int, seconds: float) -> None:
        """So many clients at once, each asking again as soon as it is answered, for `seconds`."""
        self._again, self._end = True, time.monotonic() + seconds
        for _ in range(connections):
            self._open(True)
        await asyncio.sleep(seconds)
        await self.settle()

    async def once(self, count: int, silent: int = 0) -> None:
        """A storm: `count` connects and first requests in one instant, and `silent` connects that say
        nothing."""
        for i in range(count + silent):
            self._open(i % ((count + silent) // silent) != 0 if silent else True)
        await self.settle()

    async def settle(self) -> None:
        """Until every request has its answer or its client has waited long enough; then all is closed."""
        longest = max(work.deadline for work in self.works) + GRACE_S
        end = time.monotonic() + longest
        while time.monotonic() < end:
            if not self._opening and not any(c.record is not None for c in self._connections):
                break
            await asyncio.sleep(0.01)
        for task in list(self._opening):
            task.cancel()
        for connection in list(self._connections):
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.sleep(0)
