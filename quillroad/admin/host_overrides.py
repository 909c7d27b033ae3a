"""Hosts that an operator has taken out of service, which override discovery. Performs no I/O.

The balancer sees such a host as draining, so that the cut-off and all other rules for draining
hosts apply to it. Updates from discovery do not end this state; only an operator's call does.

Operators restart hosts while they are out of service, so a host that returns is treated as just
started: what was learned about the previous process is discarded, and the new one gets a slow
start. If discovery reports a start later than the time at which the host went out of service, that
start time is used, because all gateways see the same one. Until then, the time of the call that put
the host back is used as its start time.

The two processes of an upgrade both accept calls and send each other what they know, so messages
cross each other. For each host the latest call wins at both (a last-writer-wins register), whatever
the order in which the messages arrive.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from quillroad.admin.errors import NoSuchHostError, TooManyOverridesError
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.config import Address

# Maximum number of hosts out of service at once, and of returns recorded. An endpoint list has
# fewer hosts. Both records outlive the list: without a bound, calls for ever-changing hosts would
# exhaust memory.
MAX_OVERRIDES = 4096
# Maximum number of hosts whose latest call is recorded: those out of service and those put back.
MAX_RECORDED_CALLS = 2 * MAX_OVERRIDES


class EngineUpdate(NamedTuple):
    """An endpoint update for the engine; names and addresses are keyed by endpoint number."""

    update: EndpointUpdate
    names: dict[int, str]
    addresses: dict[int, Address]


class OutOfService(NamedTuple):
    """When a host went out of service and came back, in microseconds of Unix time."""

    went_us: int
    came_us: int


NEVER_OUT = OutOfService(0, 0)


class _Decision(NamedTuple):
    """What operators last decided on a host; of two decisions the greater one wins.

    `called_us` is the time of the latest call, and `came_us` that of the latest return, if any.
    `went_us` is when the host went out of service, now if `is_out`, else before that return. Of two
    calls in the same microsecond the one that takes the host out wins.
    """

    called_us: int
    is_out: bool
    came_us: int
    went_us: int


class _ListedHost(NamedTuple):
    """A host as discovery reports it, without the override."""

    endpoint: Endpoint
    name: str
    address: Address


class HostOverrides:
    """The hosts out of service, and the endpoint list that they override."""

    def __init__(self) -> None:
        self.out_since_us: dict[str, int] = {}  # by host name, in microseconds of Unix time
        # When the latest call on each host was made, oldest call first: by host name, in
        # microseconds of Unix time. It increases with each call on a host, even if the clock is set
        # back.
        self.called_us: dict[str, int] = {}
        self._returns: dict[str, OutOfService] = {}  # by host name, oldest return first
        self._listed: dict[int, _ListedHost] = {}
        self._listed_numbers: dict[str, int] = {}  # endpoint numbers of the listed hosts, by name
        self._version = 0

    @property
    def returned(self) -> dict[str, OutOfService]:
        """When each host that was put back went out of service and came back, by host name."""
        return dict(self._returns)

    @property
    def listed(self) -> int:
        """The number of hosts out of service that are in the endpoint list."""
        return sum(name in self._listed_numbers for name in self.out_since_us)

    def listed_endpoint(self, number: int) -> Endpoint | None:
        """Return an endpoint as discovery reports it, or None if it is not listed."""
        host = self._listed.get(number)
        return None if host is None else host.endpoint

    def apply(
        self, update: EndpointUpdate, names: Mapping[int, str], addresses: Mapping[int, Address]
    ) -> EngineUpdate:
        """Record an update from discovery and return it with the overrides applied."""
        if update.kind is not UpdateKind.INCREMENTAL:
            self._listed = {}
            self._listed_numbers = {}
        overridden = []
        for endpoint in update.endpoints:
            name = names[endpoint.id]
            if endpoint.status is EndpointStatus.REMOVED:
                self._listed.pop(endpoint.id, None)
                self._listed_numbers.pop(name, None)
                overridden.append(endpoint)
                continue
            self._listed[endpoint.id] = _ListedHost(endpoint, name, addresses[endpoint.id])
            self._listed_numbers[name] = endpoint.id
            overridden.append(self._overridden(endpoint, name))
        self._version = update.version
        changed = update._replace(endpoints=tuple(overridden))
        return EngineUpdate(changed, dict(names), dict(addresses))

    def take_out(self, name: str, now_us: int) -> EngineUpdate | None:
        """Take a host out of service; return None if it is out of service already.

        `now_us` is Unix time in microseconds. Raise `NoSuchHostError` for a host that is not
        listed, and `TooManyOverridesError` if `MAX_OVERRIDES` hosts are out of service.
        """
        if name in self.out_since_us:
            self._record_call(name, now_us)
            return None
        if name not in self._listed_numbers:
            raise NoSuchHostError(name)
        if len(self.out_since_us) >= MAX_OVERRIDES:
            raise TooManyOverridesError
        self.out_since_us[name] = now_us
        self._record_call(name, now_us)
        return self._incremental_update([name])

    def put_back(self, name: str, now_us: int) -> EngineUpdate | None:
        """Put a host back into service; return None if this changes no listed host.

        `now_us` is Unix time in microseconds. Raise `NoSuchHostError` for a host that is neither
        out of service nor listed. The call is recorded even if the host is not out of service here:
        the sibling process may just have taken it out.
        """
        if name not in self.out_since_us:
            if name not in self._listed_numbers:
                raise NoSuchHostError(name)
            self._record_call(name, now_us)
            return None
        self._record_call(name, now_us)
        self._record_return(name, OutOfService(self.out_since_us.pop(name), now_us))
        return self._incremental_update([name]) if name in self._listed_numbers else None

    def learn(
        self,
        out: Mapping[str, int],
        back: Mapping[str, tuple[int, int]],
        called: Mapping[str, int] | None = None,
    ) -> EngineUpdate | None:
        """Merge the overrides of a sibling process: for each host the latest call of both counts.

        `out` has the format of `out_since_us`, `back` that of `returned` and `called` that of
        `called_us`. A sibling of an earlier build sends no `called`: its calls are then those of
        the hosts in `out` and `back`. Return None if this changes no listed host.
        """
        called = called or {}
        changed = []
        for name in {**out, **back, **called}:
            returned = OutOfService(*back.get(name, NEVER_OUT))
            decision = _decision(out.get(name), returned, called.get(name))
            if self._merge(name, decision, returned) and name in self._listed_numbers:
                changed.append(name)
        return self._incremental_update(changed) if changed else None

    def _merge(self, name: str, theirs: _Decision, returned: OutOfService) -> bool:
        """Merge the sibling's decision on a host, and its latest return; return whether it counts.

        A call that puts a host back may be made before the other process has told that it took the
        host out: the host has returned then as well.
        """
        ours = _decision(
            self.out_since_us.get(name),
            self._returns.get(name, NEVER_OUT),
            self.called_us.get(name),
        )
        loser, winner = sorted((ours, theirs))
        if loser.is_out and not winner.is_out and loser.went_us > winner.went_us:
            was_known = winner.came_us > loser.went_us
            came_us = winner.came_us if was_known else winner.called_us
            returned = OutOfService(loser.went_us, came_us)
        is_later_return = _is_later(returned, self._returns.get(name, NEVER_OUT))
        if is_later_return:
            self._record_return(name, returned)
        if winner == ours:
            return is_later_return
        self.out_since_us.pop(name, None)
        if winner.is_out:
            self.out_since_us[name] = winner.went_us
        self._set_called(name, winner.called_us)
        return True

    def _record_call(self, name: str, now_us: int) -> None:
        """Record a call on a host, later than all calls on it that are known here."""
        self._set_called(name, max(now_us, self.called_us.get(name, 0) + 1))

    def _set_called(self, name: str, called_us: int) -> None:
        """Set the time of the latest call; drop the oldest ones beyond `MAX_RECORDED_CALLS`."""
        self.called_us.pop(name, None)
        self.called_us[name] = called_us
        if len(self.called_us) > MAX_RECORDED_CALLS:
            oldest = next(name for name in self.called_us if name not in self.out_since_us)
            del self.called_us[oldest]

    def _record_return(self, name: str, back: OutOfService) -> None:
        """Record a host's return as the newest; drop the oldest returns beyond `MAX_OVERRIDES`."""
        self._returns.pop(name, None)
        self._returns[name] = back
        while len(self._returns) > MAX_OVERRIDES:
            del self._returns[next(iter(self._returns))]

    def _overridden(self, endpoint: Endpoint, name: str) -> Endpoint:
        """Return the endpoint with the overrides of its host applied."""
        if name in self.out_since_us:
            endpoint = endpoint._replace(status=EndpointStatus.DRAINING)
        back = self._returns.get(name)
        if back is not None and (endpoint.started_us or 0) < back.went_us:
            endpoint = endpoint._replace(started_us=back.came_us)
        return endpoint

    def _incremental_update(self, names: list[str]) -> EngineUpdate:
        """Return an incremental update of these listed hosts, with the overrides applied."""
        hosts = [self._listed[self._listed_numbers[name]] for name in names]
        overridden = tuple(self._overridden(host.endpoint, host.name) for host in hosts)
        return EngineUpdate(
            EndpointUpdate(UpdateKind.INCREMENTAL, overridden, self._version),
            {host.endpoint.id: host.name for host in hosts},
            {host.endpoint.id: host.address for host in hosts},
        )


def _decision(out_since_us: int | None, returned: OutOfService, called_us: int | None) -> _Decision:
    """Return the decision on a host.

    `out_since_us` is None if it is in service, `called_us` if the latest call is not recorded.
    """
    is_out = out_since_us is not None
    went_us = returned.went_us if out_since_us is None else out_since_us
    if called_us is None:
        called_us = went_us if is_out else returned.came_us
    return _Decision(called_us, is_out, returned.came_us, went_us)


def _is_later(returned: OutOfService, other: OutOfService) -> bool:
    return (returned.came_us, returned.went_us) > (other.came_us, other.went_us)
