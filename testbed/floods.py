"""Floods: clients that make a gateway hold memory or spend core time, in a process of their own.

Each kind occupies one resource that a peer can take. `python -m testbed flood JSON` runs one kind
for some seconds against one address. Requests of a flood have ids that begin with `FLOOD_PREFIX`,
so that an account of other clients can leave them out.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import cast

FLOOD_PREFIX = "flood-"
MAX_HEAD_BYTES = 16 * 1024  # a gateway answers 431 to a longer head
SHORT_BODY_BYTES = 60_000
LONG_BODY_BYTES = 8 * 1024 * 1024
WRITE_BYTES = 64 * 1024  # of a client that sends at full speed
CONNECTS_AT_ONCE = 50  # connects of a flood that are in progress at a time
SLOW_READ_BYTES = 4096  # that a slow reader takes at a time
SLOW_READ_INTERVAL_S = 0.2
RECONNECT_DELAY_S = 0.02
DEPARTED_REQUESTS = 400  # that a client sends ahead before it leaves


class FloodKind(StrEnum):
    """What the clients of a flood do."""

    STOPPED_HEADS = "stopped-heads"  # stop within a head of very many short fields
    STOPPED_BODIES = "stopped-bodies"  # stop before the last byte of a short body
    STOPPED_LONG_BODIES = "stopped-long-bodies"  # stop half way through a long body
    IDLE = "idle"  # connect and send nothing
    SLOW_READERS = "slow-readers"  # ask for long answers and read them slowly
    UNREAD_ANSWERS = "unread-answers"  # send requests ahead and read no answer
    UNSOUND = "unsound"  # send unsound requests at full speed
    NEW_NAMES = "new-names"  # send small requests at full speed under ever new names
    SHORT_FIELDS = "short-fields"  # send complete heads of very many short fields
    SMALL_CHUNKS = "small-chunks"  # send long bodies in chunks of one byte
    CHUNK_EXTENSIONS = "chunk-extensions"  # send a chunk extension without end
    TRAILERS = "trailers"  # send trailers without end
    DEPARTING = "departing"  # send many requests ahead and leave


# Kinds that one client on few connections sends at full speed; the others hold many connections.
FULL_SPEED = frozenset(
    (
        FloodKind.UNSOUND,
        FloodKind.NEW_NAMES,
        FloodKind.SHORT_FIELDS,
        FloodKind.SMALL_CHUNKS,
        FloodKind.CHUNK_EXTENSIONS,
        FloodKind.TRAILERS,
    )
)


@dataclass(slots=True)
class FloodCounts:
    """What the clients of a flood did: connections that came up, and bytes written."""

    connected: int = 0
    refused: int = 0  # connects that failed
    written_bytes: int = 0
    read_bytes: int = 0


def _head(method: str, path: str, number: int, *lines: str) -> bytes:
    """A valid head of a request, with more header lines."""
    fields = (
        f"{method} {path} HTTP/1.1",
        "Host: g",
        f"Request-Id: {FLOOD_PREFIX}{number:x}",
        "Tenant: acme",
        "Request-Timeout-Ms: 1000",
        *lines,
    )
    return "\r\n".join(fields).encode() + b"\r\n"


def _read_nothing(writer: asyncio.StreamWriter) -> None:
    """Leave all that the gateway sends in the kernel."""
    cast(asyncio.Transport, writer.transport).pause_reading()


class Flood:
    """The clients of one flood of `kind`, on `connections` connections at a time."""

    def __init__(self, address: tuple[str, int], kind: FloodKind, connections: int) -> None:
        self._address = address
        self._kind = kind
        self._connections = connections
        self._numbers = itertools.count(1)
        self._connecting = asyncio.Semaphore(CONNECTS_AT_ONCE)
        self.counts = FloodCounts()

    async def run(self, seconds: float) -> FloodCounts:
        """Flood for so many seconds, then close all connections."""
        clients = [asyncio.ensure_future(self._client()) for _ in range(self._connections)]
        await asyncio.wait(clients, timeout=seconds)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        return self.counts

    async def _client(self) -> None:
        """One client: connects, behaves by its kind, and connects again when it is closed."""
        behave = self._behaviour()
        while True:
            try:
                async with self._connecting:
                    reader, writer = await asyncio.open_connection(*self._address)
            except OSError:
                self.counts.refused += 1
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            self.counts.connected += 1
            try:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await behave(reader, writer)
            finally:
                writer.transport.abort()
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _behaviour(
        self,
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        if self._kind is FloodKind.SLOW_READERS:
            return self._read_slowly
        if self._kind is FloodKind.UNREAD_ANSWERS:
            return self._read_nothing
        if self._kind is FloodKind.DEPARTING:
            return self._depart
        if self._kind in FULL_SPEED:
            return self._send_at_full_speed
        return self._stop

    async def _stop(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a part of a request, and wait until the gateway closes the connection."""
        await self._write(writer, self._partial_request())
        while await reader.read(WRITE_BYTES):
            pass

    def _partial_request(self) -> bytes:
        number = next(self._numbers)
        if self._kind is FloodKind.STOPPED_HEADS:
            head = _head("GET", "/status-check/w", number)
            fields_bytes = MAX_HEAD_BYTES - 2 * len(head)
            return head + b"a:\r\n" * (fields_bytes // 5)
        if self._kind is FloodKind.STOPPED_BODIES:
            length, sent = SHORT_BODY_BYTES, SHORT_BODY_BYTES - 1
        elif self._kind is FloodKind.STOPPED_LONG_BODIES:
            length, sent = LONG_BODY_BYTES, LONG_BODY_BYTES // 2
        else:
            return b""
        lines = (f"Idempotency-Key: k{number}", f"Content-Length: {length}")
        return _head("POST", "/seat-checkout/w", number, *lines) + b"\r\n" + b"x" * sent

    async def _read_slowly(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        _read_nothing(writer)  # leaves the answer to the kernel and to the gateway
        await self._write(writer, self._request(0))
        while not writer.is_closing():
            await asyncio.sleep(SLOW_READ_INTERVAL_S)
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(BlockingIOError):
                data = await asyncio.to_thread(sock.recv, SLOW_READ_BYTES)
                self.counts.read_bytes += len(data)

    async def _read_nothing(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        _read_nothing(writer)
        while True:
            await self._write(writer, self._request(0) * 20)

    async def _depart(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests = b"".join(self._request(i) for i in range(DEPARTED_REQUESTS))
        await self._write(writer, requests)

    async def _send_at_full_speed(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        reading = asyncio.ensure_future(self._read_all(reader))
        try:
            for data in self._stream():
                await self._write(writer, data)
                if reading.done():
                    return
        finally:
            reading.cancel()

    async def _read_all(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(WRITE_BYTES):
                self.counts.read_bytes += len(data)

    def _stream(self) -> Iterator[bytes]:
        """Input without end, in pieces of about `WRITE_BYTES`."""
        if self._kind in (FloodKind.UNSOUND, FloodKind.NEW_NAMES, FloodKind.SHORT_FIELDS):
            while True:
                request = self._request(0)
                yield b"".join(
                    [request, *(self._request(i) for i in range(WRITE_BYTES // len(request)))]
                )
        number = next(self._numbers)
        lines = (f"Idempotency-Key: k{number}", "Transfer-Encoding: chunked")
        yield _head("POST", "/seat-checkout/w", number, *lines) + b"\r\n"
        if self._kind is FloodKind.SMALL_CHUNKS:
            yield from itertools.repeat(b"1\r\nx\r\n" * (WRITE_BYTES // 6))
        elif self._kind is FloodKind.CHUNK_EXTENSIONS:
            yield b"1;"
            yield from itertools.repeat(b"x" * WRITE_BYTES)
        else:
            yield b"1\r\nx\r\n0\r\n"
            yield from itertools.repeat(b"a:\r\n" * (WRITE_BYTES // 4))

    def _request(self, index: int) -> bytes:
        """A complete request."""
        number = next(self._numbers)
        if self._kind is FloodKind.UNSOUND:
            return _head("PUT", f"/status-check/w{index}", number) + b"\r\n"
        if self._kind is FloodKind.NEW_NAMES:
            tenant = f"X-Tenant: t{number}"
            return _head("GET", f"/status-check/new-{number:x}", number, tenant) + b"\r\n"
        if self._kind is FloodKind.SHORT_FIELDS:
            head = _head("GET", "/status-check/w", number)
            return head + b"a:\r\n" * ((MAX_HEAD_BYTES - 2 * len(head)) // 5) + b"\r\n"
        if self._kind is FloodKind.DEPARTING:
            lines = (f"Idempotency-Key: k{number}", "Content-Length: 0")
            return _head("POST", "/seat-checkout/w", number, *lines) + b"\r\n"
        return _head("GET", "/status-check/long", number) + b"\r\n"

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()
        self.counts.written_bytes += len(data)
