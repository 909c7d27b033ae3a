"""Clients send much at once and go, while connections to hosts come up late: what runs for them?"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    LOOPBACK,
    Deployment,
    Host,
    Process,
    Record,
    main,
    settings,
    trouble,
)

HOSTS = 9
LATE_HOSTS = 3  # a third, so that a third of the connections to hosts come up late
HOST_S = 0.05
ROUNDS = 4
CLIENTS = 9  # in a round, each with a connection of its own
AT_ONCE = 16  # requests that a client sends at once
STAYS_S = 0.3  # of a client, from its requests to its close
# A late host accepts again after that. The system sends a connect that found the accept queue full
# again after 1 s, so the connection comes up 1.0 to 1.1 s after it was begun.
ACCEPTS_AFTER_S = 0.7
ROUND_S = 2.3
ALLOWED_S = 0.1  # from a client's close to the last attempt that may begin
FILLERS = 3  # connections that fill an accept queue of length 0


class LateHost(Host):
    """A host that can leave its accept queue full for a while, so that connections come up late."""

    def __init__(self, name: str, record: Record, delay_s: float) -> None:
        super().__init__(name, record, delay_s)
        self._fillers: list[socket.socket] = []
        self._accepting: asyncio.Task[None] | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port, with the shortest accept queue."""
        self._listener = socket.socket()
        self._listener.bind((LOOPBACK, 0))
        self._listener.listen(0)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self.accept()

    def accept(self) -> None:
        """Accept connections from now on."""
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        self._accepting = asyncio.create_task(self._accept_all())

    async def _accept_all(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            reader, writer = await asyncio.open_connection(sock=sock)
            connection = asyncio.create_task(self._serve(reader, writer))
            self._connections.add(connection)
            connection.add_done_callback(self._connections.discard)

    async def hold_connects(self) -> None:
        """Accept nothing for now, and fill the accept queue."""
        if self._accepting is not None:
            self._accepting.cancel()
        await asyncio.sleep(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((LOOPBACK, self.port))
            self._fillers.append(filler)
        self._record.note(f"host {self.name} accepts nothing")

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._accepting is not None:
            self._accepting.cancel()
        for connection in self._connections:
            connection.cancel()
        self._listener.close()


def many_requests(name: str) -> bytes:
    """Return the requests of a client: seat-checkouts of a class that is unsafe to repeat."""
    return b"".join(
        (
            f"POST /seat-checkout/ws-{name}-{number} HTTP/1.1\r\nHost: service.internal\r\n"
            f"Request-Id: {name}-{number}\r\nTenant: irtysh-design\r\n"
            f"Request-Timeout-Ms: 1900\r\nContent-Length: 4\r\n\r\nseat"
        ).encode()
        for number in range(AT_ONCE)
    )


async def client(port: int, name: str, record: Record) -> tuple[str, float]:
    """Send all requests at once, and go; return when the connection was closed."""
    _, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write(many_requests(name))
    record.note(f"client {name} sends {name}-0 to {name}-{AT_ONCE - 1}")
    await asyncio.sleep(STAYS_S)
    writer.close()
    await writer.wait_closed()
    record.note(f"client {name} has gone")
    return name, time.monotonic()


async def case(record: Record, folder: Path, processes: list[Process]) -> list[str]:
    """Play the case; return one line for each attempt that began too late after its client went."""
    deployment = Deployment(record, folder, HOSTS, HOST_S)
    late = [LateHost(host.name, record, HOST_S) for host in deployment.hosts[:LATE_HOSTS]]
    deployment.hosts[:LATE_HOSTS] = late
    plain = settings()
    plain["lanes"][1]["semantics"] = "unsafe"
    plain["limits"]["connect_timeout"] = 1_500_000
    await deployment.start(lanes=plain["lanes"], limits=plain["limits"])
    await deployment.start_process("gateway", processes)
    closed: dict[str, float] = {}
    for number in range(ROUNDS):
        began_at = time.monotonic()
        for host in late if trouble() else ():
            await host.hold_connects()
        clients = [
            asyncio.create_task(client(deployment.port, f"r{number}c{i}", record))
            for i in range(CLIENTS)
        ]
        await asyncio.sleep(ACCEPTS_AFTER_S)
        for host in late if trouble() else ():
            record.note(f"host {host.name} accepts again")
            host.accept()
        closed |= dict(await asyncio.gather(*clients))
        await asyncio.sleep(began_at + ROUND_S - time.monotonic())
    deployment.stop()
    broken = []
    for receipt in deployment.receipts():
        gone_at = closed[receipt.request.rpartition("-")[0]]
        if receipt.at > gone_at + ALLOWED_S:
            broken.append(
                f"{receipt.request} came to host {receipt.host} at {record.at(receipt.at):.3f}, "
                f"{receipt.at - gone_at:.3f} s after its client had closed the connection"
            )
    record.note(f"{len(deployment.receipts())} requests came to hosts, {len(broken)} too late")
    return broken


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().with_name("record.txt")))
