"""Anti-entropy: members compare digests of their tables and exchange the chunks that differ.

It repairs what gossip missed, and sends the whole table to a member that has just started. Does no
I/O.
"""

from __future__ import annotations

from quillroad.membership.member_table import MemberState, MemberStatus, unpack
from quillroad.membership.member_updates import MemberUpdates
from quillroad.membership.sender import (
    BULK_UPDATES,
    DEFERRABLE_FRACTION,
    GOSSIP,
    DatagramSender,
    Payload,
)
from quillroad.membership.state import LocalState
from quillroad.membership.table_transfer import TableTransfer
from quillroad.membership.wire import Datagram, DropReason, MessageKind

MAX_DIGESTS = 40  # chunk digests in one datagram: 5 bytes each, plus the header


class AntiEntropy:
    """Compares the local table with that of each member that sends a datagram."""

    def __init__(
        self,
        state: LocalState,
        sender: DatagramSender,
        tables: TableTransfer,
        updates: MemberUpdates,
        now: float,
    ) -> None:
        self._state = state
        self._sender = sender
        self._tables = tables
        self._updates = updates
        self._next_at = now

    def compare(self, datagram: Datagram, now: float) -> None:
        """Compare the table digests; if they differ, send the chunk digests to the other member.

        It answers with the chunks that differ. Done about once per anti-entropy interval.
        """
        state = self._state
        if datagram.digest == state.table.digest:
            return
        state.view.mark_unsettled(now)
        # While updates are still spreading by gossip, a difference needs no repair.
        if (
            self._next_at <= now
            and not state.gossip_queue.has_unsent()
            and datagram.kind in (MessageKind.PING, MessageKind.ACK)
        ):
            self._next_at = now + state.timing.anti_entropy_interval_s * (0.5 + state.draw())
            self._send_digests(datagram.number, now)

    def _send_digests(self, target: int, now: float) -> None:
        """Send the digests of the chunks; of a large table, a random section of them."""
        digests = self._state.table.chunk_digests()
        parts = len(digests) // MAX_DIGESTS + 1
        first = int(self._state.draw() * parts) * MAX_DIGESTS
        payload = Payload(
            MessageKind.DIGESTS, about=first, digests=tuple(digests[first : first + MAX_DIGESTS])
        )
        self._sender.send(target, payload, now, fraction=DEFERRABLE_FRACTION, updates=())

    def send_differing(self, datagram: Datagram, now: float) -> None:
        """Answer DIGESTS with the chunks of the table whose digests differ."""
        next_unsent = 0
        for members in self._state.table.differing_chunks(datagram.digests, datagram.about):
            if members.start < next_unsent:
                continue
            stop = self._tables.send(datagram.number, members.start, now)
            if stop is None:
                return
            next_unsent = stop

    def read_table(self, datagram: Datagram, now: float) -> None:
        """Merge the statuses of a TABLE, and reply with those that are newer or worse here.

        The status with the higher incarnation, then the worse state, takes precedence.
        """
        state = self._state
        try:
            statuses = unpack(datagram.statuses())
        except ValueError:
            state.dropped[DropReason.MALFORMED] += 1
            return
        superseding: list[int] = []
        for number, status in enumerate(statuses, datagram.about):
            if number >= len(state.roster):
                if status.state is not MemberState.UNKNOWN:
                    state.dropped[DropReason.UNKNOWN_MEMBER] += 1
                break
            self._merge(number, status, datagram.number, now)
            if state.table[number][:2] > status[:2]:
                superseding.append(number)
        self._send_back(datagram.number, superseding, now)

    def _merge(self, number: int, status: MemberStatus, reporter: int, now: float) -> None:
        if number == self._state.number or status.state is not MemberState.UNKNOWN:
            self._updates.apply_report(number, status, reporter, now)

    def _send_back(self, target: int, superseding: list[int], now: float) -> None:
        if len(superseding) > BULK_UPDATES:
            self._tables.send(target, superseding[0], now)
        elif superseding:
            self._sender.send(target, GOSSIP, now, fraction=DEFERRABLE_FRACTION, first=superseding)
