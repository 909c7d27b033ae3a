"""Announcing what only this member knows, by gossip and, where there is one, broadcast. Pure."""

from __future__ import annotations

from quillroad.membership.sender import (
    BULK_UPDATES,
    DEFERRABLE_FRACTION,
    EVERYONE,
    GOSSIP,
    DatagramSender,
)
from quillroad.membership.state import LocalState
from quillroad.membership.table_transfer import TableTransfer

MIN_INTERVAL_S = 0.1  # between two broadcasts of one member
CLUSTER_INTERVAL_S = 0.002  # between two broadcasts of the whole cluster: 500 a second


class Broadcaster:
    """Members of whom this one has something new to say, until it was broadcast.

    Gossip goes on beside it, for members that a broadcast does not reach.
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
        """Pass on this member's status, which others cannot have from elsewhere."""
        self._state.gossip_queue.put(number)
        if self._state.roster.everyone is not None:
            self.pending.add(number)

    def next_due(self) -> float | None:
        """Return when the next broadcast is due; None: there is nothing to say."""
        return self._next_at if self.pending else None

    def step(self, now: float) -> None:
        """Broadcast what is pending, if it is time."""
        if self.pending and self._next_at <= now:
            self.flush(now)

    def flush(self, now: float) -> None:
        """Broadcast what is pending: as updates, or as a part of the table."""
        state = self._state
        interval_s = max(MIN_INTERVAL_S, state.cluster_size * CLUSTER_INTERVAL_S)
        self._next_at = now + interval_s * (0.5 + state.draw())
        if len(self.pending) <= BULK_UPDATES:
            updates = tuple(state.update_of(n) for n in self.pending)
            if self._sender.send(
                EVERYONE, GOSSIP, now, fraction=DEFERRABLE_FRACTION, updates=updates
            ):
                self.pending.clear()
            return
        first = min(self.pending)
        stop = self._tables.send(EVERYONE, first, now)
        if stop is not None:
            self.pending -= set(range(first, stop))
