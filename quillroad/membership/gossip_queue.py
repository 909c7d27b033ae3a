"""Queue of updates to gossip: those sent least often first, each a bounded number of times.

An update that each member sends a few times the logarithm of the cluster size reaches all members
with high probability (Demers 1987, Das 2002), so a member sends few copies of an update even in a
large cluster. Does no I/O.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from math import ceil, log10

RETRANSMIT_FACTOR = 3  # sends of one update, times log10 of the cluster size


class GossipQueue:
    """Members whose status is to be gossiped, each with the number of times it was sent."""

    def __init__(self) -> None:
        self._transmits: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._transmits)

    def put(self, number: int) -> None:
        """Queue a member's changed status, with its send count reset to zero."""
        self._transmits[number] = 0

    def all(self) -> list[int]:
        """Return every queued member, in the order of first queueing."""
        return list(self._transmits)

    def drop(self, number: int) -> None:
        """Remove a member from the queue, if it is queued."""
        self._transmits.pop(number, None)

    def clear(self) -> None:
        """Empty the queue."""
        self._transmits.clear()

    def has_unsent(self) -> bool:
        """Whether a queued update has never been sent."""
        return any(transmits == 0 for transmits in self._transmits.values())

    def pick(self, max_count: int) -> list[int]:
        """Return up to `max_count` members, least often sent first."""
        return heapq.nsmallest(max_count, self._transmits, key=self._transmits.__getitem__)

    def mark_sent(self, numbers: Iterable[int], cluster_size: int) -> None:
        """Count one send of each member's status; remove those that reached the send limit."""
        limit = RETRANSMIT_FACTOR * ceil(log10(cluster_size + 1))
        for number in numbers:
            if number in self._transmits:
                self._transmits[number] += 1
                if self._transmits[number] >= limit:
                    del self._transmits[number]
