"""Hosts that an operator has taken out of service, laid over whatever a source tells. Free of I/O.

For the balancer such a host is draining, so that the cut-off and all else that holds for a drain
holds here. What a source tells meanwhile changes nothing of that.

Operators restart hosts while they are out, so a host comes back as one that has just started: what
was learned of the process before is forgotten, and the new one gets a slow start. Where the source
tells of a start since the host went out, that is the one that counts, at all gateways alike; until
it does, the call that put it back counts as one.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from quillroad.admin.errors import NoSuchHostError, TooManyOverridesError
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.config import Address

# Hosts out of service at once, and returns remembered. A list of endpoints has fewer; both outlive
# the list, so that without a bound calls for ever new hosts would fill the memory.
MAX_OVERRIDES = 4096


class EngineUpdate(NamedTuple):
    """What the engine takes; names and addresses are by endpoint number."""

    update: EndpointUpdate
    names: dict[int, str]
    addresses: dict[int, Address]


class OutOfService(NamedTuple):
    """When a host went out and came back, in microseconds of Unix time."""

    went_us: int
    came_us: int


NEVER_OUT = OutOfService(0, 0)


class _ListedHost(NamedTuple):
    """A host as its source tells it."""

    endpoint: Endpoint
    name: str
    address: Address


class HostOverrides:
    """The hosts out of service, and the list of endpoints under them."""

    def __init__(self) -> None:
        self.out_since_us: dict[str, int] = {}  # by name: since when, in microseconds of Unix time
        self._back: dict[str, OutOfService] = {}  # of hosts that were put back, the oldest first
        self._listed: dict[int, _ListedHost] = {}
        self._numbers: dict[str, int] = {}  # of the listed hosts
        self._version = 0

    @property
    def returned(self) -> dict[str, OutOfService]:
        """Of each host that was put back, by name: when it went out and came back."""
        return dict(self._back)

    @property
    def listed(self) -> int:
        """How many of those out of service are in the list."""
        return sum(name in self._numbers for name in self.out_since_us)

    def listed_endpoint(self, number: int) -> Endpoint | None:
        """A host as its source tells it; None where it is not listed."""
        host = self._listed.get(number)
        return None if host is None else host.endpoint

    def apply(
        self, update: EndpointUpdate, names: Mapping[int, str], addresses: Mapping[int, Address]
    ) -> EngineUpdate:
        """What the engine is to take in place of what a source tells."""
        if update.kind is not UpdateKind.INCREMENTAL:
            self._listed = {}
            self._numbers = {}
        shown = []
        for endpoint in update.endpoints:
            name = names[endpoint.id]
            if endpoint.status is EndpointStatus.REMOVED:
                self._listed.pop(endpoint.id, None)
                self._numbers.pop(name, None)
                shown.append(endpoint)
                continue
            self._listed[endpoint.id] = _ListedHost(endpoint, name, addresses[endpoint.id])
            self._numbers[name] = endpoint.id
            shown.append(self._shown(endpoint, name))
        self._version = update.version
        changed = update._replace(endpoints=tuple(shown))
        return EngineUpdate(changed, dict(names), dict(addresses))

    def take_out(self, name: str, now_us: int) -> EngineUpdate | None:
        """Take a host out of service; None where it is out already.

        `now_us` is Unix time in microseconds. Raises `NoSuchHostError` for one that is not listed,
        `TooManyOverridesError`.
        """
        if name in self.out_since_us:
            return None
        if name not in self._numbers:
            raise NoSuchHostError(name)
        if len(self.out_since_us) >= MAX_OVERRIDES:
            raise TooManyOverridesError
        self.out_since_us[name] = now_us
        return self._changed([name])

    def put_back(self, name: str, now_us: int) -> EngineUpdate | None:
        """Put a host back into service; None where that changes nothing that is listed.

        `now_us` is Unix time in microseconds. Raises `NoSuchHostError` for one that is neither out
        nor listed.
        """
        if name not in self.out_since_us:
            if name not in self._numbers:
                raise NoSuchHostError(name)
            return None
        self._remember(name, OutOfService(self.out_since_us.pop(name), now_us))
        return self._changed([name]) if name in self._numbers else None

    def learn(
        self, out: Mapping[str, int], back: Mapping[str, tuple[int, int]]
    ) -> EngineUpdate | None:
        """Take over what another process of this gateway holds: what is out there is out here.

        Returns None where that changes nothing that is listed.
        """
        changed = [name for name in self.out_since_us.keys() ^ out.keys() if name in self._numbers]
        for name, (went_us, came_us) in back.items():
            if came_us > self._back.get(name, NEVER_OUT).came_us:
                self._remember(name, OutOfService(went_us, came_us))
                if name in self._numbers and name not in changed:
                    changed.append(name)
        self.out_since_us = dict(out)
        return self._changed(changed) if changed else None

    def _remember(self, name: str, back: OutOfService) -> None:
        """Keep when a host came back, as the newest; the oldest ones go beyond the bound."""
        self._back.pop(name, None)
        self._back[name] = back
        while len(self._back) > MAX_OVERRIDES:
            del self._back[next(iter(self._back))]

    def _shown(self, endpoint: Endpoint, name: str) -> Endpoint:
        """An endpoint as the engine is to see it."""
        if name in self.out_since_us:
            endpoint = endpoint._replace(status=EndpointStatus.DRAINING)
        back = self._back.get(name)
        if back is not None and (endpoint.started_us or 0) < back.went_us:
            endpoint = endpoint._replace(started_us=back.came_us)
        return endpoint

    def _changed(self, names: list[str]) -> EngineUpdate:
        """The update that tells the engine of these listed hosts."""
        hosts = [self._listed[self._numbers[name]] for name in names]
        shown = tuple(self._shown(host.endpoint, host.name) for host in hosts)
        return EngineUpdate(
            EndpointUpdate(UpdateKind.INCREMENTAL, shown, self._version),
            {host.endpoint.id: host.name for host in hosts},
            {host.endpoint.id: host.address for host in hosts},
        )
