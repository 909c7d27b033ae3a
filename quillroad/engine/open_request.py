"""The state of one request, from arrival until it is answered and all its attempts are over."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quillroad.engine.client_request import ClientRequest
from quillroad.engine.reply import Reply
from quillroad.engine.requester import Requester
from quillroad.upstream.attempt import Attempt


class OpenRequest:
    """A request that is unanswered or still has attempts in flight.

    `number` identifies it in the balancer's events and actions. `deadline_at` is the time by which
    it must be answered, in seconds of the monotonic clock: the client's, or an earlier one while
    the process ends. `attempts_end_at` is the time, a margin earlier, at which its attempts time
    out.
    """

    def __init__(
        self,
        number: int,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        deadline_at: float,
        attempts_end_at: float,
        client: Requester | None,
    ) -> None:
        self.number = number
        self.request = request
        self.client = client
        self.deadline_at = deadline_at
        self.attempts_end_at = attempts_end_at
        self.reply: Callable[[Reply], None] | None = reply  # None: answered or client left
        self.attempts: list[Attempt | None] = []  # None: never sent, or finished
        self.attempts_in_flight = 0
        self.is_remembered = False  # its id is one of the abandoned ids
        self.on_removed: Callable[[], None] | None = None  # no attempt needs the body any more
        self.fallback_timer: asyncio.TimerHandle | None = None  # the engine answers when it fires

    def shorten_deadline(self, deadline_at: float, attempts_end_at: float) -> None:
        """Set an earlier deadline; the caller sets a new fallback timer."""
        self.deadline_at = deadline_at
        self.attempts_end_at = attempts_end_at
        if self.fallback_timer is not None:
            self.fallback_timer.cancel()
        for attempt in self.attempts:
            if attempt is not None:
                attempt.limit(attempts_end_at)

    def withdraw_connecting_attempts(self) -> None:
        """Withdraw the attempts whose connection is still being established.

        Without this a request could be sent long after its client was answered. No host has
        received a byte of these attempts, so this is correct even if the settings forbid cancelling
        attempts.
        """
        for attempt in self.attempts:
            if attempt is not None and attempt.connecting:
                attempt.withdraw()
