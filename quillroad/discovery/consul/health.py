"""What an answer of `/v1/health/service/:name` says of each instance. No I/O.

Source: https://developer.hashicorp.com/consul/api-docs/health#list-service-instances-for-service. Fields that
are not named here are passed over. An entry that cannot be read costs itself and no other.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from quillroad.config import Address
from quillroad.discovery.instance import Instance, Standing

NODE_MAINTENANCE, SERVICE_MAINTENANCE = "_node_maintenance", "_service_maintenance:"
MOST_ENTRIES = 20_000  # of one answer


class ConsulError(Exception):
    """An answer that cannot be used; the text is one plain line."""


class _Tagged(msgspec.Struct):
    address: str = ""
    port: int = 0
    Address: str = ""  # the catalogue writes its names large
    Port: int = 0


class _Weights(msgspec.Struct):
    Passing: float = 1.0
    Warning: float = 1.0


class _Node(msgspec.Struct):
    Node: str
    Address: str = ""
    TaggedAddresses: dict[str, str] | None = None


class _Service(msgspec.Struct):
    ID: str
    Address: str = ""
    Port: int = 0
    TaggedAddresses: dict[str, _Tagged] | None = None
    Meta: dict[str, str] | None = None
    Weights: _Weights | None = None


class _Check(msgspec.Struct):
    CheckID: str = ""
    Status: str = ""


class _Entry(msgspec.Struct):
    Node: _Node
    Service: _Service
    Checks: list[_Check] | None = None


@dataclass(frozen=True, slots=True)
class Mapping:
    """Under which keys of `Service.Meta` an instance tells what, and which tagged address to use (empty: the
    service's own address, and the node's where it has none). Starts are Unix time in milliseconds."""

    zone: str = "zone"
    kind: str = "machine-type"
    cell: str = "cell"
    started: str = "started-at-ms"
    tagged_address: str = ""


class Reading(NamedTuple):
    """The instances, and a plain line for each entry that could not be read."""

    instances: tuple[Instance, ...]
    unread: tuple[str, ...]


def read_health(body: bytes, mapping: Mapping) -> Reading:
    """All entries of an answer; raises `ConsulError` where it is no list of entries."""
    try:
        entries = msgspec.json.decode(body, type=list[msgspec.Raw])
    except msgspec.DecodeError as error:
        raise ConsulError(f"no list of entries: {error}") from None
    if len(entries) > MOST_ENTRIES:
        raise ConsulError(f"{len(entries)} entries, at most {MOST_ENTRIES} are taken")
    instances, unread = [], []
    for number, raw in enumerate(entries):
        try:
            instances.append(_instance(msgspec.json.decode(raw, type=_Entry), mapping))
        except (msgspec.DecodeError, ValueError) as error:
            unread.append(f"entry {number}: {error}")
    return Reading(tuple(instances), tuple(unread))


def _instance(entry: _Entry, mapping: Mapping) -> Instance:
    node, service, meta = entry.Node, entry.Service, entry.Service.Meta or {}
    if not service.ID or not node.Node:
        raise ValueError("no name of a node or service")
    standing, warning = judge(entry.Checks or [])
    weights = service.Weights or _Weights()
    weight = weights.Warning if warning else weights.Passing
    return Instance(
        id=f"{node.Node}/{service.ID}",  # a service's id is unique within its node only
        address=_address(node, service, mapping.tagged_address),
        standing=standing if weight > 0 else Standing.DRAINING,
        zone=meta.get(mapping.zone, ""),
        kind=meta.get(mapping.kind, ""),
        cell=_number(meta, mapping.cell),
        weight=max(weight, 1e-3),
        started_us=_number(meta, mapping.started) * 1000,
    )


def judge(checks: list[_Check]) -> tuple[Standing, bool]:
    """The standing that its checks give an instance, and whether it is a warning.

    Maintenance, of the node or of the service, is a drain: somebody wants it empty, and its process runs. Any
    other check that is critical puts it out. A status that is not known is taken for critical."""
    if any(
        c.CheckID == NODE_MAINTENANCE or c.CheckID.startswith(SERVICE_MAINTENANCE) for c in checks
    ):
        return Standing.DRAINING, False
    statuses = {check.Status for check in checks}
    if statuses - {"passing", "warning"}:
        return Standing.OUT, False
    return Standing.UP, "warning" in statuses


def _address(node: _Node, service: _Service, tag: str) -> Address:
    host, port = service.Address or node.Address, service.Port
    if tag:
        told = (service.TaggedAddresses or {}).get(tag)
        if told is not None:
            host, port = told.address or told.Address or host, told.port or told.Port or port
        elif tag in (node.TaggedAddresses or {}):
            host = (node.TaggedAddresses or {})[tag]
    if not host or not 0 < port < 65536:
        raise ValueError(f"no address: {host!r}:{port}")
    return host, port


def _number(meta: dict[str, str], key: str) -> int:
    text = meta.get(key, "")
    if not text:
        return 0
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise ValueError(f"Meta.{key}: needs a whole number, not {text[:40]!r}")
    return int(text)
