"""Joins a source to the engine: each list goes through the reducer and takes effect at once."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping, Sequence

from quillroad.balancing.events import EndpointUpdate
from quillroad.config import Address
from quillroad.discovery.instance import Health, Listener, Snapshot, SourceState
from quillroad.discovery.reducer import Reducer

log = logging.getLogger("quillroad.discovery")

Update = Callable[[EndpointUpdate, dict[int, str], dict[int, Address]], None]


class Feed:
    """One source's way to the engine. `state` is the source's own, for whoever shows it."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str], update: Update) -> None:
        self._reducer, self._update = Reducer(zones, kinds), update
        self.state = SourceState()
        self._last: Snapshot | None = None

    def listener(self) -> Listener:
        return Listener(self._take, self._note)

    def starts(self) -> dict[str, tuple[int, bool]]:
        """See `Reducer.starts`."""
        return self._reducer.starts()

    def learn(self, starts: Mapping[str, tuple[int, bool]]) -> None:
        """See `Reducer.learn`; a list that was told already is told again by it."""
        self._reducer.learn(starts)
        if self._last is not None:
            self._take(self._last)

    def _take(self, snapshot: Snapshot) -> None:
        self._last = snapshot
        reduced = self._reducer.reduce(snapshot, time.time_ns() // 1000)
        for line in reduced.refused[:5]:
            log.warning("list %d: %s", snapshot.version, line)
        shown = ", ".join(
            f"{reduced.names[s.id]} {s.status.name.lower()}" for s in reduced.servers.endpoints
        )
        log.info("list %d: %s", snapshot.version, shown[:2000] or "nothing")
        self._update(*reduced[:3])

    def _note(self, state: SourceState) -> None:
        if state == self.state:
            return
        before, self.state = self.state, state
        if state.health is Health.STALE:
            log.warning("the list is stale: %s; it stands as it was told last", state.why)
        elif before.health is Health.STALE:
            log.info("the list is fresh again, after %.1f s", state.since - before.since)
