"""The open requests of an engine, by number and by id, and how each is answered and removed."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

from quillroad.balancing.settings import Idempotency
from quillroad.engine.abandoned_ids import AbandonedIds
from quillroad.engine.client_request import ClientRequest
from quillroad.engine.open_request import OpenRequest
from quillroad.engine.reply import Reply


def has_effect(request: ClientRequest) -> bool:
    """Return whether a second execution of a request would repeat an effect."""
    return request.idempotency is not Idempotency.IDEMPOTENT


class RequestTable:
    """The open requests of one engine.

    A request is open until its client was answered or has disconnected, and none of its attempts
    is in flight. The engine is a subclass of this class to save a method call per finished request.
    """

    def __init__(self) -> None:
        self._open: dict[int, OpenRequest] = {}  # by number
        self._unanswered_ids: set[str] = set()  # request ids
        self.abandoned_ids = AbandonedIds()
        self.sibling_request_ids: set[str] = set()  # open at another process of this gateway

    def is_unanswered(self, request_id: str) -> bool:
        """Return whether a request with this id is unanswered."""
        return request_id in self._unanswered_ids

    def is_repeated(self, request: ClientRequest) -> bool:
        """Return whether a request may be at work at a host, so that it must not be sent again.

        It is unanswered, or has an effect and was abandoned by its client lately.
        """
        return request.id in self._unanswered_ids or (
            bool(self.abandoned_ids.forget_at)
            and has_effect(request)
            and self.abandoned_ids.contains(request.id, monotonic())
        )

    @property
    def unanswered(self) -> int:
        """Number of unanswered requests."""
        return len(self._unanswered_ids)

    def _has_work(self) -> bool:
        return bool(self._open)

    def _answer(self, open_request: OpenRequest, reply: Reply) -> None:
        """Send the final answer to the client, unless it was answered or has disconnected."""
        send = open_request.reply
        self._clear_reply(open_request)
        if send is not None:
            send(reply)

    def _remember(self, open_request: OpenRequest) -> None:
        """Remember the id of an abandoned request that may have an effect."""
        request = open_request.request
        if open_request.attempts and has_effect(request):
            self.abandoned_ids.remember(request.id, monotonic())
            open_request.is_remembered = True

    def answer_abandoned(self, request: ClientRequest) -> None:
        """Note that the client of a request has left while its answer was being streamed.

        The host may still be at work on it.
        """
        if has_effect(request):
            self.remember_abandoned(request.id)

    def remember_abandoned(self, request_id: str) -> None:
        """Remember the id of a request that may have run, and whose client does not know it."""
        self.abandoned_ids.remember(request_id, monotonic())

    def _clear_reply(self, open_request: OpenRequest) -> None:
        """Mark the request as answered or abandoned by its client."""
        open_request.reply = None
        self._unanswered_ids.discard(open_request.request.id)
        if open_request.fallback_timer is not None:
            open_request.fallback_timer.cancel()

    def _remove_if_finished(self, open_request: OpenRequest) -> None:
        """Remove an answered or abandoned request if no attempt is in flight.

        Attempts that are still connecting are withdrawn first.
        """
        if open_request.reply is not None:
            return
        if open_request.attempts_in_flight:
            open_request.withdraw_connecting_attempts()
        if not open_request.attempts_in_flight:
            self._open.pop(open_request.number, None)
            if open_request.is_remembered:
                self._remember(open_request)  # its attempts may have gone on for long
            if open_request.on_removed is not None:
                open_request.on_removed()
                open_request.on_removed = None

    def release_when_removed(self, open_request: OpenRequest, release: Callable[[], None]) -> None:
        """Call `release` once the request is not open any more, at once if it is not now."""
        if open_request.number in self._open:
            open_request.on_removed = release
        else:
            release()
