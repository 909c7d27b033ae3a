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

    `number` identifies it in the balancer's events and actions. `attempt_deadline` is the time
    at which its attempts time out, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        number: int,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        attempt_deadline: float,
        client: Requester | None,
    ) -> None:
        self.number = number
        self.request = request
        self.client = client
        self.attempts_end_at = attempt_deadline
        self.reply: Callable[[Reply], None] | None = reply  # None: answered or client left
        self.attempts: list[Attempt | None] = []  # None: never sent, or finished
        self.attempts_in_flight = 0
        self.is_remembered = False  # its id is one of the abandoned ids
        self.on_removed: Callable[[], None] | None = None  # no attempt needs the body any more
        self.fallback_timer: asyncio.TimerHandle | None = None  # the engine answers when it fires

    def withdraw_connecting_attempts(self) -> None:
        """Withdraw the attempts whose connection is still being established.

        Without this a request could be sent long after its client was answered. No host has
        received a byte of these attempts, so this is correct even if the settings forbid cancelling
        attempts.
        """
        for attempt in self.attempts:
            if attempt is not None and attempt.connecting:
                attempt.withdraw()
