"""Engine and client side of a process that another one takes over from, or that takes over: what is
counted, told and moved. Only imported where upgrades are on.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Iterable
from time import monotonic
from typing import Any

from quillroad.balancing.balancer import Balancer
from quillroad.balancing.events import SiblingAttempts
from quillroad.config import Config, Descriptors
from quillroad.downstream.connection_limit import ConnectionState
from quillroad.downstream.server import ClientConnection, Server
from quillroad.engine.engine import (
    REFUSED,
    SERVED,
    ClientRequest,
    Engine,
    OpenRequest,
    Reply,
    Requester,
)
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.upgrade.canary import RequestCounts
from quillroad.upgrade.messages import AttemptsInFlight
from quillroad.upgrade.state_snapshot import attempts_in_flight
from quillroad.upstream.pool import Upstream

log = logging.getLogger("quillroad.upgrade")


class SharedEngine(Engine):
    """An engine that may have a second one beside it, in another process of the same gateway."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, balancer: Balancer, upstream: Upstream
    ) -> None:
        super().__init__(loop, balancer, upstream)
        self.counts = RequestCounts()
        self.elsewhere: set[str] = set()  # ids of requests that the other has open
        self.on_change: Callable[[], None] | None = (
            None  # called when what `out` tells may have changed
        )
        self._told: dict[int, tuple[int, int]] = {}
        self._known: set[str] = set()  # ids that the other was told of
        self._beside: dict[int, tuple[int, int]] = {}

    @property
    def balancer(self) -> Balancer:
        return self._balancer

    @property
    def epoch_us(self) -> int:
        """Unix time at the zero of the monotonic clock, as this engine counts it."""
        return self._clock.epoch_us

    @epoch_us.setter
    def epoch_us(self, value: int) -> None:
        self._clock.epoch_us = value

    @property
    def open(self) -> int:
        return len(self._unanswered_ids)

    def is_open(self, request_id: str) -> bool:
        return super().is_open(request_id) or request_id in self.elsewhere

    def learn(self, out: AttemptsInFlight, warms: bool) -> None:
        """What the other process has out. `warms`: the turns at cold hosts are ours."""
        self.elsewhere.update(out.opened)
        self.elsewhere.difference_update(out.ended)
        self._beside = {server: (count, late) for server, count, late in out.at}
        self.feed(SiblingAttempts(self._beside, warms))

    def learn_warms(self, warms: bool) -> None:
        """Whose the turns at cold hosts are has changed."""
        if warms is not self._balancer.owns_slow_start:
            self.feed(SiblingAttempts(self._beside, warms))

    def alone(self) -> None:
        """There is no other process at work."""
        self.elsewhere.clear()
        self._told, self._known, self._beside = {}, set(), {}
        self.feed(SiblingAttempts())

    def out(self) -> AttemptsInFlight | None:
        """What has changed since this was asked last; None for nothing."""
        at = attempts_in_flight(self._balancer)
        opened, ended = self._unanswered_ids - self._known, self._known - self._unanswered_ids
        if at == self._told and not opened and not ended:
            return None
        self._told, self._known = at, set(self._unanswered_ids)
        return AttemptsInFlight(
            [(number, *counts) for number, counts in at.items()], list(opened), list(ended)
        )

    def _answer(self, opened: OpenRequest, reply: Reply) -> None:
        if opened.reply is not None:
            if reply.status == SERVED:
                self.counts.served += 1
            elif reply.status == REFUSED:
                self.counts.refused += 1
            else:
                self.counts.failed += 1
        super()._answer(opened, reply)

    def accept(
        self,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        client: Requester | None = None,
    ) -> OpenRequest:
        opened = super().accept(request, reply, client)
        if self.on_change is not None:
            self.on_change()
        return opened

    def _step(self, event: Any) -> None:
        super()._step(event)
        if self.on_change is not None:
            self.on_change()


class MovingServer(Server):
    """A client side whose connections can move to another process between two requests."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        engine: Engine,
        descriptors: Descriptors,
        make_room: Callable[[], bool],
        loop_monitor: EventLoopMonitor,
    ) -> None:
        super().__init__(loop, config, engine, descriptors, make_room, loop_monitor)
        self.leaving = False  # another process accepts, or is about to
        self.on_rest: Callable[[ClientConnection], None] | None = None

    def mark_resting(self, connection: ClientConnection) -> None:
        if not self.leaving:
            super().mark_resting(connection)
        elif self.connection_limit.state(connection) is not None:
            # None ends for resting long: all of them are about to move, and the places here only
            # get fewer.
            self.connection_limit.set_state(connection, ConnectionState.RESTING, monotonic())
            if self.on_rest is not None:
                self.on_rest(connection)


class Moves:
    """Connections on their way to another process: those that wait for a batch, and the batches
    that are out.
    """

    def __init__(self, server: MovingServer) -> None:
        self._server = server
        self._waiting: dict[ClientConnection, None] = {}
        self._batches: dict[int, list[tuple[ClientConnection, int]]] = {}
        self._taken: dict[int, list[tuple[int, int]]] = {}
        self.moved = 0

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    def leaving(self, on: bool) -> None:
        """Whether connections are about to move."""
        self._server.leaving = on

    def begin(self, wanted: Callable[[], None]) -> None:
        """Offer what is between two requests, now and as it gets there; `wanted` is called when
        there is some.
        """

        def rests(connection: ClientConnection) -> None:
            self._waiting[connection] = None
            wanted()

        self._server.on_rest = rests
        for connection in self._server.connection_limit.connections():
            if connection.idle():
                self._waiting[connection] = None
        if self._waiting:
            wanted()

    def stop(self) -> None:
        self._server.on_rest = None
        self._waiting.clear()

    def offer(self, batch: int, size: int) -> tuple[list[int], list[int]]:
        """Hold connections for a batch: how many requests each has brought, and the descriptors.
        Those that have asked again meanwhile are left for when they rest.
        """
        held: list[tuple[ClientConnection, int]] = []
        while self._waiting and len(held) < size:
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            if (copy := connection.begin_migration()) is not None:
                held.append((connection, copy))
        self._batches[batch] = held
        return [connection.requests_served for connection, _ in held], [copy for _, copy in held]

    def gone(self, batch: int) -> None:
        """The other process holds them."""
        held = self._batches.pop(batch, ())
        for _, copy in held:
            os.close(copy)
        for connection, _ in held:
            connection.complete_migration()
            self.moved += 1

    def back(self, batch: int) -> None:
        """They stay here."""
        for connection, copy in self._batches.pop(batch, ()):
            os.close(copy)
            connection.cancel_migration()

    def keep(self, batch: int, brought: Iterable[int], fds: list[int]) -> None:
        """Hold another process's connections, reading nothing."""
        self._taken[batch] = list(zip(brought, fds, strict=True))

    def own(self, batch: int) -> None:
        """They are this process's now."""
        for brought, fd in self._taken.pop(batch, ()):
            try:
                sock = socket.socket(fileno=fd)
            except OSError:  # its client has gone
                os.close(fd)
                continue
            try:
                self._server.adopt(sock, brought)
            except Exception:  # one connection's fault must not leave the others with nobody
                log.exception("a connection could not be taken over")
                sock.close()

    def drop(self) -> None:
        """What is held is the other's after all."""
        for held in self._taken.values():
            for _, fd in held:
                os.close(fd)
        self._taken.clear()


async def settled(server: Server, until: float, end: Callable[[], bool]) -> None:
    """Wait until no client connection is left or the loop's time is `until`; while `end` says so,
    those between two requests are ended.
    """
    loop = asyncio.get_running_loop()
    while len(server.connection_limit) and loop.time() < until:
        if end():
            server.close_idle()
        await asyncio.sleep(0.02)
