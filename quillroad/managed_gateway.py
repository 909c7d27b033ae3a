"""The interface of `gateway.py` that `admin/` uses to carry out operators' calls."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from quillroad.balancing.events import EndpointUpdate
from quillroad.config import Address


class GatewayFigures(NamedTuple):
    """Counters and gauges of a gateway at one moment.

    `attempts_sent` is the number of attempts written in full to hosts since the process started,
    `requests_open` the number of requests in flight, `hosts_known` the number of listed hosts, and
    `hosts_ejected` the number of those that outlier detection has ejected.
    """

    attempts_sent: int
    requests_open: int
    hosts_known: int
    hosts_ejected: float


class ManagedGateway(Protocol):
    """A gateway that operators can observe, drain and take hosts out of."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that the gateway runs on."""

    @property
    def route_names(self) -> Sequence[str]:
        """The route names, indexed by route number."""

    @property
    def ready(self) -> bool:
        """Whether the gateway can serve requests and is not draining."""

    def set_drained(self, on: bool) -> None:
        """Drain the gateway, or put it back into service."""

    def apply_endpoints(
        self, update: EndpointUpdate, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """Apply an endpoint update; names and addresses are keyed by endpoint number."""

    def figures(self) -> GatewayFigures:
        """Return the current counters and gauges."""
