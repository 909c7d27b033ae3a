"""One process of a gateway that has a seat: what it does with sockets; `seat.py` decides when. Who plays the
keeper's part is its subclasses' matter."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import assert_never

from quillroad.config import RESERVED, Config
from quillroad.gateway import FLUSH_S, Gateway
from quillroad.upgrade.channel import Channel
from quillroad.upgrade.messages import ByHand, Connections, Message, State, batch_of
from quillroad.upgrade.sections import by_hand, read, write
from quillroad.upgrade.shared import Moves, MovingServer, SharedEngine, settled
from quillroad.upgrade.state_snapshot import share_budgets
from quillroad.upgrade.worker_state import (
    AdoptState,
    DropBatches,
    ExportState,
    KeepBatch,
    LearnAttempts,
    LimitDescriptors,
    LinkRole,
    OwnBatch,
    ReleaseBatch,
    Step,
    TakeBackBatch,
    ToSibling,
    ToSupervisor,
    WorkerCommand,
    WorkerState,
)

log = logging.getLogger("quillroad.upgrade")

END_SEEN_S = 1.0  # for the end of a process to be seen
LAST_GRANT_S = 0.05  # for the keeper's last word to come
SHARE_S = 0.005  # between two words to the other process: its picture of a host is that old at most


class WorkerProcess:
    """One process. `again` reads the configuration for a reload."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        again: Callable[[], Config],
        zones: Path | None = None,
    ) -> None:
        self._loop, self._read_again, self._zones = loop, again, zones
        self._sibling: Channel | None = None
        self._state = WorkerState()
        self._gateway: Gateway | None = None
        self._migrations: Moves | None = None
        self._listener: socket.socket | None = None
        self._descriptors: list[int] = []  # that came with the message at hand
        self._share_timer: asyncio.TimerHandle | None = None
        self.status = 0  # to exit with
        self._tasks: set[asyncio.Task[None]] = set()
        self._ending = False
        self.end = asyncio.Event()
        self._reload_due = False  # a reload was asked for before there was a gateway that could
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _to_supervisor(self, message: Message) -> None:
        """The seat says something to the keeper."""
        raise NotImplementedError

    @property
    def gateway(self) -> Gateway:
        assert self._gateway is not None
        return self._gateway

    @property
    def engine(self) -> SharedEngine:
        engine = self.gateway.engine
        assert isinstance(engine, SharedEngine)
        return engine

    @property
    def migrations(self) -> Moves:
        assert self._migrations is not None
        return self._migrations

    # What comes in.

    def _open_link(self, sock: socket.socket) -> None:
        self._close_link()
        try:
            self._sibling = Channel(self._loop, sock, self._on_sibling_message, self._on_link_lost)
        except PermissionError as error:
            log.error("no link: %s", error)

    def _on_sibling_message(self, message: Message, fds: list[int]) -> None:
        """The other process says something."""
        if isinstance(message, ByHand):
            if self._gateway is not None and self._gateway.admin is not None:
                self._gateway.admin.learn(message.out, message.back, message.drained)
            return
        if isinstance(message, Connections) and len(message.brought) != len(fds):
            for fd in fds:
                os.close(fd)
            self._on_link_lost("descriptors are missing")
            return
        self._descriptors = fds
        self._perform_all(self._state.heard(message))
        for fd in self._descriptors:
            os.close(fd)
        self._descriptors = []

    def _on_link_lost(self, why: str) -> None:
        if self._state.part is not LinkRole.NONE:
            log.info("the other process is not heard any more: %s", why)
        self._close_link()

    def _close_link(self) -> None:
        if self._sibling is not None:
            self._sibling.close()
            self._sibling = None
        if self._share_timer is not None:
            self._share_timer.cancel()
            self._share_timer = None
        if self._gateway is not None:
            self.engine.on_change = None
            self._perform_all(self._state.cut())

    # What is done.

    def _build(self, config: Config, descriptors: int) -> None:
        """Make the gateway and let it hear of hosts; it accepts nothing yet. Raises ConfigError, OSError."""
        self._state.batch = batch_of(config.sockets)
        gateway = Gateway(config, self._loop, SharedEngine, MovingServer, self._zones)
        self._gateway = gateway
        self._limit(descriptors)
        server = gateway.server
        assert isinstance(server, MovingServer)
        self._migrations = Moves(server)
        if gateway.zones is not None:
            gateway.zones.serves = self._serves
        if gateway.registrar is not None:
            gateway.registrar.serves = self._serves
        if gateway.fleet is not None:
            gateway.fleet.serves = self._serves
        gateway.source.begin(config)
        if gateway.admin is not None:
            gateway.admin.on_change = self._operator_acted
        gateway.follow()
        if self._reload_due:
            gateway.reload(self._read_again)
        gc.collect()
        gc.freeze()  # what is here at the start stays; collections need not walk it each time

    def _operator_acted(self) -> None:
        """An operator has changed something: the other process goes by it, too."""
        if (done := by_hand(self.gateway)) is not None:
            self._send_to_sibling(done)

    def _serve_operators(self, on: bool) -> None:
        """Answer operators, or leave that to the other process, which has the same address for them."""
        admin = self.gateway.admin
        if admin is None:
            return
        if not on:
            admin.pause()
            return
        try:
            admin.start()
        except OSError as error:  # clients are served all the same
            log.error("operators are not answered: %s", error)

    def _reload(self) -> None:
        """SIGHUP. One that comes while this process starts counts too: it may have read the file before."""
        if self._gateway is None:
            self._reload_due = True
        else:
            self._gateway.reload(self._read_again)

    def _perform_all(self, acts: list[WorkerCommand]) -> None:
        for act in acts:
            try:
                self._perform(act)
            except Exception:
                log.exception("could not carry out %s", act)
                if (
                    act is Step.ACCEPT
                ):  # nobody would accept, and the keeper would take this for the owner
                    self.status = 1
                    self.end.set()
                    return
                if self._sibling is not None:
                    self._on_link_lost("a fault of ours")

    def _perform(self, act: WorkerCommand) -> None:
        match act:
            case Step():
                self._take_step(act)
            case ToSupervisor():
                self._to_supervisor(act.message)
            case ToSibling():
                self._send_to_sibling(act.message)
            case ExportState():
                if act.final:
                    share_budgets(self.engine.balancer)
                self._send_to_sibling(State(write(self.gateway), act.final))
            case AdoptState():
                left = read(self.gateway, act.state.sections, not act.state.final)
                for line in left if act.state.final else ():
                    log.warning("left behind: %s", line)
                self._perform_all(self._state.adopted(act.state.final, left[:20]))
            case LearnAttempts():
                self.engine.learn(act.out, self._owns_slow_start())
            case LimitDescriptors():
                self._limit(
                    act.descriptors + (self.gateway.descriptors.limit if act.more else -RESERVED)
                )
            case KeepBatch():
                self.migrations.keep(act.batch, act.brought, self._descriptors)
                self._descriptors = []
            case OwnBatch():
                self.migrations.own(act.batch)
            case DropBatches():
                self.migrations.drop()
            case ReleaseBatch():
                self._state.gone(
                    act.batch
                )  # first: it was released, and never comes back whatever fails
                self.migrations.gone(act.batch)
                self._offer()
            case TakeBackBatch():
                self.migrations.back(act.batch)
            case _:
                assert_never(act)

    def _take_step(self, word: Step) -> None:
        if word is Step.ACCEPT:
            assert self._listener is not None
            self.migrations.leaving(False)
            self.gateway.listen(self._listener)
            self._serve_operators(True)
        elif word is Step.PAUSE:
            self.migrations.leaving(True)
            self.gateway.server.pause()
            self._serve_operators(False)
        elif word is Step.SHARE:
            self.engine.on_change = self._changed
            # At once: who is about to serve needs the descriptors that are left here.
            self._share_attempts()
        elif word is Step.MOVE:
            self.migrations.begin(self._offer)
        elif word is Step.STAY:
            self.migrations.stop()
        elif word is Step.WAIT:
            self._loop.call_later(END_SEEN_S, lambda: self._perform_all(self._state.waited()))
        elif word is Step.ALONE:
            self.engine.alone()
        elif word is Step.FINISH:
            self._own_task(self._finish())

    def _serves(self) -> bool:
        return self._state.accepts

    def _owns_slow_start(self) -> bool:
        """Whether the turns at cold hosts are this process's: theirs who accepts."""
        return self._state.accepts or self._state.part is LinkRole.NONE

    def _send_to_sibling(self, message: Message) -> None:
        if self._sibling is not None:
            self._sibling.send(message)

    def _limit(self, limit: int) -> None:
        """Hold so many descriptors. Connections kept to hosts go where it is fewer than are open, those that
        bring an answer once that is whole; clients' are not ended for it."""
        gateway = self.gateway
        gateway.descriptors.limit = max(1, limit)
        gateway.server.resize()
        while gateway.upstream.coming() < 0 and gateway.upstream.drop_oldest_idle():
            pass

    def _offer(self) -> None:
        """Offer the next batch of connections, if it is time for one."""
        while (offer := self._state.offer(self.migrations.waiting)) is not None:
            batch, size = offer
            brought, fds = self.migrations.offer(batch, size)
            self._state.offered[batch] = len(fds)
            if not fds:  # all of them have asked again
                del self._state.offered[batch]
                continue
            self._send_connections(batch, brought, fds)

    def _send_connections(self, batch: int, brought: list[int], fds: list[int]) -> None:
        if self._sibling is not None:
            self._sibling.send(Connections(batch, brought), fds)

    def _changed(self) -> None:
        if self._share_timer is None:
            self._share_timer = self._loop.call_later(SHARE_S, self._share_attempts)

    def _share_attempts(self) -> None:
        """Tell the other what is out here, and leave it what this process needs no more."""
        self._share_timer = None
        if self._sibling is None:
            return
        self.engine.learn_warms(self._owns_slow_start())
        if (out := self.engine.out()) is not None:
            self._send_to_sibling(out)
        if self._state.yielded:
            while self.gateway.upstream.drop_oldest_idle():
                self._changed()  # its hosts' connections serve nobody any more; closed, they are lent
            spare = self.gateway.descriptors.spare() - 2 * self.engine.open
            self._perform_all(self._state.lend(spare))

    # The end.

    async def _finish(self) -> None:
        """Answer what is open, move or end what is between two requests, then end."""
        self._close_listener()
        until = self._loop.time() + self._longest_s()
        server = self.gateway.server
        await settled(server, until, self._must_close)
        server.draining = True
        await settled(server, self._loop.time() + FLUSH_S, lambda: True)
        self.gateway.stop()
        self.end.set()

    def _must_close(self) -> bool:
        """Nobody takes connections over."""
        if self._sibling is None or self._sibling.closed:
            self.gateway.server.draining = True
            return True
        return False

    def _longest_s(self) -> float:
        longest = max(
            (route.deadline_us for route in self.gateway.config.settings.routes), default=0
        )
        return longest / 1e6 + FLUSH_S

    def _close_listener(self) -> None:
        if self._listener is not None and not self._state.accepts:
            self._listener.close()

    def drain(self) -> None:
        """SIGTERM, or the keeper has gone."""
        if self._ending:
            return
        self._ending = True
        # A keeper that ends in the middle of a switch grants one of them first, and that may be on its way.
        self._loop.call_later(LAST_GRANT_S if self._state.yielded else 0.0, self._end)

    def _end(self) -> None:
        if self._gateway is None:
            self.end.set()
        elif self._state.accepts:
            self._own_task(self._drain())
        else:
            self._close_link()
            self._own_task(self._finish())

    async def _drain(self) -> None:
        log.info("draining")
        await self.gateway.drain()
        self.gateway.stop()
        log.info("drained")
        self.end.set()

    def _own_task(self, coroutine: object) -> None:
        assert asyncio.iscoroutine(coroutine)
        task: asyncio.Task[None] = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task of the upgrade failed", exc_info=task.exception())
            self.status = 1
            self.end.set()

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
