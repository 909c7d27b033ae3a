"""Sends a part of the member table in one datagram. Does no I/O."""

from __future__ import annotations

from quillroad.membership.member_table import CHUNK_MEMBERS, PackedStatuses
from quillroad.membership.sender import DEFERRABLE_FRACTION, DatagramSender, Payload
from quillroad.membership.state import LocalState
from quillroad.membership.wire import MAX_DATAGRAM_BYTES, MAX_TABLE_MEMBERS, MessageKind

MAX_HEADER_BYTES = 60  # of a TABLE datagram: all fields but the statuses, at their longest
MAX_EXCEPTION_BYTES = 7  # encoded index and incarnation of one member in `exceptions`


class TableTransfer:
    """Sends parts of the table to one member or to the broadcast address."""

    def __init__(self, state: LocalState, sender: DatagramSender) -> None:
        self._state = state
        self._sender = sender

    def send(
        self, target: int, about: int, now: float, fraction: float = DEFERRABLE_FRACTION
    ) -> int | None:
        """Send the statuses of a range of members that includes `about`, as many as fit.

        Returns the number after the last member sent, or None if the budget is spent.
        """
        members, statuses = self._fit_members(about)
        payload = Payload(MessageKind.TABLE, about=members.start, statuses=statuses)
        if not self._sender.send(target, payload, now, fraction=fraction, updates=()):
            return None
        queue = self._state.gossip_queue
        queue.mark_sent([n for n in queue.all() if n in members], len(self._state.roster))
        return members.stop

    def _fit_members(self, about: int) -> tuple[range, PackedStatuses]:
        """Return a range of whole chunks that includes `about`, and the packed statuses."""
        table = self._state.table
        first = min(_chunk_start(about), self._last_start())
        stop = min(len(table), first + MAX_TABLE_MEMBERS)
        while True:
            statuses = table.pack(range(first, stop))
            size = len(statuses.codes) + MAX_EXCEPTION_BYTES * len(statuses.exceptions) // 2
            if size <= MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES or stop - first <= CHUNK_MEMBERS:
                return range(first, stop), statuses
            half = max(CHUNK_MEMBERS, _chunk_start((stop - first) // 2))
            middle = first + half
            first, stop = (middle, stop) if about >= middle else (first, middle)

    def _last_start(self) -> int:
        """Return the start of the first chunk from which the rest of the table fits one datagram.

        Rounded up to a chunk: rounded down, the last members of a table that does not fit one
        datagram would never be sent, and gateways that differ about them would never agree.
        """
        surplus = max(0, len(self._state.table) - MAX_TABLE_MEMBERS)
        return _chunk_start(surplus + CHUNK_MEMBERS - 1)


def _chunk_start(number: int) -> int:
    """Return the first member of the chunk that contains `number`."""
    return number // CHUNK_MEMBERS * CHUNK_MEMBERS
