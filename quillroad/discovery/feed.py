"""Connects a source to the engine: each list is reduced and applied at once."""

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
SHOWN_IGNORED = 5  # per list: ignored entries that are logged

# Called with an endpoint update, the endpoints' names and their addresses, by endpoint id.
Update = Callable[[EndpointUpdate, dict[int, str], dict[int, Address]], None]


def unix_time_us() -> int:
    """Return the time of the wall clock in microseconds."""
    return time.time_ns() // 1000


class Feed:
    """Applies the lists of one source to the engine; `state` is the last state of the source.

    `now_us` returns the time of the engine's clock, in microseconds: the age of a host is counted
    by it, and the wall clock may have been stepped since the engine read it.
    """

    def __init__(
        self,
        zones: Sequence[str],
        machine_types: Sequence[str],
        update: Update,
        now_us: Callable[[], int] = unix_time_us,
    ) -> None:
        self._now_us = now_us
        self._reducer = Reducer(zones, machine_types)
        self._update = update
        self.state = SourceState()
        self._last_snapshot: Snapshot | None = None

    def listener(self) -> SourceListener:
        """Return the callbacks for the source."""
        return SourceListener(self._apply_snapshot, self._record_state)

    def start_times(self) -> dict[str, tuple[int, bool]]:
        """See `Reducer.start_times`."""
        return self._reducer.start_times()

    def restore_start_times(self, starts: Mapping[str, tuple[int, bool]]) -> None:
        """See `Reducer.restore_start_times`; applies the last list again with them."""
        self._reducer.restore_start_times(starts)
        if self._last_snapshot is not None:
            self._apply_snapshot(self._last_snapshot)

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self._last_snapshot = snapshot
        reduced = self._reducer.reduce(snapshot, self._now_us())
        for entry in reduced.ignored[:SHOWN_IGNORED]:
            log.warning("list %d: ignored entry: %s", snapshot.version, entry)
        shown = ", ".join(
            f"{reduced.names[endpoint.id]} {endpoint.status.name.lower()}"
            for endpoint in reduced.update.endpoints
        )
        log.info("list %d: %s", snapshot.version, shown[:SHOWN_CHARACTERS] or "no hosts")
        self._update(reduced.update, reduced.names, reduced.addresses)

    def _record_state(self, state: SourceState) -> None:
        if state == self.state:
            return
        previous, self.state = self.state, state
        if state.health is SourceHealth.STALE:
            log.warning("the host list is stale: %s; the last list stays in use", state.why)
        elif previous.health is SourceHealth.STALE:
            log.info("the host list is up to date again after %.1f s", state.since - previous.since)
