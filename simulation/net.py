"""A virtual network with one clock: datagrams get lost, late, doubled, reordered and cut.

Times are simulated seconds. Whatever runs here is given the time and draws from the world's own
generator, so that the same seed gives the same trace, whose hash `World.trace` keeps.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

MOST_AT_ONCE = 100_000  # events at one instant, before the clock counts as standing still


@dataclass(slots=True)
class Link:
    """How the network treats datagrams on one way: parts from 0 to 1, delays in seconds."""

    loss: float = 0.0
    doubled: float = 0.0
    delay_s: float = 0.001
    jitter_s: float = 0.004  # drawn anew for each, so that what overtakes is reordered
    cut: bool = False


class World:
    """Clock, events in order, and links between numbered places."""

    def __init__(self, seed: int, link: Link | None = None) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.every = link or Link()
        self._links: dict[tuple[int, int], Link] = {}
        self._cut: set[tuple[int, int]] = set()
        self._events: list[tuple[float, int, Callable[[], Any]]] = []
        self._order = itertools.count()
        self._hash = hashlib.sha256()
        self.sent = 0
        self.delivered = 0
        self.lost = 0

    @property
    def trace(self) -> str:
        """The hash of all that has been sent and delivered so far, with its times."""
        return self._hash.hexdigest()[:16]

    def at(self, time: float, act: Callable[[], Any]) -> None:
        """Do something at a time, not before now."""
        heapq.heappush(self._events, (max(time, self.now), next(self._order), act))

    def link(self, source: int, target: int) -> Link:
        """The settings of this link alone, copied from those of all links at first."""
        key = (source, target)
        if key not in self._links:
            every = self.every
            self._links[key] = Link(
                every.loss, every.doubled, every.delay_s, every.jitter_s, every.cut
            )
        return self._links[key]

    def cut(self, sources: set[int], targets: set[int], on: bool = True) -> None:
        """Let nothing through from `sources` to `targets`, or (`on` false) let it through again."""
        pairs = {(a, b) for a in sources for b in targets if a != b}
        self._cut = self._cut | pairs if on else self._cut - pairs

    def send(self, source: int, target: int, data: bytes, deliver: Callable[[], Any]) -> None:
        """Carry a datagram as the link has it; `deliver` is called each time that it arrives."""
        self.sent += 1
        self._note(b"s", source, target, data)
        link = self._links.get((source, target), self.every)
        deliveries = 1 + (self.random.random() < link.doubled if link.doubled else 0)
        for _ in range(deliveries):
            late = link.delay_s + link.jitter_s * self.random.random()
            if (
                link.cut
                or (link.loss and self.random.random() < link.loss)
                or (source, target) in self._cut
            ):
                self.lost += 1
                continue
            self.at(self.now + late, lambda: self._deliver(source, target, data, deliver))

    def _deliver(self, source: int, target: int, data: bytes, deliver: Callable[[], Any]) -> None:
        if (source, target) in self._cut:  # cut while it was on its way
            self.lost += 1
            return
        self.delivered += 1
        self._note(b"d", source, target, data)
        deliver()

    def _note(self, what: bytes, source: int, target: int, data: bytes) -> None:
        self._hash.update(b"%b %d %d %.6f " % (what, source, target, self.now) + data)

    def step(self) -> bool:
        """Run the next event; returns False where there is none."""
        if not self._events:
            return False
        time, _, act = heapq.heappop(self._events)
        self.now = max(self.now, time)
        act()
        return True

    def run(self, until: float) -> None:
        """Run all events up to a time; raises RuntimeError where the clock stands still."""
        at = self.now
        events = 0  # at that instant
        while self._events and self._events[0][0] <= until:
            self.step()
            if self.now == at:
                events += 1
            else:
                at = self.now
                events = 0
            if events > MOST_AT_ONCE:
                raise RuntimeError(
                    f"{at:.3f}: time stands still: something is due again at once, for ever"
                )
        self.now = max(self.now, until)
