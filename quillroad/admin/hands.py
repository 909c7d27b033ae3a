"""Hosts that an operator has taken out of service, laid over whatever a source of hosts tells. No I/O.

For the module such a host is draining, so that the cut-off and all else that holds for a drain holds here.
What a source tells meanwhile changes nothing of that. Operators restart hosts meanwhile, so the return is
that of a cold host: what was learned of the process before is forgotten and the new one gets a slow start.
Where the source tells of a start since the host went out, that is the one that counts, at all gateways alike;
until it does, the call back counts as one.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.config import Address

MOST = 4096  # hosts out by hand, and calls back remembered: a list has fewer, and both outlive it


class NoSuchHostError(Exception):
    """Nobody has told of such a host."""


class TooManyError(Exception):
    """More hosts are out by hand than can be remembered."""


class Told(NamedTuple):
    """What the engine takes."""

    servers: EndpointUpdate
    names: dict[int, str]
    addresses: dict[int, Address]


class Back(NamedTuple):
    """When a host went out and came back, in microseconds of Unix time."""

    went_us: int
    came_us: int


class Hands:
    """The set by hand, and the list under it as its source tells it."""

    def __init__(self) -> None:
        self.out: dict[str, int] = {}  # since when (Unix time, us)
        self._back: dict[str, Back] = {}  # of hosts that were put back, the oldest first
        self._told: dict[int, tuple[Endpoint, str, Address]] = {}
        self._numbers: dict[str, int] = {}
        self._version = 0

    @property
    def back(self) -> dict[str, Back]:
        """Of each host that was put back, when it went and came."""
        return dict(self._back)

    @property
    def listed(self) -> int:
        """How many of those out are in the list."""
        return sum(name in self._numbers for name in self.out)

    def told(self, number: int) -> Endpoint | None:
        """A host's line as its source tells it; None where it is not listed."""
        line = self._told.get(number)
        return None if line is None else line[0]

    def lay(
        self, servers: EndpointUpdate, names: Mapping[int, str], addresses: Mapping[int, Address]
    ) -> Told:
        """What the engine is to take in place of what a source tells."""
        if servers.kind is not UpdateKind.INCREMENTAL:
            self._told, self._numbers = {}, {}
        shown = []
        for server in servers.endpoints:
            if server.status is EndpointStatus.REMOVED:
                self._told.pop(server.id, None)
                self._numbers.pop(names[server.id], None)
                shown.append(server)
                continue
            name = names[server.id]
            self._told[server.id], self._numbers[name] = (
                (server, name, addresses[server.id]),
                server.id,
            )
            shown.append(self._shown(server, name))
        self._version = servers.version
        return Told(servers._replace(endpoints=tuple(shown)), dict(names), dict(addresses))

    def maint(self, name: str, now_us: int) -> Told | None:
        """Take a host out; None where it is out already. `now_us` is Unix time. Raises `NoSuchHostError`,
        `TooManyError`."""
        if name in self.out:
            return None
        if name not in self._numbers:
            raise NoSuchHostError(name)
        if len(self.out) >= MOST:
            raise TooManyError
        self.out[name] = now_us
        return self._change([name])

    def ready(self, name: str, now_us: int) -> Told | None:
        """Put a host back; None where that changes nothing that is listed. `now_us` is Unix time. Raises
        `NoSuchHostError` for one that is neither out nor listed."""
        if name not in self.out:
            if name not in self._numbers:
                raise NoSuchHostError(name)
            return None
        self._remember(name, Back(self.out.pop(name), now_us))
        return self._change([name]) if name in self._numbers else None

    def learn(self, out: Mapping[str, int], back: Mapping[str, tuple[int, int]]) -> Told | None:
        """Take over what another process of this gateway holds: its set by hand is the whole truth."""
        changed = [name for name in self.out.keys() ^ out.keys() if name in self._numbers]
        for name, (went_us, came_us) in back.items():
            if came_us > self._back.get(name, Back(0, 0)).came_us:
                self._remember(name, Back(went_us, came_us))
                if name in self._numbers and name not in changed:
                    changed.append(name)
        self.out = dict(out)
        return self._change(changed) if changed else None

    def _remember(self, name: str, back: Back) -> None:
        self._back.pop(name, None)
        self._back[name] = back
        while len(self._back) > MOST:
            del self._back[next(iter(self._back))]

    def _shown(self, server: Endpoint, name: str) -> Endpoint:
        if name in self.out:
            server = server._replace(status=EndpointStatus.DRAINING)
        back = self._back.get(name)
        if back is not None and (server.started_us or 0) < back.went_us:
            server = server._replace(started_us=back.came_us)
        return server

    def _change(self, names: list[str]) -> Told:
        lines = [self._told[self._numbers[name]] for name in names]
        return Told(
            EndpointUpdate(
                UpdateKind.INCREMENTAL,
                tuple(self._shown(s, name) for s, name, _ in lines),
                self._version,
            ),
            {s.id: name for s, name, _ in lines},
            {s.id: address for s, _, address in lines},
        )
