"""Reduces a source's list to an endpoint update, names and addresses. No I/O.

This module decides which instances count as removed, draining or freshly started, and which of two
entries with the same address is used. Each list is applied as it is, even an empty one: it does not
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

MAX_REMEMBERED_IDS = 4096  # of the latest hosts that left, to recognise those that return
ID_BYTES = 6  # of an endpoint id: fits a JSON number; 10,000 names collide with probability 2e-7


def endpoint_id(name: str) -> int:
    """Return the endpoint id of a host: the same at every gateway and after a restart."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=ID_BYTES).digest())


class ReducedList(NamedTuple):
    """Update, names and addresses for the engine, and a message for each ignored entry."""

    update: EndpointUpdate
    names: dict[int, str]
    addresses: dict[int, Address]
    ignored: tuple[str, ...]


@dataclass(slots=True)
class _Remembered:
    """Start time and last state of an id.

    `was_out` is true if the last list had the instance as unhealthy or lacked it.
    """

    started_us: int
    was_out: bool


class Reducer:
    """Reducer of one source's lists. `zones` and `machine_types` are in the order of the settings.

    If the source does not report start times, it is unknown whether the process of a returning
    instance restarted. An instance that a list had as unhealthy or lacked may have restarted, so it
    counts as started on its return and gets slow start: otherwise a flapping process would be
    flooded with requests each time. If only the source was unavailable, the instance keeps its
    start time. A drain is no restart.
    """

    def __init__(self, zones: Sequence[str], machine_types: Sequence[str]) -> None:
        self._zones = {name: i for i, name in enumerate(zones)}
        self._machine_types = {name: i for i, name in enumerate(machine_types)}
        self._remembered: dict[str, _Remembered] = {}
        self._is_first_list = True

    def reduce(
        self, snapshot: Snapshot, now_us: int, kind: UpdateKind = UpdateKind.FULL
    ) -> ReducedList:
        """Reduce a full list; `now_us` is Unix time in microseconds."""
        accepted, ignored = self._accepted_instances(snapshot.instances)
        endpoints: list[Endpoint] = []
        names: dict[int, str] = {}
        addresses: dict[int, Address] = {}
        for instance in accepted.values():
            started_us = self._started_us(instance, snapshot.reports_start_times, now_us)
            if instance.status is InstanceStatus.UNHEALTHY:
                continue  # removed: it gets no new requests, but may still answer those in flight
            endpoint = self._endpoint(instance, started_us)
            names[endpoint.id], addresses[endpoint.id] = instance.id, instance.address
            endpoints.append(endpoint)
        for name, remembered in self._remembered.items():
            if name not in accepted:
                remembered.was_out = True
        self._forget_oldest(accepted)
        self._is_first_list = False
        update = EndpointUpdate(kind, tuple(endpoints), snapshot.version)
        return ReducedList(update, names, addresses, tuple(ignored))

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

    def _accepted_instances(
        self, instances: Sequence[Instance]
    ) -> tuple[dict[str, Instance], list[str]]:
        """Return the accepted instances by id, and a message for each ignored entry.

        One entry per id and one id per address are accepted. Of entries with the same id the first
        one in service counts, or else the first. Of ids at the same address the order is: in
        service, latest start that the source reports, known before, first by name. Using both would
        send one process twice its share of requests.
        """
        ignored: list[str] = []
        by_id = _one_entry_per_id(instances, ignored)
        by_address: dict[Address, Instance] = {}
        for instance in sorted(by_id.values(), key=self._rank):
            first = by_address.setdefault(instance.address, instance)
            if first is not instance and instance.status is not InstanceStatus.UNHEALTHY:
                ignored.append(f"{instance.id}: has the same address as {first.id}")
        chosen = {instance.id for instance in by_address.values()}
        accepted = {
            instance.id: instance
            for instance in by_id.values()
            if instance.id in chosen or instance.status is InstanceStatus.UNHEALTHY
        }
        return accepted, ignored

    def _rank(self, instance: Instance) -> tuple[bool, int, bool, str]:
        remembered = self._remembered.get(instance.id)
        is_new = remembered is None or remembered.was_out
        is_out = instance.status is not InstanceStatus.UP
        return is_out, -instance.started_us, is_new, instance.id

    def _started_us(self, instance: Instance, reports_start_times: bool, now_us: int) -> int:
        remembered = self._remembered.get(instance.id)
        is_out = instance.status is InstanceStatus.UNHEALTHY
        if remembered is None:
            # Hosts on the first list were running before: the gateway has started, not they.
            is_start_known = bool(reports_start_times or instance.started_us or self._is_first_list)
            started_us = instance.started_us if is_start_known else now_us
            self._remembered[instance.id] = _Remembered(started_us, is_out)
            return started_us
        if reports_start_times:
            remembered.started_us = instance.started_us
        elif remembered.was_out and not is_out:
            remembered.started_us = max(now_us, instance.started_us)
        else:
            remembered.started_us = max(remembered.started_us, instance.started_us)
        remembered.was_out = is_out
        return remembered.started_us

    def start_times(self) -> dict[str, tuple[int, bool]]:
        """Return start time and last state of each id.

        The start time is Unix time in microseconds (0: long ago); the flag is true if the instance
        was unhealthy or missing in the last list.
        """
        return {
            name: (remembered.started_us, remembered.was_out)
            for name, remembered in self._remembered.items()
        }

    def restore_start_times(self, starts: Mapping[str, tuple[int, bool]]) -> None:
        """Adopt the start times of another process, in the form of `start_times`.

        Of two start times of one id the later counts, so that a host that has just returned
        continues to warm up.
        """
        for name, (started_us, was_out) in starts.items():
            remembered = self._remembered.get(name)
            if remembered is None:
                self._remembered[name] = _Remembered(started_us, was_out)
            else:
                remembered.started_us = max(remembered.started_us, started_us)

    def _forget_oldest(self, accepted: Mapping[str, Instance]) -> None:
        """Forget the earliest seen of the ids that left, above `MAX_REMEMBERED_IDS`."""
        surplus = len(self._remembered) - len(accepted) - MAX_REMEMBERED_IDS
        if surplus > 0:
            gone = [name for name in self._remembered if name not in accepted][:surplus]
            for name in gone:
                del self._remembered[name]


def _one_entry_per_id(instances: Sequence[Instance], ignored: list[str]) -> dict[str, Instance]:
    by_id: dict[str, Instance] = {}
    for instance in instances:
        other = by_id.get(instance.id)
        if other is None:
            by_id[instance.id] = instance
            continue
        ignored.append(f"{instance.id}: listed twice")
        is_up = instance.status is InstanceStatus.UP
        if is_up and other.status is not InstanceStatus.UP:
            by_id[instance.id] = instance
    return by_id
