"""Migration of client connections from one process of a gateway to another, in batches.

A connection migrates between two requests, when it is idle: its file descriptor is sent to the
sibling process. `worker_state` decides when. Imported only where upgrades are on.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Iterable
from time import monotonic
from typing import NamedTuple

from quillroad.config import Config, Descriptors
from quillroad.downstream.connection_limit import ConnectionState
from quillroad.downstream.server import ClientConnection, Server
from quillroad.engine.engine import Engine
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.overload.memory_account import MemoryAccount

log = logging.getLogger("quillroad.upgrade")

POLL_INTERVAL_S = 0.02  # between two checks whether client connections are left


class MigratingServer(Server):
    """A server whose client connections can migrate to another process between two requests.

    `leaving` is true while another process accepts connections or is about to. During that time
    `on_idle` is called with each connection that becomes idle.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        engine: Engine,
        descriptors: Descriptors,
        drop_idle_upstream: Callable[[], bool],
        loop_monitor: EventLoopMonitor,
        memory: MemoryAccount,
    ) -> None:
        super().__init__(
            loop, config, engine, descriptors, drop_idle_upstream, loop_monitor, memory
        )
        self.leaving = False
        self.on_idle: Callable[[ClientConnection], None] | None = None

    def mark_resting(self, connection: ClientConnection) -> None:
        """Record that a connection is between two requests."""
        if not self.leaving:
            super().mark_resting(connection)
        elif self.connection_limit.state(connection) is not None:
            # The idle timeout does not apply here: all connections are about to migrate, and
            # this process accepts no new ones.
            self.connection_limit.set_state(connection, ConnectionState.RESTING, monotonic())
            if self.on_idle is not None:
                self.on_idle(connection)


class _OfferedConnection(NamedTuple):
    """A connection of this process in a batch, with the duplicate descriptor that is sent."""

    connection: ClientConnection
    descriptor: int


class _ReceivedConnection(NamedTuple):
    """A connection received from the sibling: its number of requests so far, its descriptor."""

    requests_served: int
    descriptor: int


class Migrations:
    """Connections in migration: those waiting for a batch, and batches sent and received."""

    def __init__(self, server: MigratingServer) -> None:
        self._server = server
        self._waiting: dict[ClientConnection, None] = {}  # in the order in which they became idle
        self._offered: dict[int, list[_OfferedConnection]] = {}
        self._received: dict[int, list[_ReceivedConnection]] = {}
        self.moved = 0  # connections that the sibling has taken over so far

    @property
    def waiting(self) -> int:
        """Number of idle connections that can be offered to the sibling."""
        return len(self._waiting)

    def set_leaving(self, leaving: bool) -> None:
        """Set whether client connections are about to migrate to the sibling."""
        self._server.leaving = leaving

    def begin(self, on_waiting: Callable[[], None]) -> None:
        """Collect idle connections for migration: those idle now and those that become idle.

        `on_waiting` is called whenever there are connections to offer.
        """

        def on_idle(connection: ClientConnection) -> None:
            """Queue a connection that has just become idle."""
            self._waiting[connection] = None
            on_waiting()

        self._server.on_idle = on_idle
        for connection in self._server.connection_limit.connections():
            if connection.idle():
                self._waiting[connection] = None
        if self._waiting:
            on_waiting()

    def stop(self) -> None:
        """Stop offering connections, and forget those that wait for a batch."""
        self._server.on_idle = None
        self._waiting.clear()

    def offer(self, batch: int, size: int) -> tuple[list[int], list[int]]:
        """Pause up to `size` waiting connections and record them as a batch.

        Returns the number of requests that each has carried so far, and the descriptors to send.
        A connection on which another request has arrived meanwhile is skipped; it is offered again
        once it is idle.
        """
        offered: list[_OfferedConnection] = []
        while self._waiting and len(offered) < size:
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            descriptor = connection.begin_migration()
            if descriptor is not None:
                offered.append(_OfferedConnection(connection, descriptor))
        self._offered[batch] = offered
        served = [one.connection.requests_served for one in offered]
        return served, [one.descriptor for one in offered]

    def release(self, batch: int) -> None:
        """Close the connections of a batch that the sibling holds, duplicate descriptors first."""
        offered = self._offered.pop(batch, [])
        for one in offered:
            os.close(one.descriptor)
        for one in offered:
            one.connection.complete_migration()
            self.moved += 1

    def take_back(self, batch: int) -> None:
        """Close the duplicate descriptors of a batch and resume its connections here."""
        for one in self._offered.pop(batch, []):
            os.close(one.descriptor)
            one.connection.cancel_migration()

    def keep(self, batch: int, requests_served: Iterable[int], descriptors: list[int]) -> None:
        """Store the connections of a batch of the sibling, without reading from them yet."""
        self._received[batch] = [
            _ReceivedConnection(served, descriptor)
            for served, descriptor in zip(requests_served, descriptors, strict=True)
        ]

    def own(self, batch: int) -> None:
        """Serve the connections of a batch that now belong to this process."""
        for one in self._received.pop(batch, []):
            try:
                sock = socket.socket(fileno=one.descriptor)
            except OSError:  # the client closed the connection
                os.close(one.descriptor)
                continue
            try:
                self._server.adopt(sock, one.requests_served)
            except Exception:
                # An error with one connection must not leave the rest of the batch unserved.
                log.exception("could not serve a client connection received from the sibling")
                sock.close()

    def drop(self) -> None:
        """Close all received connections that are not served here: the sibling keeps them."""
        for batch in self._received.values():
            for one in batch:
                os.close(one.descriptor)
        self._received.clear()


async def wait_until_empty(
    server: Server, until: Callable[[], float], must_close: Callable[[], bool]
) -> None:
    """Wait until no client connection is left, or until the monotonic time that `until` returns.

    Idle connections are closed whenever `must_close` returns true.
    """
    while len(server.connection_limit) and monotonic() < until():
        if must_close():
            server.close_idle()
        await asyncio.sleep(POLL_INTERVAL_S)
