"""Which gateways of a fleet a fault hits: sets of gateway numbers, from 0."""

from __future__ import annotations


def partition_sides(count: int) -> tuple[set[int], set[int]]:
    """The sides of a partition two to three, of `count` gateways."""
    middle = 2 * count // 5
    return set(range(middle)), set(range(middle, count))


def killed_and_left(count: int) -> tuple[set[int], set[int]]:
    """The seven in ten of `count` gateways that a test kills, and those that are left."""
    middle = 7 * count // 10
    return set(range(middle)), set(range(middle, count))
