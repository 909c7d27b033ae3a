"""Random sampling without replacement, with the random source passed in."""

from __future__ import annotations

from collections.abc import Callable, Iterable


def sample(draw: Callable[[], float], max_count: int, members: Iterable[int]) -> list[int]:
    """Return up to `max_count` members, equally likely, in random order, with one draw each."""
    remaining = list(members)
    count = min(max_count, len(remaining))
    for i in range(count):
        j = i + int(draw() * (len(remaining) - i))
        remaining[i], remaining[j] = remaining[j], remaining[i]
    return remaining[:count]
