"""Joins a source to the engine: each list goes through the reducer and takes effect at once."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping, Sequence

from quillroad.balancing.events import EndpointUpdate
from quillroad.config import Address
from quillroad.discovery.instance import Snapshot, SourceHealth, SourceListener, SourceState
from quillroad.discovery.reducer import Reducer

log = logging.getLogger("quillroad.discovery")

SHOWN_CHARACTERS = 2000  # of a list, in the log
SHOWN_REFUSALS = 5  # entries of one list that were not believed, in the log

# Called with an endpoint update, the endpoints' names and their addresses, by endpoint id.
Update = Callable[[EndpointUpdate, dict[int, str], dict[int, Address]], None]


class Feed:
    """One source's way to the engine. `state` is the source's own."""

    def __init__(self, zones: Sequence[str], machine_types: Sequence[str], update: Update) -> None:
        self._reducer = Reducer(zones, machine_types)
        self._update = update
        self.state = SourceState()
        self._last: Snapshot | None = None

    def listener(self) -> SourceListener:
        """What the source calls."""
        return SourceListener(self._take, self._note)

    def start_times(self) -> dict[str, tuple[int, bool]]:
        """See `Reducer.starts`."""
        return self._reducer.start_times()

    def restore_start_times(self, starts: Mapping[str, tuple[int, bool]]) -> None:
        """See `Reducer.learn`; a list that was told already takes effect again with it."""
        self._reducer.restore_start_times(starts)
        if self._last is not None:
            self._take(self._last)

    def _take(self, snapshot: Snapshot) -> None:
        self._last = snapshot
        reduced = self._reducer.reduce(snapshot, time.time_ns() // 1000)
        for line in reduced.refused[:SHOWN_REFUSALS]:
            log.warning("list %d: %s", snapshot.version, line)
        shown = ", ".join(
            f"{reduced.names[endpoint.id]} {endpoint.status.name.lower()}"
            for endpoint in reduced.update.endpoints
        )
        log.info("list %d: %s", snapshot.version, shown[:SHOWN_CHARACTERS] or "nothing")
        self._update(reduced.update, reduced.names, reduced.addresses)

    def _note(self, state: SourceState) -> None:
        if state == self.state:
            return
        before, self.state = self.state, state
        if state.health is SourceHealth.STALE:
            log.warning("the list is stale: %s; it stands as it was told last", state.why)
        elif before.health is SourceHealth.STALE:
            log.info("the list is fresh again, after %.1f s", state.since - before.since)
