"""An entry of the endpoint list that discovery reports."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class EndpointStatus(Enum):
    """Status of an endpoint as reported by discovery. The values are the platform's codes."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Endpoint(NamedTuple):
    """One entry of the endpoint list, identified by its number and never by its address.

    `weight` is the endpoint's size as the platform reports it. `started_us` is when the endpoint
    started, on the balancer's clock; None or 0 means that it started long ago.
    """

    id: int
    status: EndpointStatus = EndpointStatus.READY
    zone: int = 0
    cell: int = 0
    machine_type: int = 0
    weight: float = 1.0
    started_us: int | None = None
