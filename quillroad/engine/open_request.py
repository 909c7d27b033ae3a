"""A request from its arrival until its final answer and the outcome of each of its attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quillroad.engine.client_request import ClientRequest
from quillroad.engine.reply import Reply
from quillroad.engine.requester import Requester
from quillroad.upstream.attempt import Attempt


class OpenRequest:
    """One request that the engine has open.

    `number` names it in the balancer's events; `give_up` is the moment at which its attempts end,
    in seconds of the monotonic clock.
    """

    def __init__(
        self,
        number: int,
        request: ClientRequest,
        reply: Callable[[Reply], None],
        give_up: float,
        client: Requester | None,
    ) -> None:
        self.number = number
        self.request = request
        self.client = client
        self.attempts_end_at = give_up
        self.reply: Callable[[Reply], None] | None = reply  # None: answered, or the client has gone
        self.attempts: list[Attempt | None] = []  # None: never sent, or over
        self.attempts_in_flight = 0  # attempts in flight
        self.overdue_timer: asyncio.TimerHandle | None = None  # the engine then answers by itself

    def withdraw_connecting(self) -> None:
        """Withdraw attempts of which no byte has gone out: nobody waits for them any more.

        Without this a request could be sent long after its client had its answer. It calls nothing
        off at a host, so it is right also where the settings forbid that.
        """
        for attempt in self.attempts:
            if attempt is not None and attempt.connecting:
                attempt.withdraw()
