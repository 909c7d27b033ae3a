"""Which updates travel next: those sent least often first, each a bounded number of times. Pure.

An update that is sent a few times the logarithm of the cluster's size reaches all members but
surely (Demers 1987, Das 2002), so what one member sends for it stays bounded however large the
cluster is.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from math import ceil, log10

RETRANSMIT_FACTOR = 3  # sends of an update, in logarithms to the base ten of the cluster's size


class GossipQueue:
    """The members whose status is to be passed on, each once, with how often it was."""

    def __init__(self) -> None:
        self._transmits: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._transmits)

    def put(self, number: int) -> None:
        """This member's status has changed: begin anew with passing it on."""
        self._transmits[number] = 0

    def all(self) -> list[int]:
        """Return every queued member, in the order of first queueing."""
        return list(self._transmits)

    def drop(self, number: int) -> None:
        """Stop passing on this member's status."""
        self._transmits.pop(number, None)

    def clear(self) -> None:
        """Stop passing on anything."""
        self._transmits.clear()

    def has_unsent(self) -> bool:
        """Whether an update has not been sent at all yet."""
        return any(transmits == 0 for transmits in self._transmits.values())

    def pick(self, most: int) -> list[int]:
        """Return `most` members at most, least often sent first."""
        return heapq.nsmallest(most, self._transmits, key=self._transmits.__getitem__)

    def mark_sent(self, numbers: Iterable[int], cluster_size: int) -> None:
        """Count one more send of each of these; those sent often enough leave the queue."""
        limit = RETRANSMIT_FACTOR * ceil(log10(cluster_size + 1))
        for number in numbers:
            if number in self._transmits:
                self._transmits[number] += 1
                if self._transmits[number] >= limit:
                    del self._transmits[number]
