"""Merge of the instance lists of several agents into one. No I/O.

Two agents are queried at the same time, because a blocking query to a dead agent is as silent as
one to an agent without changes; this way a change is noticed as soon as either agent reports it.
Where the lists differ, the more severe status counts: an instance is in service only if every
responding agent reports it in service. The agents agree again within one round of Raft, so an
instance returns to service slightly later and leaves it without delay. The list of a failed agent
is ignored while another agent responds; if none responds, the last list stays in use.
"""

from __future__ import annotations

from collections.abc import Hashable

from quillroad.discovery.instance import Instance, InstanceStatus, SourceHealth, SourceState

# Of two statuses the one with the higher value counts.
STATUS_SEVERITY = {InstanceStatus.UP: 0, InstanceStatus.DRAINING: 1, InstanceStatus.UNHEALTHY: 2}

Instances = tuple[Instance, ...]


class MergedViews:
    """The last list of each watch. `state` is the state of the source as a whole."""

    def __init__(self) -> None:
        self._views: dict[Hashable, dict[str, Instance]] = {}
        self._merged: Instances | None = None
        self.state = SourceState()

    def update(self, watch: Hashable, now: float, instances: Instances) -> Instances | None:
        """Store the full list of one watch; returns the merged list if it changed."""
        self._views[watch] = {instance.id: instance for instance in instances}
        if self.state.health is not SourceHealth.FRESH:
            self.state = SourceState(SourceHealth.FRESH, now)
        return self._merge()

    def failed(self, watch: Hashable, now: float, why: str) -> Instances | None:
        """Discard the list of a failed watch; returns the merged list if it changed."""
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
            reported = [instance, *(view[name] for view in others if name in view)]
            if len(reported) == len(self._views):
                merged.append(max(reported, key=lambda entry: STATUS_SEVERITY[entry.status]))
        merged_by_id = tuple(sorted(merged, key=lambda entry: entry.id))
        if merged_by_id == self._merged:
            return None
        self._merged = merged_by_id
        return merged_by_id
