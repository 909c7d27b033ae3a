"""The requests that an engine has open: by number, by id, and how each of them ends."""

from __future__ import annotations

from quillroad.engine.open_request import OpenRequest
from quillroad.engine.reply import Reply


class RequestTable:
    """The open requests of one engine.

    A request is open until its client has its answer, or has gone, and none of its attempts is in
    flight. The engine is a subclass of it, so that a request's end costs no further call.
    """

    def __init__(self) -> None:
        self._open: dict[int, OpenRequest] = {}  # by number
        self._unanswered_ids: set[str] = set()  # of requests that still wait for their answer

    def is_open(self, request_id: str) -> bool:
        """Whether a request of this id waits for its answer."""
        return request_id in self._unanswered_ids

    @property
    def unanswered(self) -> int:
        """Requests that wait for their answer."""
        return len(self._unanswered_ids)

    def _has_work(self) -> bool:
        return bool(self._open)

    def _answer(self, opened: OpenRequest, reply: Reply) -> None:
        """Give its client the one answer, unless it has one or has gone."""
        send = opened.reply
        self._settle(opened)
        if send is not None:
            send(reply)

    def _settle(self, opened: OpenRequest) -> None:
        """Its client waits no longer."""
        opened.reply = None
        self._unanswered_ids.discard(opened.request.id)
        if opened.overdue_timer is not None:
            opened.overdue_timer.cancel()

    def _forget(self, opened: OpenRequest) -> None:
        """Let go of a request that has its answer and none of whose attempts is in flight."""
        if opened.reply is not None:
            return
        if opened.attempts_in_flight:
            opened.withdraw_connecting()
        if not opened.attempts_in_flight:
            self._open.pop(opened.number, None)
