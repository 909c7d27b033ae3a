"""Scheduler of admitted requests.

Requests wait in the admission queue and begin in time slices, one slice in each iteration of the
event loop.
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

# Interval (s) at which it is checked whether the core is still too busy to begin more requests: no
# event reports that it has become less busy.
CAPACITY_RECHECK_S = 0.02


class RequestScheduler:
    """Queues the requests of connections, and begins them when the core has time.

    `scheduled` tells whether a slice is scheduled for the next iteration of the event loop.
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
        self._recheck_timer: asyncio.TimerHandle | None = None  # set while at capacity
        self._logged_rejections = 0  # `rejected` of the admission queue at the last log check
        self._rejecting = False

    def queue(
        self,
        connection: ClientConnection,
        arrived_at: float,
        wait_s: float,
        route: int,
        tenant: int,
    ) -> QueuedRequest | None:
        """Queue a request that arrived at `arrived_at`; return None if it must be rejected.

        `arrived_at` is in monotonic time (s); `wait_s` is how long the client waits from then on.
        """
        limit = self._connection_limit
        state = limit.state(connection)
        in_use = limit.busy + (state is not ConnectionState.BUSY)
        now = monotonic()
        waiting = self._admission.join(now, arrived_at, wait_s, route, tenant, in_use, connection)
        if waiting is not None:
            if state is not None:
                limit.set_state(connection, ConnectionState.BUSY, monotonic())
            if self._recheck_timer is None:  # else the timer or a free permit starts a slice
                self.schedule()
        return waiting

    def schedule(self) -> None:
        """Schedule a slice if requests wait; also called when the engine has capacity again."""
        if self._admission.waiting and not self.scheduled:
            self.scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Begin waiting requests for one time slice.

        Then the event loop reads sockets again, including responses of hosts.
        """
        self.scheduled = False
        if self._recheck_timer is not None:
            self._recheck_timer.cancel()
            self._recheck_timer = None
        now = monotonic()
        self._admission.cpu_used(now, process_time())
        self._loop_monitor.busy = self._admission.busy
        slice_end = now + self._admission.slice_s(now)
        at_capacity = False
        while now < slice_end:
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
        """Begin nothing until the engine has capacity or the core is less busy.

        Requests that can no longer be answered in time are taken out of the queue and rejected.
        """
        while (item := self._admission.take_overdue(now)) is not None:
            self._begin(item)
        self._recheck_timer = self._loop.call_later(CAPACITY_RECHECK_S, self.schedule)

    def _begin(self, item: object) -> None:
        assert isinstance(item, ClientConnection)
        try:
            item.begin()
        except Exception:  # a failed request must not affect the others
            log.exception("500: beginning a queued request raised an exception")
            item.answer(Reply(500))

    def _holds(self) -> bool:
        """Whether the engine should get no more requests for now.

        A busy core processes responses late, so permits are held for longer and requests queue in
        the engine, where each one raises the cost of all others. One request per host may wait
        there, for permits that become free before the next slice.
        """
        return self._admission.busy and self._engine.queued > len(self._engine.hosts)

    def log_rejections(self) -> None:
        """Log one line when rejections begin, and one when they have ended."""
        newly_rejected = self._admission.rejected - self._logged_rejections
        self._logged_rejections = self._admission.rejected
        if (newly_rejected > 0) == self._rejecting:
            return
        self._rejecting = newly_rejected > 0
        if self._rejecting:
            log.warning(
                "rejecting requests: %d wait in the admission queue, %.2f ms of core time each",
                self._admission.waiting,
                self._admission.cost_s * 1000,
            )
        else:
            log.info("no longer rejecting requests")
