"""What sources tell: instances of the service, and how the source itself fares. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from quillroad.config import Address


class InstanceStatus(Enum):
    """What a source says of an instance."""

    UP = "up"
    DRAINING = "draining"  # finishes what it has, wants nothing new: a drain, or maintenance
    UNHEALTHY = "out"  # is there and may not be used: its check fails


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance of the service.

    `id` is the same at every gateway and after a restart of the process. `started_us` is when the
    process last started (Unix time, microseconds), 0 where that is long ago or unknown.
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
    """The whole list.

    `tells_starts`: the source knows when processes start, so that nothing has to be guessed from
    their coming and going.
    """

    instances: tuple[Instance, ...]
    version: int = 0
    tells_starts: bool = False


class SourceHealth(Enum):
    """How a source fares."""

    STARTING = "starting"  # has told nothing yet
    FRESH = "fresh"
    STALE = "stale"  # what it told stays in use, and nobody knows of later changes


@dataclass(frozen=True, slots=True)
class SourceState:
    """A source's health, since when (monotonic seconds), and why, as one plain line."""

    health: SourceHealth = SourceHealth.STARTING
    since: float = 0.0
    why: str = ""


@dataclass(slots=True)
class SourceListener:
    """Who is told of each list, and of the source's own state."""

    on_snapshot: Callable[[Snapshot], None]
    on_state: Callable[[SourceState], None] = field(default=lambda _: None)
