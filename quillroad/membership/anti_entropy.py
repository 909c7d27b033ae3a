"""Anti-entropy: tables are compared by digests, and what differs is exchanged. Pure.

It finds what gossip missed, and tells a member that has just started everything.
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

MAX_DIGESTS = 40  # of chunks in one datagram: 5 bytes each, and a header


class AntiEntropy:
    """Compares the table with that of each member heard."""

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
        """Compare the tables' digests; if they differ, ask for the chunks that do, now and then."""
        state = self._state
        if datagram.digest == state.table.digest:
            return
        state.view.mark_unsettled(now)
        # While updates travel, tables differ without a fault.
        if (
            self._next_at <= now
            and not state.gossip_queue.has_unsent()
            and datagram.kind in (MessageKind.PING, MessageKind.ACK)
        ):
            self._next_at = now + state.timing.anti_entropy_interval_s * (0.5 + state.draw())
            self._send_digests(datagram.number, now)

    def _send_digests(self, target: int, now: float) -> None:
        """Send the chunks' digests, of a large table a random part of them."""
        digests = self._state.table.chunk_digests()
        parts = len(digests) // MAX_DIGESTS + 1
        first = int(self._state.draw() * parts) * MAX_DIGESTS
        payload = Payload(
            MessageKind.DIGESTS, about=first, digests=tuple(digests[first : first + MAX_DIGESTS])
        )
        self._sender.send(target, payload, now, fraction=DEFERRABLE_FRACTION, updates=())

    def send_differing(self, datagram: Datagram, now: float) -> None:
        """Take DIGESTS: send the chunks of the table that differ from them."""
        next_unsent = 0
        for members in self._state.table.differing_chunks(datagram.digests, datagram.about):
            if members.start < next_unsent:
                continue
            stop = self._tables.send(datagram.number, members.start, now)
            if stop is None:
                return
            next_unsent = stop

    def read_table(self, datagram: Datagram, now: float) -> None:
        """Take a TABLE: merge it, and send back what is known better here."""
        state = self._state
        try:
            statuses = unpack(datagram.statuses())
        except ValueError:
            state.dropped[DropReason.MALFORMED] += 1
            return
        better: list[int] = []
        for number, status in enumerate(statuses, datagram.about):
            if number >= len(state.roster):
                if status.state is not MemberState.UNKNOWN:
                    state.dropped[DropReason.UNKNOWN_MEMBER] += 1
                break
            self._merge(number, status, datagram.number, now)
            if state.table[number][:2] > status[:2]:
                better.append(number)
        self._send_back(datagram.number, better, now)

    def _merge(self, number: int, status: MemberStatus, reporter: int, now: float) -> None:
        if number == self._state.number or status.state is not MemberState.UNKNOWN:
            self._updates.apply_report(number, status, reporter, now)

    def _send_back(self, target: int, better: list[int], now: float) -> None:
        if len(better) > BULK_UPDATES:
            self._tables.send(target, better[0], now)
        elif better:
            self._sender.send(target, GOSSIP, now, fraction=DEFERRABLE_FRACTION, first=better)
