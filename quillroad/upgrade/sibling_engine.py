"""The engine of a process that may have a sibling: another process of the same gateway.

Each process reports its attempts in flight to the other, so that both together stay within the
limits of one gateway. Imported only where upgrades are on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

from quillroad.balancing.balancer import Balancer
from quillroad.balancing.events import Event, SiblingAttempts
from quillroad.balancing.settings import Idempotency
from quillroad.engine.abandoned_ids import AbandonedIds
from quillroad.engine.client_request import ClientRequest
from quillroad.engine.engine import Engine
from quillroad.engine.open_request import OpenRequest
from quillroad.engine.reply import REJECTED, SERVED, Reply
from quillroad.engine.request_table import has_effect
from quillroad.engine.requester import Requester
from quillroad.upgrade.canary import RequestCounts
from quillroad.upgrade.messages import AttemptsInFlight
from quillroad.upgrade.state_snapshot import attempts_in_flight
from quillroad.upstream.pool import Upstream


class SiblingEngine(Engine):
    """An engine that may have a sibling.

    `on_change` is called when the result of `attempts_in_flight` may have changed, with whether the
    sibling has to know at once.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, balancer: Balancer, upstream: Upstream
    ) -> None:
        super().__init__(loop, balancer, upstream)
        self.counts = RequestCounts()
        self.on_change: Callable[[bool], None] | None = None
        self._lost_ids = AbandonedIds()  # requests that were open at a sibling when it ended
        self._reported_attempts: dict[int, tuple[int, int]] = {}
        self._reported_ids: set[str] = set()
        self._sibling_attempts: dict[int, tuple[int, int]] = {}

    @property
    def balancer(self) -> Balancer:
        """The balancer, whose state snapshot is handed over."""
        return self._balancer

    @property
    def epoch_us(self) -> int:
        """Unix time at the zero of the monotonic clock, as this engine counts it."""
        return self._clock.epoch_us

    @epoch_us.setter
    def epoch_us(self, value: int) -> None:
        """Use the zero of another engine's clock, so that ages are the same in both."""
        self._clock.epoch_us = value

    @property
    def open(self) -> int:
        """Number of requests that wait for their answer."""
        return len(self._unanswered_ids)

    def is_unanswered(self, request_id: str) -> bool:
        """Return whether a request with this id waits for its answer, here or at the sibling."""
        return super().is_unanswered(request_id) or request_id in self.sibling_request_ids

    def is_repeated(self, request: ClientRequest) -> bool:
        """Return whether a request may be at work at a host, so that it must not be sent again.

        If a process ends, its clients send the requests again that they had sent on its
        connections, with the same ids. Hosts drop the repeat of a key, but not of an unsafe one.
        """
        if super().is_repeated(request):
            return True
        if has_effect(request) and request.id in self.sibling_request_ids:
            return True
        is_unsafe = request.idempotency is Idempotency.NON_IDEMPOTENT
        return is_unsafe and self._lost_ids.contains(request.id, monotonic())

    def learn(self, report: AttemptsInFlight, owns_slow_start: bool) -> None:
        """Apply the sibling's report of its attempts in flight and open requests.

        `owns_slow_start`: the slow-start slots belong to this process.
        """
        self.sibling_request_ids.update(report.opened)
        self.sibling_request_ids.difference_update(report.ended)
        self._sibling_attempts = {host: (count, overdue) for host, count, overdue in report.at}
        self.feed(SiblingAttempts(self._sibling_attempts, owns_slow_start))

    def set_slow_start_owner(self, owns_slow_start: bool) -> None:
        """Set whether the slow-start slots belong to this process."""
        if owns_slow_start is not self._balancer.owns_slow_start:
            self.feed(SiblingAttempts(self._sibling_attempts, owns_slow_start))

    def forget_sibling(self) -> None:
        """Drop all that the sibling reported: it no longer serves requests.

        What it had not answered may still be at work at hosts.
        """
        now = monotonic()
        for request_id in self.sibling_request_ids:
            self._lost_ids.remember(request_id, now)
        self.sibling_request_ids.clear()
        self._reported_attempts = {}
        self._reported_ids = set()
        self._sibling_attempts = {}
        self.feed(SiblingAttempts())

    def attempts_in_flight(self) -> AttemptsInFlight | None:
        """Return the report for the sibling, or None if nothing changed since the last call.

        It holds all attempts in flight by host, and the ids of requests opened and ended since.
        Those that a client has abandoned end when they are forgotten.
        """
        attempts = attempts_in_flight(self._balancer)
        blocked = self._unanswered_ids.union(self.abandoned_ids.ids(monotonic()))
        opened = blocked - self._reported_ids
        ended = self._reported_ids - blocked
        if attempts == self._reported_attempts and not opened and not ended:
            return None
        self._reported_attempts = attempts
        self._reported_ids = blocked
        by_host = [(host, *counts) for host, counts in attempts.items()]
        return AttemptsInFlight(by_host, list(opened), list(ended))

    def accept(
        self,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        client: Requester | None = None,
    ) -> OpenRequest:
        """Accept a request as `Engine.accept` does, and call `on_change`.

        The sibling has to know an id before its client can send it again, if the request has an
        effect.
        """
        opened = super().accept(request, reply, client)
        if self.on_change is not None:
            self.on_change(has_effect(request))
        return opened

    def remember_abandoned(self, request_id: str) -> None:
        """Remember the id as `Engine.remember_abandoned` does, and call `on_change`."""
        super().remember_abandoned(request_id)
        if self.on_change is not None:
            self.on_change(True)

    def _answer(self, opened: OpenRequest, reply: Reply) -> None:
        if opened.reply is not None:
            if reply.status == SERVED:
                self.counts.served += 1
            elif reply.status == REJECTED:
                self.counts.refused += 1
            else:
                self.counts.failed += 1
        super()._answer(opened, reply)

    def _handle_event(self, event: Event) -> None:
        super()._handle_event(event)
        if self.on_change is not None:
            self.on_change(False)
