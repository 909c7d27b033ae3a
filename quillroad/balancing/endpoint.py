"""One entry of the endpoint list, as discovery tells it."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class EndpointStatus(Enum):
    """What discovery says of a server."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Endpoint(NamedTuple):
    """One line of a server list. `started_us` None or 0: long ago."""

    id: int
    status: EndpointStatus = EndpointStatus.READY
    zone: int = 0
    cell: int = 0
    machine_type: int = 0
    weight: float = 1.0
    started_us: int | None = None
