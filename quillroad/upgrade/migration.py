"""Client connections that migrate from one process of a gateway to another, in batches.

A connection migrates between two requests, with its descriptor; `worker_state` says when. Only
imported where upgrades are on.
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

log = logging.getLogger("quillroad.upgrade")

LOOK_INTERVAL_S = 0.02  # between two looks at whether connections are left


class MigratingServer(Server):
    """A client side whose connections can migrate to another process between two requests.

    `leaving`: another process accepts, or is about to. `on_idle` is called with each connection
    that becomes idle then.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        engine: Engine,
        descriptors: Descriptors,
        drop_idle_upstream: Callable[[], bool],
        loop_monitor: EventLoopMonitor,
    ) -> None:
        super().__init__(loop, config, engine, descriptors, drop_idle_upstream, loop_monitor)
        self.leaving = False
        self.on_idle: Callable[[ClientConnection], None] | None = None

    def mark_resting(self, connection: ClientConnection) -> None:
        """Note that a connection is between two requests."""
        if not self.leaving:
            super().mark_resting(connection)
        elif self.connection_limit.state(connection) is not None:
            # None is closed for being idle for long: all of them are about to migrate, and the
            # places here only get fewer.
            self.connection_limit.set_state(connection, ConnectionState.RESTING, monotonic())
            if self.on_idle is not None:
                self.on_idle(connection)


class _Offered(NamedTuple):
    """A connection of this process in a batch, with the copy of its descriptor that goes along."""

    connection: ClientConnection
    descriptor: int


class _Received(NamedTuple):
    """A connection of the sibling: how many requests it has brought, and its descriptor."""

    requests_served: int
    descriptor: int


class Migrations:
    """Connections on their way: those that wait for a batch, and batches in both directions."""

    def __init__(self, server: MigratingServer) -> None:
        self._server = server
        self._waiting: dict[ClientConnection, None] = {}  # in the order in which they became idle
        self._offered: dict[int, list[_Offered]] = {}
        self._received: dict[int, list[_Received]] = {}
        self.moved = 0  # connections that the sibling has taken over

    @property
    def waiting(self) -> int:
        """Connections that can be offered."""
        return len(self._waiting)

    def set_leaving(self, leaving: bool) -> None:
        """Whether connections are about to migrate."""
        self._server.leaving = leaving

    def begin(self, wanted: Callable[[], None]) -> None:
        """Offer idle connections, now and as they become idle.

        `wanted` is called when there are some.
        """

        def on_idle(connection: ClientConnection) -> None:
            """Offer a connection that is between two requests now."""
            self._waiting[connection] = None
            wanted()

        self._server.on_idle = on_idle
        for connection in self._server.connection_limit.connections():
            if connection.idle():
                self._waiting[connection] = None
        if self._waiting:
            wanted()

    def stop(self) -> None:
        """Offer no more."""
        self._server.on_idle = None
        self._waiting.clear()

    def offer(self, batch: int, size: int) -> tuple[list[int], list[int]]:
        """Hold connections for a batch.

        Returns how many requests each has brought, and the descriptors. A connection that has
        brought another request meanwhile is left for when it is idle again.
        """
        offered: list[_Offered] = []
        while self._waiting and len(offered) < size:
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            descriptor = connection.begin_migration()
            if descriptor is not None:
                offered.append(_Offered(connection, descriptor))
        self._offered[batch] = offered
        served = [one.connection.requests_served for one in offered]
        return served, [one.descriptor for one in offered]

    def release(self, batch: int) -> None:
        """The sibling holds them: close them here, the copies first."""
        offered = self._offered.pop(batch, [])
        for one in offered:
            os.close(one.descriptor)
        for one in offered:
            one.connection.complete_migration()
            self.moved += 1

    def take_back(self, batch: int) -> None:
        """They stay here."""
        for one in self._offered.pop(batch, []):
            os.close(one.descriptor)
            one.connection.cancel_migration()

    def keep(self, batch: int, requests_served: Iterable[int], descriptors: list[int]) -> None:
        """Hold the sibling's connections, reading nothing."""
        self._received[batch] = [
            _Received(served, descriptor)
            for served, descriptor in zip(requests_served, descriptors, strict=True)
        ]

    def own(self, batch: int) -> None:
        """They are this process's now: serve them."""
        for one in self._received.pop(batch, []):
            try:
                sock = socket.socket(fileno=one.descriptor)
            except OSError:  # its client has gone
                os.close(one.descriptor)
                continue
            try:
                self._server.adopt(sock, one.requests_served)
            except Exception:
                # One connection's fault must not leave the others with nobody.
                log.exception("a connection could not be taken over")
                sock.close()

    def drop(self) -> None:
        """What is held is the sibling's after all: close it here."""
        for batch in self._received.values():
            for one in batch:
                os.close(one.descriptor)
        self._received.clear()


async def wait_until_empty(server: Server, until: float, must_close: Callable[[], bool]) -> None:
    """Wait until no client connection is left, or the loop's time is `until`.

    While `must_close` says so, idle connections are closed.
    """
    loop = asyncio.get_running_loop()
    while len(server.connection_limit) and loop.time() < until:
        if must_close():
            server.close_idle()
        await asyncio.sleep(LOOK_INTERVAL_S)
