"""The engine of a process that may have a sibling: another process of the same gateway.

Each tells the other what it has in flight, so that both together keep to what one gateway may send.
Only imported where upgrades are on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quillroad.balancing.balancer import Balancer
from quillroad.balancing.events import Event, SiblingAttempts
from quillroad.engine.client_request import ClientRequest
from quillroad.engine.engine import Engine
from quillroad.engine.open_request import OpenRequest
from quillroad.engine.reply import REJECTED, SERVED, Reply
from quillroad.engine.requester import Requester
from quillroad.upgrade.canary import RequestCounts
from quillroad.upgrade.messages import AttemptsInFlight
from quillroad.upgrade.state_snapshot import attempts_in_flight
from quillroad.upstream.pool import Upstream


class SiblingEngine(Engine):
    """An engine that may have a sibling.

    `on_change` is called when what `attempts_in_flight` returns may have changed.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, balancer: Balancer, upstream: Upstream
    ) -> None:
        super().__init__(loop, balancer, upstream)
        self.counts = RequestCounts()
        self.sibling_request_ids: set[str] = set()  # of requests that the sibling has open
        self.on_change: Callable[[], None] | None = None
        self._reported_attempts: dict[int, tuple[int, int]] = {}
        self._reported_ids: set[str] = set()
        self._sibling_attempts: dict[int, tuple[int, int]] = {}

    @property
    def balancer(self) -> Balancer:
        """The decisions, whose snapshot goes along."""
        return self._balancer

    @property
    def epoch_us(self) -> int:
        """Unix time at the zero of the monotonic clock, as this engine counts it."""
        return self._clock.epoch_us

    @epoch_us.setter
    def epoch_us(self, value: int) -> None:
        """Go by the zero of another engine, so that ages count alike in both."""
        self._clock.epoch_us = value

    @property
    def open(self) -> int:
        """Requests that wait for their answer."""
        return len(self._unanswered_ids)

    def is_unanswered(self, request_id: str) -> bool:
        """Whether a request with this id waits for its answer, here or at the sibling."""
        return super().is_unanswered(request_id) or request_id in self.sibling_request_ids

    def learn(self, report: AttemptsInFlight, owns_slow_start: bool) -> None:
        """Take what the sibling has in flight; `owns_slow_start`: the slots are ours."""
        self.sibling_request_ids.update(report.opened)
        self.sibling_request_ids.difference_update(report.ended)
        self._sibling_attempts = {host: (count, overdue) for host, count, overdue in report.at}
        self.feed(SiblingAttempts(self._sibling_attempts, owns_slow_start))

    def set_slow_start_owner(self, owns_slow_start: bool) -> None:
        """Note whose the slow-start slots are now."""
        if owns_slow_start is not self._balancer.owns_slow_start:
            self.feed(SiblingAttempts(self._sibling_attempts, owns_slow_start))

    def forget_sibling(self) -> None:
        """Note that no sibling is at work."""
        self.sibling_request_ids.clear()
        self._reported_attempts = {}
        self._reported_ids = set()
        self._sibling_attempts = {}
        self.feed(SiblingAttempts())

    def attempts_in_flight(self) -> AttemptsInFlight | None:
        """What has changed since this was asked last; None for nothing."""
        attempts = attempts_in_flight(self._balancer)
        opened = self._unanswered_ids - self._reported_ids
        ended = self._reported_ids - self._unanswered_ids
        if attempts == self._reported_attempts and not opened and not ended:
            return None
        self._reported_attempts = attempts
        self._reported_ids = set(self._unanswered_ids)
        by_host = [(host, *counts) for host, counts in attempts.items()]
        return AttemptsInFlight(by_host, list(opened), list(ended))

    def accept(
        self,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        client: Requester | None = None,
    ) -> OpenRequest:
        """Take a request, as `Engine.accept`."""
        opened = super().accept(request, reply, client)
        if self.on_change is not None:
            self.on_change()
        return opened

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
            self.on_change()
