"""What operators' calls need of a gateway: the side of `gateway.py` that `admin/` knows."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from quillroad.balancing.events import EndpointUpdate
from quillroad.config import Address


class GatewayFigures(NamedTuple):
    """A gateway's figures at one moment.

    `attempts_sent` counts attempts written whole to hosts since the start of the process,
    `requests_open` requests taken and not ended, `hosts_known` hosts in the list, `hosts_ejected`
    those of them that outlier detection has taken out of rotation.
    """

    attempts_sent: int
    requests_open: int
    hosts_known: int
    hosts_ejected: float


class ManagedGateway(Protocol):
    """A gateway as operators see it."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that the gateway runs on."""

    @property
    def route_names(self) -> Sequence[str]:
        """The names of the routes, by their number."""

    @property
    def ready(self) -> bool:
        """Whether the gateway can serve, and is to."""

    def set_drained(self, on: bool) -> None:
        """Drain the gateway, or put it back into service."""

    def apply_endpoints(
        self, update: EndpointUpdate, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """Go by these endpoints from now on; names and addresses are by endpoint number."""

    def figures(self) -> GatewayFigures:
        """The present figures."""
