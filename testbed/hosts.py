"""Stand-in hosts: answer after a set time, remember every request received, fail on script; and the
discovery that lists them. Fast enough to serve a gateway at its full rate from one core."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, cast

from testbed.account import Receipt
from testbed.lines import gateway_at

HOSTS_AT = b'"127.0.0.1:'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def field(head: bytes, name: bytes) -> bytes:
    """A header's value in a head given in lower case; empty where there is none."""
    at = head.find(b"\r\n" + name + b": ")
    return head[at + len(name) + 4 :].split(b"\r\n", 1)[0] if at >= 0 else b""


class _Connection(asyncio.Protocol):
    def __init__(self, host: Host) -> None:
        self._host, self._data = host, b""
        self.transport: asyncio.Transport | None = None
        self.by = -1  # the gateway at the other end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.by = gateway_at(transport.get_extra_info("peername")[0])
        self._host.connections.add(self)
        self._host.connects += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._host.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self._data += data
        while (end := self._data.find(b"\r\n\r\n")) >= 0:
            head = self._data[:end].lower()
            size = int(field(head, b"content-length") or 0)
            if len(self._data) < end + 4 + size:
                return
            self._data = self._data[end + 4 + size :]
            key = field(head, b"idempotency-key").decode()
            self._host.received(self, field(head, b"request-id").decode(), key)

    def answer(self) -> None:
        if self.transport is not None:
            self.transport.write(ANSWER)


class Host:
    """One stand-in host. `delay` is the time in seconds to an answer; `hangs` makes it answer nothing."""

    def __init__(self, name: str, delay: float = 0.0, zone: str = "room") -> None:
        self.name, self.delay, self.hangs, self.zone = name, delay, False, zone
        self.port = 0
        self.connects = 0
        self.receipts: list[Receipt] = []
        self.connections: set[_Connection] = set()
        self.on_receipt: Callable[[Receipt], None] | None = None

    async def start(self, port: int = 0) -> Host:
        """Listen on this port, or on one that is free."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), "127.0.0.1", port, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def received(self, connection: _Connection, request: str, key: str) -> None:
        receipt = Receipt(request, self.name, time.monotonic(), key, connection.by)
        self.receipts.append(receipt)
        if self.on_receipt is not None:
            self.on_receipt(receipt)
        if self.hangs:
            return
        if self.delay > 0:
            asyncio.get_running_loop().call_later(self.delay, connection.answer)
        else:
            connection.answer()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Its line in discovery's list."""
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
        self._server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class Discovery:
    """Tells the list of hosts to every watch, and changes as they are told."""

    def __init__(self, hosts: list[Host]) -> None:
        self._entries = {host.name: host.entry() for host in hosts}
        self._generation, self.port = 1, 0
        self._watches: list[asyncio.StreamWriter] = []
        self._silent: set[asyncio.StreamWriter] = set()

    @staticmethod
    def _as_seen(line: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Hosts under the address at which this caller finds them: its own, where its lines go through the
        relay."""
        host = writer.get_extra_info("peername")[0]
        return line if gateway_at(host) < 0 else line.replace(HOSTS_AT, f'"{host}:'.encode())

    def _line(
        self, whole: bool, entries: list[dict[str, Any]], writer: asyncio.StreamWriter
    ) -> bytes:
        told = {"generation": self._generation, "reset": whole, "instances": entries}
        data = self._as_seen(json.dumps(told).encode() + b"\n", writer)
        return b"%x\r\n%b\r\n" % (len(data), data)

    async def start(self) -> Discovery:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            if not await self._turn(writer):
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(self._line(True, list(self._entries.values()), writer))
            self._watches.append(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                if writer.is_closing():
                    return
                if writer in self._silent:
                    continue
                writer.write(b"1\r\n\n\r\n")  # the empty line that is due every 2 s
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # also where the loop ends: the streams' own callback would complain of that
        finally:
            writer.close()

    async def _turn(self, writer: asyncio.StreamWriter) -> bool:
        """Whether this call is answered. Here each is, at once."""
        return True

    def tell(self, name: str, **changes: Any) -> None:
        """Change one host's line, for all that watch."""
        self._generation += 1
        entry = self._entries[name] = self._entries[name] | changes
        self._write(self._watches, entry)

    def break_off(self, name: str, keep: str, most: int | None = None, **changes: Any) -> int:
        """Change one host's line, and end the oldest `most` watches (None: all) in the middle of telling it:
        right after `keep`, a part of the line's text. The others hear it whole. Returns how many ended."""
        self._generation += 1
        entry = self._entries[name] = self._entries[name] | changes
        ends, self._watches = self._watches[:most], self._watches[len(self._watches[:most]) :]
        broken = self._write(ends, entry, keep.encode())
        for writer in ends:
            writer.close()
        self._write(self._watches, entry)
        return broken

    def _write(
        self, watches: list[asyncio.StreamWriter], entry: dict[str, Any], keep: bytes = b""
    ) -> int:
        told = [writer for writer in watches if not writer.is_closing()]
        for writer in told:
            line = self._line(False, [entry], writer)
            writer.write(line[: line.index(keep) + len(keep)] if keep else line)
        return len(told)

    @property
    def watching(self) -> int:
        """How many watches are open and told."""
        return len(self._watches)

    def fall_silent(self) -> None:
        """Open watches hear nothing from now on, not even a sign of life, and stay open; new calls are
        answered as ever."""
        self._silent.update(self._watches)
        self._watches.clear()

    def stop(self) -> None:
        self._server.close()
        for writer in (*self._watches, *self._silent):
            writer.close()


class CrowdedDiscovery(Discovery):
    """One service for all gateways: calls are worked through in turn, `work_s` seconds each, and who has
    waited for `patience_s` is turned away with 503."""

    def __init__(self, hosts: list[Host], work_s: float, patience_s: float) -> None:
        super().__init__(hosts)
        self._work_s, self._patience_s = work_s, patience_s
        self._busy = asyncio.Lock()  # its waiters take turns in the order of their coming
        self.turned_away = 0

    async def _turn(self, writer: asyncio.StreamWriter) -> bool:
        try:
            async with asyncio.timeout(self._patience_s):
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
