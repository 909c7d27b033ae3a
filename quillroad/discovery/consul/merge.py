"""One list out of what several agents say at the same time. No I/O.

Two agents are watched at once, since a blocking query to an agent that died is as silent as one to
an agent that has nothing to say: a change that reaches either is heard at once. Where they differ
the more careful word counts: an instance is in service only where every agent that is heard says
so. They agree again within one round of Raft, so that costs a moment of service on the way back and
nothing on the way out. An agent that is not heard has no word, as long as another has one; where
none is heard, the last list stays in use.
"""

from __future__ import annotations

from collections.abc import Hashable

from quillroad.discovery.instance import Instance, InstanceStatus, SourceHealth, SourceState

# The higher, the more careful.
CAUTION = {InstanceStatus.UP: 0, InstanceStatus.DRAINING: 1, InstanceStatus.UNHEALTHY: 2}

Instances = tuple[Instance, ...]


class MergedViews:
    """What each watch was told last. `state` is that of the source as a whole."""

    def __init__(self) -> None:
        self._views: dict[Hashable, dict[str, Instance]] = {}
        self._merged: Instances | None = None
        self.state = SourceState()

    def update(self, watch: Hashable, now: float, instances: Instances) -> Instances | None:
        """Take over a whole list from one watch; returns the merged list if it changed."""
        self._views[watch] = {instance.id: instance for instance in instances}
        if self.state.health is not SourceHealth.FRESH:
            self.state = SourceState(SourceHealth.FRESH, now)
        return self._merge()

    def failed(self, watch: Hashable, now: float, why: str) -> Instances | None:
        """Forget a watch that is not heard any more; returns the merged list if it changed."""
        view = self._views.pop(watch, None)
        if self._views:
            return self._merge() if view is not None else None
        if self.state.health is SourceHealth.FRESH:
            self.state = SourceState(SourceHealth.STALE, now, why)
        elif self.state.health is SourceHealth.STARTING:
            self.state = SourceState(SourceHealth.STARTING, self.state.since, why)
        return None

    def _merge(self) -> Instances | None:
        first, *others = self._views.values()
        merged = []
        for name, instance in first.items():
            said = [instance, *(view[name] for view in others if name in view)]
            if len(said) == len(self._views):
                merged.append(max(said, key=lambda one: CAUTION[one.status]))
        in_order = tuple(sorted(merged, key=lambda one: one.id))
        if in_order == self._merged:
            return None
        self._merged = in_order
        return in_order
