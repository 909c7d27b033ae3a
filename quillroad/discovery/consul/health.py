"""What an answer of `/v1/health/service/:name` says of each instance. No I/O.

Source: https://developer.hashicorp.com/consul/api-docs/health#list-service-instances-for-service.
Fields that are not named here are passed over. An entry that cannot be read is left out alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from quillroad.config import Address
from quillroad.discovery.instance import Instance, InstanceStatus

NODE_MAINTENANCE, SERVICE_MAINTENANCE = "_node_maintenance", "_service_maintenance:"
MOST_ENTRIES = 20_000  # of one answer: ten times the largest fleet
LEAST_WEIGHT = 1e-3
LONGEST_NUMBER = 15  # digits of a number in the metadata
SHOWN_CHARACTERS = 40  # of a value that makes no sense, in the reason


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
class MetadataKeys:
    """Under which keys of `Service.Meta` an instance tells what, and which tagged address to use.

    No tagged address: the service's own address, and the node's where it has none. Starts are Unix
    time in milliseconds.
    """

    zone: str = "zone"
    machine_type: str = "machine-type"
    cell: str = "cell"
    started: str = "started-at-ms"
    tagged_address: str = ""


class HealthReading(NamedTuple):
    """The instances, and a plain line for each entry that could not be read."""

    instances: tuple[Instance, ...]
    unread: tuple[str, ...]


def read_health(body: bytes, keys: MetadataKeys) -> HealthReading:
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
            instances.append(_instance(msgspec.json.decode(raw, type=_Entry), keys))
        except (msgspec.DecodeError, ValueError) as error:
            unread.append(f"entry {number}: {error}")
    return HealthReading(tuple(instances), tuple(unread))


def _instance(entry: _Entry, keys: MetadataKeys) -> Instance:
    node, service, meta = entry.Node, entry.Service, entry.Service.Meta or {}
    if not service.ID or not node.Node:
        raise ValueError("no name of a node or service")
    status, is_warning = status_of(entry.Checks or [])
    weights = service.Weights or _Weights()
    weight = weights.Warning if is_warning else weights.Passing
    return Instance(
        id=f"{node.Node}/{service.ID}",  # a service's id is unique within its node only
        address=_address(node, service, keys.tagged_address),
        status=status if weight > 0 else InstanceStatus.DRAINING,
        zone=meta.get(keys.zone, ""),
        machine_type=meta.get(keys.machine_type, ""),
        cell=_number(meta, keys.cell),
        weight=max(weight, LEAST_WEIGHT),
        started_us=_number(meta, keys.started) * 1000,
    )


def status_of(checks: list[_Check]) -> tuple[InstanceStatus, bool]:
    """The status that its checks give an instance, and whether there is a warning.

    Maintenance, of the node or of the service, is a drain: somebody wants it empty, and its process
    runs. Any other check that is critical makes it unhealthy. An unknown status is taken for
    critical.
    """
    if any(_is_maintenance(check) for check in checks):
        return InstanceStatus.DRAINING, False
    statuses = {check.Status for check in checks}
    if statuses - {"passing", "warning"}:
        return InstanceStatus.UNHEALTHY, False
    return InstanceStatus.UP, "warning" in statuses


def _is_maintenance(check: _Check) -> bool:
    return check.CheckID == NODE_MAINTENANCE or check.CheckID.startswith(SERVICE_MAINTENANCE)


def _tagged_address(node: _Node, service: _Service, tag: str) -> Address:
    """The service's address of this tag, or the node's; what they lack is as without a tag."""
    host, port = service.Address or node.Address, service.Port
    if not tag:
        return host, port
    tagged = (service.TaggedAddresses or {}).get(tag)
    if tagged is None:
        return (node.TaggedAddresses or {}).get(tag, host), port
    return tagged.address or tagged.Address or host, tagged.port or tagged.Port or port


def _address(node: _Node, service: _Service, tag: str) -> Address:
    host, port = _tagged_address(node, service, tag)
    if not host or not 0 < port < 65536:
        raise ValueError(f"no address: {host!r}:{port}")
    return host, port


def _number(meta: dict[str, str], key: str) -> int:
    text = meta.get(key, "")
    if not text:
        return 0
    if not (text.isascii() and text.isdigit() and len(text) <= LONGEST_NUMBER):
        shown = text[:SHOWN_CHARACTERS]
        raise ValueError(f"Meta.{key}: needs a whole number, not {shown!r}")
    return int(text)
