"""One entry of the endpoint list, as discovery tells it."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class EndpointStatus(Enum):
    """What discovery says of an endpoint. The values are the platform's numbers."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Endpoint(NamedTuple):
    """One entry of the endpoint list, told by its number and never by its address.

    `weight` is what the platform tells of its size. `started_us` on the balancer's clock; None or
    0: long ago.
    """

    id: int
    status: EndpointStatus = EndpointStatus.READY
    zone: int = 0
    cell: int = 0
    machine_type: int = 0
    weight: float = 1.0
    started_us: int | None = None
