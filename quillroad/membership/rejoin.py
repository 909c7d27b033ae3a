"""Probes faulty members and those that left, so that a cluster joins up again after a partition.

The failure detector no longer probes these members. Does no I/O.
"""

from __future__ import annotations

from quillroad.membership.sender import BROADCAST_TARGET, DatagramSender
from quillroad.membership.state import LocalState
from quillroad.membership.table_transfer import TableTransfer

BROADCAST_INTERVAL_S = 1.0  # between broadcasts of table parts with absent members, cluster-wide


class RejoinProbes:
    """Occasionally probes an absent member or broadcasts the part of the table that holds one."""

    def __init__(
        self, state: LocalState, sender: DatagramSender, tables: TableTransfer, now: float
    ) -> None:
        self._state = state
        self._sender = sender
        self._tables = tables
        self.next_at = now

    def step(self, now: float) -> None:
        """Probe an absent member if the interval has passed."""
        if self.next_at > now:
            return
        state = self._state
        timing = state.timing
        cluster_size = state.cluster_size
        interval_s = min(
            timing.rejoin_max_interval_s,
            max(timing.period_s, cluster_size * timing.rejoin_fleet_interval_s),
        )
        self.next_at = now + interval_s * (0.5 + state.draw())
        broadcasts = (
            state.roster.everyone is not None
            and state.draw() * cluster_size * BROADCAST_INTERVAL_S < interval_s
        )
        for number in state.sample(1, state.view.absent()):
            if broadcasts:
                # Each absent member that receives the table part refutes its own entry.
                self._tables.send(BROADCAST_TARGET, number, now)
            else:
                self._sender.ping(number, now)
