"""Turns what a source tells into what the engine takes: a `ServerList`, names and addresses. No I/O.

What this file decides: what counts as gone, as draining, as freshly started, and which of two entries at one
address is believed. A list is believed as it is, an empty one too: rule 3 does not ask why a host is gone.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.config import Address
from quillroad.discovery.instance import Instance, Snapshot, Standing

REMEMBERED = 4096  # ids that left, the latest of them: one that comes back is known


def server_number(name: str) -> int:
    """The module's number for a host: the same at every gateway, after a restart too."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest())


class Reduced(NamedTuple):
    """What the engine takes, with a plain line for each entry that was not believed."""

    servers: EndpointUpdate
    names: dict[int, str]
    addresses: dict[int, Address]
    refused: tuple[str, ...]


@dataclass(slots=True)
class _Known:
    """What is remembered of an id. `out` says that it was told to be unfit or gone, by a source that was
    alive."""

    started_us: int
    out: bool


class Reducer:
    """One for each source. `zones` and `kinds` are the names in the order of the settings.

    A source that does not tell of starts leaves a question when an instance comes back: did its process
    restart? One that was told to be unfit or gone and is back may have, so it counts as started at that
    moment and gets the slow start of a cold host: a process that flaps is not flooded. One that was merely
    not heard of, because the source was away, has not been told of at all, and keeps what is known of it. A
    drain is no restart."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        self._known: dict[str, _Known] = {}
        self._first = True

    def reduce(
        self, snapshot: Snapshot, now_us: int, kind: UpdateKind = UpdateKind.FULL
    ) -> Reduced:
        """The whole list as it is now; `now_us` is Unix time in microseconds."""
        believed, refused = self._believed(snapshot.instances)
        servers: list[Endpoint] = []
        names: dict[int, str] = {}
        addresses: dict[int, Address] = {}
        for instance in believed.values():
            started_us = self._started_us(instance, snapshot.tells_starts, now_us)
            if instance.standing is Standing.OUT:
                continue  # for the module it is gone: nothing new, and what it holds may still be answered
            number = server_number(instance.id)
            names[number], addresses[number] = instance.id, instance.address
            servers.append(
                Endpoint(
                    id=number,
                    status=EndpointStatus.READY
                    if instance.standing is Standing.UP
                    else EndpointStatus.DRAINING,
                    zone=self._zones.get(instance.zone, -1),
                    cell=instance.cell,
                    machine_type=self._kinds.get(instance.kind, -1),
                    weight=instance.weight,
                    started_us=started_us,
                )
            )
        for name, known in self._known.items():
            if name not in believed:
                known.out = True
        self._forget(believed)
        self._first = False
        return Reduced(
            EndpointUpdate(kind, tuple(servers), snapshot.version), names, addresses, tuple(refused)
        )

    def _believed(self, instances: Sequence[Instance]) -> tuple[dict[str, Instance], list[str]]:
        """One entry an id and one id an address. Of two with one id the one in service counts, then the
        first; of two ids at one address the one known before, then the one in service, then the first by
        name: sending to both would send twice as much to one process as is meant for it."""
        refused: list[str] = []
        by_id: dict[str, Instance] = {}
        for instance in instances:
            other = by_id.get(instance.id)
            if other is None:
                by_id[instance.id] = instance
                continue
            refused.append(f"{instance.id}: listed twice")
            if other.standing is not Standing.UP and instance.standing is Standing.UP:
                by_id[instance.id] = instance
        by_address: dict[Address, Instance] = {}
        for instance in sorted(by_id.values(), key=self._rank):
            first = by_address.setdefault(instance.address, instance)
            if first is not instance and instance.standing is not Standing.OUT:
                refused.append(f"{instance.id}: at the address of {first.id}")
        chosen = {instance.id for instance in by_address.values()}
        return {
            i.id: i for i in by_id.values() if i.id in chosen or i.standing is Standing.OUT
        }, refused

    def _rank(self, instance: Instance) -> tuple[bool, bool, str]:
        known = self._known.get(instance.id)
        return instance.standing is not Standing.UP, known is None or known.out, instance.id

    def _started_us(self, instance: Instance, tells_starts: bool, now_us: int) -> int:
        known = self._known.get(instance.id)
        out = instance.standing is Standing.OUT
        if known is None:
            # On the first list all that is there was there before: a gateway that starts is no fleet that
            # does.
            started_us = (
                instance.started_us
                if tells_starts or instance.started_us or self._first
                else now_us
            )
            self._known[instance.id] = _Known(started_us, out)
            return started_us
        if tells_starts:
            known.started_us = instance.started_us
        elif known.out and not out:
            known.started_us = max(now_us, instance.started_us)
        else:
            known.started_us = max(known.started_us, instance.started_us)
        known.out = out
        return known.started_us

    def starts(self) -> dict[str, tuple[int, bool]]:
        """What is remembered of each id: when it started (Unix time, microseconds; 0: long ago), and whether
        it was told to be unfit or gone."""
        return {name: (known.started_us, known.out) for name, known in self._known.items()}

    def learn(self, starts: Mapping[str, tuple[int, bool]]) -> None:
        """Go on with what another process remembered. Of two starts of one id the later counts: one that
        came back a moment before stays cold."""
        for name, (started_us, out) in starts.items():
            known = self._known.get(name)
            if known is None:
                self._known[name] = _Known(started_us, out)
            else:
                known.started_us = max(known.started_us, started_us)

    def _forget(self, believed: Mapping[str, Instance]) -> None:
        """Bounds what is remembered of those that left. The dictionary keeps them in the order of their
        coming."""
        surplus = len(self._known) - len(believed) - REMEMBERED
        if surplus > 0:
            gone = [name for name in self._known if name not in believed][:surplus]
            for name in gone:
                del self._known[name]
