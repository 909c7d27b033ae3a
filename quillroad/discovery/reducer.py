"""Turns what a source tells into an endpoint update, names and addresses. No I/O.

What this module decides: what counts as gone, as draining, as freshly started, and which of two
entries at one address is believed. A list is believed as it is, an empty one too: it does not
matter why a host is gone.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.config import Address
from quillroad.discovery.instance import Instance, InstanceStatus, Snapshot

REMEMBERED = 4096  # ids that left, the latest of them: one that comes back has been here before
ID_BYTES = 6  # of an endpoint's id: a JSON number, and collisions among 10,000 names at 2e-7


def endpoint_id(name: str) -> int:
    """The balancer's number for a host: the same at every gateway, after a restart too."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=ID_BYTES).digest())


class ReducedList(NamedTuple):
    """What the engine takes, with a plain line for each entry that was not believed."""

    update: EndpointUpdate
    names: dict[int, str]
    addresses: dict[int, Address]
    refused: tuple[str, ...]


@dataclass(slots=True)
class _Remembered:
    """What is remembered of an id.

    `was_out` says that it was told to be unhealthy or gone, by a source that was alive.
    """

    started_us: int
    was_out: bool


class Reducer:
    """One for each source. `zones` and `machine_types` are the names in the order of the settings.

    A source that does not tell of starts leaves a question when an instance comes back: did its
    process restart? One that was told to be unhealthy or gone and is back may have, so it counts as
    started at that moment and gets slow start: without this, a process that flaps is flooded each
    time. One that was merely not heard of, because the source was away, keeps what is known of it.
    A drain is no restart.
    """

    def __init__(self, zones: Sequence[str], machine_types: Sequence[str]) -> None:
        self._zones = {name: i for i, name in enumerate(zones)}
        self._machine_types = {name: i for i, name in enumerate(machine_types)}
        self._remembered: dict[str, _Remembered] = {}
        self._is_first_list = True

    def reduce(
        self, snapshot: Snapshot, now_us: int, kind: UpdateKind = UpdateKind.FULL
    ) -> ReducedList:
        """The whole list as it is now; `now_us` is Unix time in microseconds."""
        believed, refused = self._believed(snapshot.instances)
        endpoints: list[Endpoint] = []
        names: dict[int, str] = {}
        addresses: dict[int, Address] = {}
        for instance in believed.values():
            started_us = self._started_us(instance, snapshot.tells_starts, now_us)
            if instance.status is InstanceStatus.UNHEALTHY:
                continue  # removed: it gets nothing new, and what it has may still be answered
            endpoint = self._endpoint(instance, started_us)
            names[endpoint.id], addresses[endpoint.id] = instance.id, instance.address
            endpoints.append(endpoint)
        for name, remembered in self._remembered.items():
            if name not in believed:
                remembered.was_out = True
        self._forget(believed)
        self._is_first_list = False
        update = EndpointUpdate(kind, tuple(endpoints), snapshot.version)
        return ReducedList(update, names, addresses, tuple(refused))

    def _endpoint(self, instance: Instance, started_us: int) -> Endpoint:
        is_up = instance.status is InstanceStatus.UP
        return Endpoint(
            id=endpoint_id(instance.id),
            status=EndpointStatus.READY if is_up else EndpointStatus.DRAINING,
            zone=self._zones.get(instance.zone, -1),
            cell=instance.cell,
            machine_type=self._machine_types.get(instance.machine_type, -1),
            weight=instance.weight,
            started_us=started_us,
        )

    def _believed(self, instances: Sequence[Instance]) -> tuple[dict[str, Instance], list[str]]:
        """The instances that are believed, by id, and a line for each of the others.

        One entry an id and one id an address. Of two with one id the one in service counts, then
        the first. Of two ids at one address the one known before counts, then the one in service,
        then the first by name: sending to both would send one process twice as much as is meant for
        it.
        """
        refused: list[str] = []
        by_id = _one_entry_an_id(instances, refused)
        by_address: dict[Address, Instance] = {}
        for instance in sorted(by_id.values(), key=self._rank):
            first = by_address.setdefault(instance.address, instance)
            if first is not instance and instance.status is not InstanceStatus.UNHEALTHY:
                refused.append(f"{instance.id}: at the address of {first.id}")
        chosen = {instance.id for instance in by_address.values()}
        believed = {
            instance.id: instance
            for instance in by_id.values()
            if instance.id in chosen or instance.status is InstanceStatus.UNHEALTHY
        }
        return believed, refused

    def _rank(self, instance: Instance) -> tuple[bool, bool, str]:
        remembered = self._remembered.get(instance.id)
        is_new = remembered is None or remembered.was_out
        return instance.status is not InstanceStatus.UP, is_new, instance.id

    def _started_us(self, instance: Instance, tells_starts: bool, now_us: int) -> int:
        remembered = self._remembered.get(instance.id)
        is_out = instance.status is InstanceStatus.UNHEALTHY
        if remembered is None:
            # On the first list all that is there was there before: it is the gateway that starts.
            is_start_known = bool(tells_starts or instance.started_us or self._is_first_list)
            started_us = instance.started_us if is_start_known else now_us
            self._remembered[instance.id] = _Remembered(started_us, is_out)
            return started_us
        if tells_starts:
            remembered.started_us = instance.started_us
        elif remembered.was_out and not is_out:
            remembered.started_us = max(now_us, instance.started_us)
        else:
            remembered.started_us = max(remembered.started_us, instance.started_us)
        remembered.was_out = is_out
        return remembered.started_us

    def start_times(self) -> dict[str, tuple[int, bool]]:
        """What is remembered of each id.

        When it started (Unix time, microseconds; 0: long ago), and whether it was told to be
        unhealthy or gone.
        """
        return {
            name: (remembered.started_us, remembered.was_out)
            for name, remembered in self._remembered.items()
        }

    def restore_start_times(self, starts: Mapping[str, tuple[int, bool]]) -> None:
        """Go on with what another process remembered, in the form of `starts`.

        Of two starts of one id the later counts: a host that came back a moment before stays
        warming up.
        """
        for name, (started_us, was_out) in starts.items():
            remembered = self._remembered.get(name)
            if remembered is None:
                self._remembered[name] = _Remembered(started_us, was_out)
            else:
                remembered.started_us = max(remembered.started_us, started_us)

    def _forget(self, believed: Mapping[str, Instance]) -> None:
        """Bound what is remembered of those that left, the earliest of them first."""
        surplus = len(self._remembered) - len(believed) - REMEMBERED
        if surplus > 0:
            gone = [name for name in self._remembered if name not in believed][:surplus]
            for name in gone:
                del self._remembered[name]


def _one_entry_an_id(instances: Sequence[Instance], refused: list[str]) -> dict[str, Instance]:
    by_id: dict[str, Instance] = {}
    for instance in instances:
        other = by_id.get(instance.id)
        if other is None:
            by_id[instance.id] = instance
            continue
        refused.append(f"{instance.id}: listed twice")
        is_up = instance.status is InstanceStatus.UP
        if is_up and other.status is not InstanceStatus.UP:
            by_id[instance.id] = instance
    return by_id
