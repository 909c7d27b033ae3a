"""Gossip rounds: in each, queued updates are sent to a few random members. Does no I/O."""

from __future__ import annotations

from quillroad.membership.probe_burst import ProbeBurst
from quillroad.membership.sender import (
    BULK_UPDATES,
    DEFERRABLE_FRACTION,
    GOSSIP,
    DatagramSender,
)
from quillroad.membership.state import MASS_FAILURE_SUSPECTS, LocalState
from quillroad.membership.table_transfer import TableTransfer


class Gossip:
    """Sends the datagrams of each round; other datagrams carry piggybacked updates as well."""

    def __init__(
        self, state: LocalState, sender: DatagramSender, tables: TableTransfer, burst: ProbeBurst
    ) -> None:
        self._state = state
        self._sender = sender
        self._tables = tables
        self._burst = burst

    def round(self, now: float) -> None:
        """Send queued updates to a few members; with many queued, a part of the table instead."""
        state = self._state
        queue = state.gossip_queue
        fraction = self._burst.gossip_fraction(now, DEFERRABLE_FRACTION)
        # A broadcast has already carried most of these updates, so one member a round is enough.
        broadcast_helps = len(queue) > BULK_UPDATES and state.roster.everyone is not None
        fanout = 1 if broadcast_helps else state.timing.gossip_fanout
        for number in state.sample(fanout, self._recipients(now)):
            if len(queue) > BULK_UPDATES:
                sent = self._tables.send(number, queue.pick(1)[0], now, fraction) is not None
            else:
                sent = self._sender.send(number, GOSSIP, now, fraction=fraction)
            if not sent:
                return

    def _recipients(self, now: float) -> list[int]:
        """Return the unsuspected members; in a mass failure, only those heard from recently.

        Otherwise most gossip in a mass failure would be sent to members that have failed but are
        not suspected yet.
        """
        recipients = self._state.unsuspected()
        if len(self._state.suspicions) < MASS_FAILURE_SUSPECTS:
            return recipients
        return self._state.recently_heard(recipients, now)
