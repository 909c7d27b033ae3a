"""Random choice without replacement, from a passed-in source of random numbers."""

from __future__ import annotations

from collections.abc import Callable, Iterable


def sample(draw: Callable[[], float], most: int, members: Iterable[int]) -> list[int]:
    """Return `most` of these at most, each equally likely, in random order; one draw for each."""
    remaining = list(members)
    count = min(most, len(remaining))
    for i in range(count):
        j = i + int(draw() * (len(remaining) - i))
        remaining[i], remaining[j] = remaining[j], remaining[i]
    return remaining[:count]
