"""Announcing status changes that this member is the first to know.

They are sent by gossip and, where the roster has a broadcast address, by broadcast. Does no I/O.
"""

from __future__ import annotations

from quillroad.membership.sender import (
    BROADCAST_TARGET,
    BULK_UPDATES,
    DEFERRABLE_FRACTION,
    GOSSIP,
    DatagramSender,
)
from quillroad.membership.state import LocalState
from quillroad.membership.table_transfer import TableTransfer

MIN_BROADCAST_INTERVAL_S = 0.1  # between two broadcasts of one member
CLUSTER_BROADCAST_INTERVAL_S = 0.002  # between two broadcasts of any members: 500 a second


class Broadcaster:
    """Collects the members whose new status is yet to be broadcast, and broadcasts them.

    The same statuses are also gossiped, for members that a broadcast does not reach.
    """

    def __init__(
        self, state: LocalState, sender: DatagramSender, tables: TableTransfer, now: float
    ) -> None:
        self._state = state
        self._sender = sender
        self._tables = tables
        self._next_at = now
        self.pending: set[int] = set()

    def announce(self, number: int) -> None:
        """Queue a status that the others can learn only from this gateway."""
        self._state.gossip_queue.put(number)
        if self._state.roster.everyone is not None:
            self.pending.add(number)

    def next_due(self) -> float | None:
        """Return when the next broadcast is due, or None if nothing is pending."""
        return self._next_at if self.pending else None

    def step(self, now: float) -> None:
        """Broadcast the pending statuses if a broadcast is due."""
        if self.pending and self._next_at <= now:
            self.flush(now)

    def flush(self, now: float) -> None:
        """Broadcast the pending statuses: as updates or, if many, as a part of the table."""
        state = self._state
        interval_s = max(
            MIN_BROADCAST_INTERVAL_S, state.cluster_size * CLUSTER_BROADCAST_INTERVAL_S
        )
        self._next_at = now + interval_s * (0.5 + state.draw())
        if len(self.pending) <= BULK_UPDATES:
            updates = tuple(state.update_of(n) for n in self.pending)
            if self._sender.send(
                BROADCAST_TARGET, GOSSIP, now, fraction=DEFERRABLE_FRACTION, updates=updates
            ):
                self.pending.clear()
            return
        first = min(self.pending)
        stop = self._tables.send(BROADCAST_TARGET, first, now)
        if stop is not None:
            self.pending -= set(range(first, stop))
