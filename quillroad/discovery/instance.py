"""Data that sources report: instances of the service and the source's own state. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from quillroad.config import Address


class InstanceStatus(Enum):
    """Status of an instance as reported by its source."""

    UP = "up"
    DRAINING = "draining"  # finishes its requests, accepts no new ones: a drain, or maintenance
    UNHEALTHY = "out"  # registered but not usable: its health check fails


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance of the service.

    `id` is the same at every gateway and after a restart of the process. `started_us` is the
    time of the process's last start (Unix time, microseconds), 0 if that is long ago or unknown.
    """

    id: str
    address: Address
    status: InstanceStatus = InstanceStatus.UP
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    weight: float = 1.0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The full list of instances.

    `reports_start_times` is true if the source knows when processes start, so that no restart has
    to be inferred from an instance that leaves and returns.
    """

    instances: tuple[Instance, ...]
    version: int = 0
    reports_start_times: bool = False


class SourceHealth(Enum):
    """Whether the list of a source is up to date."""

    STARTING = "starting"  # no list received yet
    FRESH = "fresh"
    STALE = "stale"  # the last list stays in use; later changes are unknown


@dataclass(frozen=True, slots=True)
class SourceState:
    """Health of a source, since when (monotonic clock, seconds), and the reason in one line."""

    health: SourceHealth = SourceHealth.STARTING
    since: float = 0.0
    why: str = ""


@dataclass(slots=True)
class SourceListener:
    """Callbacks for each new list and for changes of the source's state."""

    on_snapshot: Callable[[Snapshot], None]
    on_state: Callable[[SourceState], None] = field(default=lambda _: None)
