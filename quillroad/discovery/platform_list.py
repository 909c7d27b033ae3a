"""The platform's endpoint list: decodes its documents and keeps the current list. No I/O.

A document holds a generation and entries, either of the full list or of the changes. From a
document that cannot be read as a whole, only the drains are used (`partial_line_recovery`).
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.config import Address, ConfigError, read_address
from quillroad.discovery.partial_line_recovery import draining_ids
from quillroad.discovery.reducer import endpoint_id

STATUSES = {
    "up": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}
SHOWN_BYTES = 60  # of a document that cannot be read, in the error


class MalformedListError(Exception):
    """Discovery sent a document that is not an endpoint list; the message is a single line."""


class OutdatedListError(Exception):
    """A document is older than the list in use."""


class ListChange(NamedTuple):
    """An update for the engine, with names and addresses by endpoint id.

    An endpoint that was removed has no address.
    """

    update: EndpointUpdate
    names: dict[int, str]
    addresses: dict[int, Address]


class _Entry(NamedTuple):
    """One entry of a document."""

    endpoint: Endpoint
    name: str
    address: Address | None


def _start_order(entry: _Entry) -> tuple[int, bool]:
    """Return when the process of an instance started, for comparison."""
    return entry.endpoint.started_us or 0, entry.endpoint.status is EndpointStatus.READY


def _is_replaced(entry: _Entry, latest: Mapping[Address, _Entry]) -> bool:
    """Return whether a later instance has taken over the address of this one."""
    if entry.address is None:
        return False
    return _start_order(entry) < _start_order(latest[entry.address])


def _removed(entry: _Entry) -> _Entry:
    endpoint = entry.endpoint._replace(status=EndpointStatus.REMOVED)
    return _Entry(endpoint, entry.name, None)


class PlatformList:
    """The last endpoint list of this gateway.

    `zones` and `machine_types` are the names in the order of the settings; unknown names are mapped
    to -1.
    """

    def __init__(self, zones: Sequence[str], machine_types: Sequence[str]) -> None:
        self.generation = 0  # of the last document that was applied
        self.needs_full_list = False  # set while `generation` belongs to the previous service
        # The last full list that discovery sent, as long as the list in use is the same.
        self._last_full_list = b""
        self._zones = {name: i for i, name in enumerate(zones)}
        self._machine_types = {name: i for i, name in enumerate(machine_types)}
        self._endpoints: dict[str, Endpoint] = {}
        self._addresses: dict[str, Address] = {}
        self._holders: dict[Address, str] = {}  # the latest instance at each address

    def read_document(self, document: bytes, known_before: int | None = None) -> ListChange | None:
        """Apply a JSON document; returns None if it changes nothing.

        With `known_before`, a document of that generation changes nothing, and an older one raises
        `OutdatedListError`. Raises `MalformedListError` and then changes nothing.
        """
        if document == self._last_full_list and not self.needs_full_list:
            return None
        try:
            data = json.loads(document)
        except ValueError:
            raise MalformedListError(f"not JSON: {document[:SHOWN_BYTES]!r}") from None
        if not isinstance(data, dict):
            raise MalformedListError(f"not a JSON object: {document[:SHOWN_BYTES]!r}")
        generation, entries = self._read_entries(data)
        if known_before is not None and not self.needs_full_list:
            if generation < known_before:
                raise OutdatedListError
            if generation == known_before:
                return None
        is_full = data.get("reset") or self.needs_full_list
        kind = UpdateKind.FULL if is_full else UpdateKind.INCREMENTAL
        if kind is UpdateKind.INCREMENTAL and self._is_current(generation, entries):
            return None
        self.needs_full_list = False
        change = self._apply(generation, entries, kind)
        if is_full:
            self._last_full_list = document
        return change

    def resume_at(self, generation: int) -> None:
        """Continue from this generation, whose list is already in use elsewhere."""
        self.generation = generation
        self._last_full_list = b""

    def read(self, data: Mapping[str, Any], kind: UpdateKind) -> ListChange:
        """Apply a decoded document as an update of this kind. Raises `MalformedListError`."""
        return self._apply(*self._read_entries(data), kind)

    def _read_entries(self, data: Mapping[str, Any]) -> tuple[int, list[_Entry]]:
        """Return the generation and the entries of a decoded document."""
        generation, raw_entries = data.get("generation"), data.get("instances")
        if type(generation) is not int or not isinstance(raw_entries, list):
            raise MalformedListError("generation or instances missing")
        return generation, [self._read_entry(raw) for raw in raw_entries]

    def _is_current(self, generation: int, entries: Sequence[_Entry]) -> bool:
        """Return whether the list already holds all that a document of changes says."""
        return generation == self.generation and all(
            entry.endpoint == self._endpoints.get(entry.name)
            and entry.address == self._addresses.get(entry.name)
            for entry in entries
        )

    def _apply(self, generation: int, entries: Sequence[_Entry], kind: UpdateKind) -> ListChange:
        self.generation = generation
        self._last_full_list = b""
        if kind is not UpdateKind.INCREMENTAL:
            self._endpoints, self._addresses, self._holders = {}, {}, {}
        entries = self._without_replaced(entries)
        for endpoint, name, address in entries:
            before = self._addresses.pop(name, None)
            if before is not None and self._holders.get(before) == name:
                del self._holders[before]
            if address is None:
                self._endpoints.pop(name, None)
            else:
                self._endpoints[name], self._addresses[name] = endpoint, address
                self._holders[address] = name
        return ListChange(
            EndpointUpdate(kind, tuple(entry.endpoint for entry in entries), generation),
            {entry.endpoint.id: entry.name for entry in entries},
            {entry.endpoint.id: entry.address for entry in entries if entry.address is not None},
        )

    def _without_replaced(self, entries: Sequence[_Entry]) -> list[_Entry]:
        """Return the entries, with instances as removed whose address another one has taken over.

        Of two instances with the same address the one that started earlier is gone, or else the one
        that drains. Otherwise its requests would go to the new process, in addition to that one's
        own share and although it may be warming up.
        """
        latest: dict[Address, _Entry] = {}
        names = {entry.name for entry in entries}
        known: list[_Entry] = []
        for entry in entries:
            holder = self._holders.get(entry.address) if entry.address is not None else None
            if holder is not None and holder not in names:
                known.append(_Entry(self._endpoints[holder], holder, entry.address))
        for entry in (*known, *entries):
            if entry.address is not None:
                first = latest.setdefault(entry.address, entry)
                if _start_order(entry) > _start_order(first):
                    latest[entry.address] = entry
        result = [_removed(entry) if _is_replaced(entry, latest) else entry for entry in entries]
        result += [_removed(entry) for entry in known if _is_replaced(entry, latest)]
        return result

    def recover_drains(self, document: bytes, only_readable: bool = False) -> ListChange | None:
        """Apply the drains of a document that cannot be read as a whole; None if it has none.

        With `only_readable` hosts are left out whose entry breaks off before their state.

        Otherwise, after a watch line that breaks off behind the entry of a draining host, the host
        would stay in use until the next list. Removed hosts count as draining too, so that a later
        complete document can correct that, and the generation does not change.
        """
        drained = {
            name: self._endpoints[name]._replace(status=EndpointStatus.DRAINING)
            for name in draining_ids(document, only_readable)
            if self._is_ready(name)
        }
        if not drained:
            return None
        self._endpoints.update(drained)
        self._last_full_list = b""
        return ListChange(
            EndpointUpdate(UpdateKind.INCREMENTAL, tuple(drained.values()), self.generation),
            {endpoint.id: name for name, endpoint in drained.items()},
            {endpoint.id: self._addresses[name] for name, endpoint in drained.items()},
        )

    def _is_ready(self, name: str) -> bool:
        endpoint = self._endpoints.get(name)
        return endpoint is not None and endpoint.status is EndpointStatus.READY

    def _read_entry(self, entry: Any) -> _Entry:
        try:
            name, status = str(entry["instanceId"]), STATUSES[entry["lifecycle"]]
            address = None
            if status is not EndpointStatus.REMOVED:
                address = read_address(entry.get("hostPort"), "hostPort")
            endpoint = Endpoint(
                id=endpoint_id(name),
                status=status,
                zone=self._zones.get(entry.get("zone"), -1),
                cell=int(entry.get("cell") or 0),
                machine_type=self._machine_types.get(entry.get("machineType"), -1),
                weight=float(entry.get("weight") or 1.0),
                started_us=int(entry.get("startedAtMs") or 0) * 1000,
            )
        except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as error:
            raise MalformedListError(f"an entry cannot be read: {error!r}") from None
        return _Entry(endpoint, name, address)
