"""The core's time.

Requests wait in the admission queue and begin in slices, one turn of the loop after another.
"""

from __future__ import annotations

import asyncio
import logging
from time import monotonic, process_time

from quillroad.downstream.connection import ClientConnection
from quillroad.downstream.connection_limit import ConnectionLimit, ConnectionState
from quillroad.engine.engine import Engine, Reply
from quillroad.overload.admission_queue import AdmissionQueue, QueuedRequest
from quillroad.overload.event_loop_monitor import EventLoopMonitor

log = logging.getLogger("quillroad.downstream")

# Between two looks at whether the core is still too busy for more than it has begun: it may get
# less busy with nothing else that would tell.
HOLD_S = 0.02


class RequestScheduler:
    """Who of the connections waits for the core, and who begins next.

    `scheduled` says whether a turn is about to run.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        loop_monitor: EventLoopMonitor,
        engine: Engine,
        admission: AdmissionQueue,
        connection_limit: ConnectionLimit[ClientConnection],
    ) -> None:
        self._loop = loop
        self._loop_monitor = loop_monitor
        self._engine = engine
        self._admission = admission
        self._connection_limit = connection_limit
        self.scheduled = False
        self._hold: asyncio.TimerHandle | None = None  # of the turns that begin nothing
        self._refused = 0  # of the refusals, those that the log knows of
        self._refusing = False

    def queue(
        self, connection: ClientConnection, since: float, wait_s: float, route: int, tenant: int
    ) -> QueuedRequest | None:
        """Let a request that came at `since` wait for its turn, or None: it is to be refused.

        Times are monotonic, in seconds; `wait_s` is how long its client waits from `since` on.
        """
        limit = self._connection_limit
        state = limit.state(connection)
        in_use = limit.busy + (state is not ConnectionState.BUSY)
        now = monotonic()
        waiting = self._admission.join(now, since, wait_s, route, tenant, in_use, connection)
        if waiting is not None:
            if state is not None:
                limit.set_state(connection, ConnectionState.BUSY, monotonic())
            if self._hold is None:  # else a turn comes soon, or with the first permit that is free
                self.schedule()
        return waiting

    def schedule(self) -> None:
        """Let a turn run if something waits: the engine may have room for more."""
        if self._admission.waiting and not self.scheduled:
            self.scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Begin what has waited, for a slice of time.

        Then sockets are read again, answers of hosts among them.
        """
        self.scheduled = False
        if self._hold is not None:
            self._hold.cancel()
            self._hold = None
        now = monotonic()
        self._admission.cpu_used(now, process_time())
        self._loop_monitor.busy = self._admission.busy
        end = now + self._admission.slice_s(now)
        at_capacity = False
        while now < end:
            at_capacity = self._holds()
            if at_capacity:
                break
            item = self._admission.take()
            if item is None:
                break
            self._begin(item)
            now = monotonic()
        self._admission.slice_ended(now)
        if not self._admission.waiting:
            return
        if at_capacity:
            self._wait_for_capacity(now)
        else:
            self.scheduled = True
            self._loop.call_soon(self._run)

    def _wait_for_capacity(self, now: float) -> None:
        """Begin nothing until the engine tells of room, or the core gets less busy meanwhile.

        Whoever can no longer be answered in time is let go, to be refused.
        """
        while (item := self._admission.take_overdue(now)) is not None:
            self._begin(item)
        self._hold = self._loop.call_later(HOLD_S, self.schedule)

    def _begin(self, item: object) -> None:
        assert isinstance(item, ClientConnection)
        try:
            item.begin()
        except Exception:  # one request's fault must not cost the others theirs
            log.exception("a request could not begin")
            item.answer(Reply(500))

    def _holds(self) -> bool:
        """Whether the engine is left with what it has.

        A core that is busy gets round to answers late, so permits are held for longer and requests
        queue in the engine, where each makes all others dearer. One a host may wait there, for the
        permits that become free before this loop comes round.
        """
        return self._admission.busy and self._engine.queued > len(self._engine.hosts)

    def log_rejections(self) -> None:
        """One line when refusals begin, and one when they have ended."""
        refused = self._admission.rejected - self._refused
        self._refused = self._admission.rejected
        if (refused > 0) == self._refusing:
            return
        self._refusing = refused > 0
        if self._refusing:
            log.warning(
                "refusing: %d requests wait, at %.2f ms each",
                self._admission.waiting,
                self._admission.cost_s * 1000,
            )
        else:
            log.info("no longer refusing")
