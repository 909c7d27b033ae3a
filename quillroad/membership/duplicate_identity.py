"""Detects two processes that use one member number. Does no I/O.

A restart changes a member's run identifier once, and a delayed datagram of the old run changes it
back briefly. Two processes under one number make it alternate for as long as both run.
"""

from __future__ import annotations

from typing import NamedTuple

from quillroad.membership.local_health import DUPLICATE_REPORT_S
from quillroad.membership.sender import DEFERRABLE_FRACTION, DatagramSender, Payload
from quillroad.membership.state import LocalState
from quillroad.membership.view import Cause, Change, ChangeKind
from quillroad.membership.wire import Header, MessageKind

MIN_CHANGES = 4  # changes of the run identifier before it is reported
MIN_DURATION_S = 2.0  # between the first and last change; longer than any datagram delay


class _RunHistory(NamedTuple):
    """The latest run identifier of a member and the number of its changes since `since`."""

    run_id: int
    since: float
    changes: int


class DuplicateIdentity:
    """Tracks the run identifiers of the other members."""

    def __init__(self, state: LocalState, sender: DatagramSender) -> None:
        self._state = state
        self._sender = sender
        self._histories: dict[int, _RunHistory] = {}

    def record_run(self, header: Header, now: float) -> None:
        """Record a member's run identifier; send it DUPLICATE if two processes use its number."""
        number, run_id = header.number, header.run_id
        last = self._histories.get(number)
        if last is None or now - last.since > DUPLICATE_REPORT_S:
            self._histories[number] = _RunHistory(run_id, now, 0)
            return
        if last.run_id == run_id:
            return
        changes = last.changes + 1
        since = last.since if last.changes else now
        self._histories[number] = _RunHistory(run_id, since, changes)
        if changes < MIN_CHANGES or now - last.since < MIN_DURATION_S:
            return
        if changes == MIN_CHANGES:
            change = Change(
                now, number, ChangeKind.DUPLICATED, header.incarnation, Cause.HEARD, number
            )
            self._state.view.note(change, now)
        payload = Payload(MessageKind.DUPLICATE)
        self._sender.send(number, payload, now, fraction=DEFERRABLE_FRACTION)

    def forget(self, number: int) -> None:
        """Drop the history of a member that was removed from the roster."""
        self._histories.pop(number, None)
