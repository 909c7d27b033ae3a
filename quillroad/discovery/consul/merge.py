"""One list out of what several agents say at the same time. No I/O.

Two agents are watched at once, since a blocking query to an agent that died is as silent as one to an agent
that has nothing to say: a change that reaches either is heard at once. Where they differ the more careful
word counts: an instance is in service only where every agent that is heard says so. They agree again within
one round of raft, so that costs a moment of service on the way back and nothing on the way out. An agent that
is not heard has no word, as long as another has one; where none is heard, the last list stands.
"""

from __future__ import annotations

from collections.abc import Hashable

from quillroad.discovery.instance import Health, Instance, SourceState, Standing

ORDER = {Standing.UP: 0, Standing.DRAINING: 1, Standing.OUT: 2}


Instances = tuple[Instance, ...]


class Views:
    """What each watch was told last."""

    def __init__(self) -> None:
        self._heard: dict[Hashable, dict[str, Instance]] = {}
        self._merged: Instances | None = None
        self.state = SourceState()

    def told(self, watch: Hashable, now: float, instances: Instances) -> Instances | None:
        """A whole list from one watch; returns the merged list where that is another now."""
        self._heard[watch] = {instance.id: instance for instance in instances}
        if self.state.health is not Health.FRESH:
            self.state = SourceState(Health.FRESH, now)
        return self._merge()

    def failed(self, watch: Hashable, now: float, why: str) -> Instances | None:
        """A watch is not heard any more; returns the merged list where that is another without its word."""
        heard = self._heard.pop(watch, None)
        if self._heard:
            return self._merge() if heard is not None else None
        if self.state.health is Health.FRESH:
            self.state = SourceState(Health.STALE, now, why)
        elif self.state.health is Health.STARTING:
            self.state = SourceState(Health.STARTING, self.state.since, why)
        return None

    def _merge(self) -> Instances | None:
        first, *others = self._heard.values()
        merged = []
        for name, instance in first.items():
            said = [instance, *(view[name] for view in others if name in view)]
            if len(said) == len(self._heard):
                merged.append(max(said, key=lambda one: ORDER[one.standing]))
        now = tuple(sorted(merged, key=lambda one: one.id))
        if now == self._merged:
            return None
        self._merged = now
        return now
