"""Which news to pass on next: what has been told least first, each so many times. No I/O.

Told a few times the logarithm of the fleet's size, a rumour reaches all but surely (Demers 1987, Das 2002),
and what one member says of it stays bounded however large the fleet is.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from math import ceil, log10

TIMES = 3  # times the logarithm


class Queue:
    """The members whose claim is news, each once."""

    def __init__(self) -> None:
        self._told: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._told)

    def put(self, number: int) -> None:
        """This member's claim has changed: begin again with telling it."""
        self._told[number] = 0

    def all(self) -> list[int]:
        return list(self._told)

    def drop(self, number: int) -> None:
        self._told.pop(number, None)

    def clear(self) -> None:
        self._told.clear()

    def fresh(self) -> bool:
        """Whether something has not been told at all yet."""
        return any(told == 0 for told in self._told.values())

    def pick(self, most: int) -> list[int]:
        """The members to tell of next, what was told least first."""
        return heapq.nsmallest(most, self._told, key=self._told.__getitem__)

    def told(self, numbers: Iterator[int] | list[int], members: int) -> None:
        """These went out once more, in a fleet of so many."""
        limit = TIMES * ceil(log10(members + 1))
        for number in numbers:
            if number in self._told:
                self._told[number] += 1
                if self._told[number] >= limit:
                    del self._told[number]
