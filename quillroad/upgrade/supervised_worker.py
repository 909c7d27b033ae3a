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
    Act,
    Adopt,
    Back,
    Do,
    Drop,
    Export,
    Gone,
    Keep,
    Learn,
    Limit,
    Own_,
    Part,
    Seat,
    ToKeeper,
    ToOther,
)

log = logging.getLogger("quillroad.upgrade")

HELD_S = 1.0  # for the end of a process to be seen
OWN_S = 0.05  # for the keeper's last word to come
SHARE_S = 0.005  # between two words to the other process: its picture of a host is that old at most


class Seated:
    """One process. `again` reads the configuration for a reload."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        again: Callable[[], Config],
        zones: Path | None = None,
    ) -> None:
        self._loop, self._again, self._zones = loop, again, zones
        self._other: Channel | None = None
        self._seat = Seat()
        self._gateway: Gateway | None = None
        self._moves: Moves | None = None
        self._listener: socket.socket | None = None
        self._fds: list[int] = []  # that came with the message at hand
        self._share: asyncio.TimerHandle | None = None
        self.status = 0  # to exit with
        self._tasks: set[asyncio.Task[None]] = set()
        self._ending = False
        self.end = asyncio.Event()
        self._reload_due = False  # a reload was asked for before there was a gateway that could
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _to_keeper(self, message: Message) -> None:
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
    def moves(self) -> Moves:
        assert self._moves is not None
        return self._moves

    # What comes in.

    def _link(self, sock: socket.socket) -> None:
        self._unlink()
        try:
            self._other = Channel(self._loop, sock, self._heard, self._cut)
        except PermissionError as error:
            log.error("no link: %s", error)

    def _heard(self, message: Message, fds: list[int]) -> None:
        """The other process says something."""
        if isinstance(message, ByHand):
            if self._gateway is not None and self._gateway.admin is not None:
                self._gateway.admin.learn(message.out, message.back, message.drained)
            return
        if isinstance(message, Connections) and len(message.brought) != len(fds):
            for fd in fds:
                os.close(fd)
            self._cut("descriptors are missing")
            return
        self._fds = fds
        self._do(self._seat.heard(message))
        for fd in self._fds:
            os.close(fd)
        self._fds = []

    def _cut(self, why: str) -> None:
        if self._seat.part is not Part.NONE:
            log.info("the other process is not heard any more: %s", why)
        self._unlink()

    def _unlink(self) -> None:
        if self._other is not None:
            self._other.close()
            self._other = None
        if self._share is not None:
            self._share.cancel()
            self._share = None
        if self._gateway is not None:
            self.engine.on_change = None
            self._do(self._seat.cut())

    # What is done.

    def _build(self, config: Config, descriptors: int) -> None:
        """Make the gateway and let it hear of hosts; it accepts nothing yet. Raises ConfigError, OSError."""
        self._seat.batch = batch_of(config.sockets)
        gateway = Gateway(config, self._loop, SharedEngine, MovingServer, self._zones)
        self._gateway = gateway
        self._limit(descriptors)
        server = gateway.server
        assert isinstance(server, MovingServer)
        self._moves = Moves(server)
        if gateway.zones is not None:
            gateway.zones.serves = self._serves
        if gateway.registrar is not None:
            gateway.registrar.serves = self._serves
        if gateway.fleet is not None:
            gateway.fleet.serves = self._serves
        gateway.source.begin(config)
        if gateway.admin is not None:
            gateway.admin.on_change = self._by_hand
        gateway.follow()
        if self._reload_due:
            gateway.reload(self._again)
        gc.collect()
        gc.freeze()  # what is here at the start stays; collections need not walk it each time

    def _by_hand(self) -> None:
        """An operator has changed something: the other process goes by it, too."""
        if (done := by_hand(self.gateway)) is not None:
            self._say(done)

    def _operators(self, on: bool) -> None:
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
            self._gateway.reload(self._again)

    def _do(self, acts: list[Act]) -> None:
        for act in acts:
            try:
                self._act(act)
            except Exception:
                log.exception("could not carry out %s", act)
                if (
                    act is Do.ACCEPT
                ):  # nobody would accept, and the keeper would take this for the owner
                    self.status = 1
                    self.end.set()
                    return
                if self._other is not None:
                    self._cut("a fault of ours")

    def _act(self, act: Act) -> None:
        match act:
            case Do():
                self._word(act)
            case ToKeeper():
                self._to_keeper(act.message)
            case ToOther():
                self._say(act.message)
            case Export():
                if act.final:
                    share_budgets(self.engine.balancer)
                self._say(State(write(self.gateway), act.final))
            case Adopt():
                left = read(self.gateway, act.state.sections, not act.state.final)
                for line in left if act.state.final else ():
                    log.warning("left behind: %s", line)
                self._do(self._seat.adopted(act.state.final, left[:20]))
            case Learn():
                self.engine.learn(act.out, self._warms())
            case Limit():
                self._limit(
                    act.descriptors + (self.gateway.descriptors.limit if act.more else -RESERVED)
                )
            case Keep():
                self.moves.keep(act.batch, act.brought, self._fds)
                self._fds = []
            case Own_():
                self.moves.own(act.batch)
            case Drop():
                self.moves.drop()
            case Gone():
                self._seat.gone(
                    act.batch
                )  # first: it was released, and never comes back whatever fails
                self.moves.gone(act.batch)
                self._offer()
            case Back():
                self.moves.back(act.batch)
            case _:
                assert_never(act)

    def _word(self, word: Do) -> None:
        if word is Do.ACCEPT:
            assert self._listener is not None
            self.moves.leaving(False)
            self.gateway.listen(self._listener)
            self._operators(True)
        elif word is Do.PAUSE:
            self.moves.leaving(True)
            self.gateway.server.pause()
            self._operators(False)
        elif word is Do.SHARE:
            self.engine.on_change = self._changed
            # At once: who is about to serve needs the descriptors that are left here.
            self._tell()
        elif word is Do.MOVE:
            self.moves.begin(self._offer)
        elif word is Do.STAY:
            self.moves.stop()
        elif word is Do.WAIT:
            self._loop.call_later(HELD_S, lambda: self._do(self._seat.waited()))
        elif word is Do.ALONE:
            self.engine.alone()
        elif word is Do.FINISH:
            self._task(self._finish())

    def _serves(self) -> bool:
        return self._seat.accepts

    def _warms(self) -> bool:
        """Whether the turns at cold hosts are this process's: theirs who accepts."""
        return self._seat.accepts or self._seat.part is Part.NONE

    def _say(self, message: Message) -> None:
        if self._other is not None:
            self._other.send(message)

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
        while (offer := self._seat.offer(self.moves.waiting)) is not None:
            batch, size = offer
            brought, fds = self.moves.offer(batch, size)
            self._seat.offered[batch] = len(fds)
            if not fds:  # all of them have asked again
                del self._seat.offered[batch]
                continue
            self._say_connections(batch, brought, fds)

    def _say_connections(self, batch: int, brought: list[int], fds: list[int]) -> None:
        if self._other is not None:
            self._other.send(Connections(batch, brought), fds)

    def _changed(self) -> None:
        if self._share is None:
            self._share = self._loop.call_later(SHARE_S, self._tell)

    def _tell(self) -> None:
        """Tell the other what is out here, and leave it what this process needs no more."""
        self._share = None
        if self._other is None:
            return
        self.engine.learn_warms(self._warms())
        if (out := self.engine.out()) is not None:
            self._say(out)
        if self._seat.yielded:
            while self.gateway.upstream.drop_oldest_idle():
                self._changed()  # its hosts' connections serve nobody any more; closed, they are lent
            spare = self.gateway.descriptors.spare() - 2 * self.engine.open
            self._do(self._seat.lend(spare))

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
        if self._other is None or self._other.closed:
            self.gateway.server.draining = True
            return True
        return False

    def _longest_s(self) -> float:
        longest = max(
            (route.deadline_us for route in self.gateway.config.settings.routes), default=0
        )
        return longest / 1e6 + FLUSH_S

    def _close_listener(self) -> None:
        if self._listener is not None and not self._seat.accepts:
            self._listener.close()

    def drain(self) -> None:
        """SIGTERM, or the keeper has gone."""
        if self._ending:
            return
        self._ending = True
        # A keeper that ends in the middle of a switch grants one of them first, and that may be on its way.
        self._loop.call_later(OWN_S if self._seat.yielded else 0.0, self._end)

    def _end(self) -> None:
        if self._gateway is None:
            self.end.set()
        elif self._seat.accepts:
            self._task(self._drain())
        else:
            self._unlink()
            self._task(self._finish())

    async def _drain(self) -> None:
        log.info("draining")
        await self.gateway.drain()
        self.gateway.stop()
        log.info("drained")
        self.end.set()

    def _task(self, coroutine: object) -> None:
        assert asyncio.iscoroutine(coroutine)
        task: asyncio.Task[None] = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._over)

    def _over(self, task: asyncio.Task[None]) -> None:
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
