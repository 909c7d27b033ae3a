"""Decoder for answers of `/v1/health/service/:name`. No I/O.

Source: https://developer.hashicorp.com/consul/api-docs/health#list-service-instances-for-service.
Unknown fields are ignored. An entry that cannot be read is skipped; the others are still used.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from quillroad.config import Address
from quillroad.discovery.instance import Instance, InstanceStatus

NODE_MAINTENANCE, SERVICE_MAINTENANCE = "_node_maintenance", "_service_maintenance:"
MAX_ENTRIES = 20_000  # in one answer: ten times the largest fleet
MIN_WEIGHT = 1e-3
MAX_NUMBER_DIGITS = 15  # of a number in the metadata
SHOWN_CHARACTERS = 40  # of an invalid value, in the error


class ConsulError(Exception):
    """An answer that cannot be used; the message is a single line."""


class _TaggedAddress(msgspec.Struct):
    address: str = ""
    port: int = 0
    Address: str = ""  # node and service catalogue entries capitalise the names
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
    TaggedAddresses: dict[str, _TaggedAddress] | None = None
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
    """Keys of `Service.Meta` to read, and the tagged address to use.

    Without a tagged address the service's own address is used, or the node's if the service has
    none. The value under `started` is Unix time in milliseconds.
    """

    zone: str = "zone"
    machine_type: str = "machine-type"
    cell: str = "cell"
    started: str = "started-at-ms"
    tagged_address: str = ""


class HealthReading(NamedTuple):
    """The instances of an answer, and one message for each entry that could not be read."""

    instances: tuple[Instance, ...]
    unread: tuple[str, ...]


def read_health(body: bytes, keys: MetadataKeys) -> HealthReading:
    """Return the instances of an answer.

    Raises `ConsulError` if `body` is not a list of entries or has more than `MAX_ENTRIES`.
    """
    try:
        entries = msgspec.json.decode(body, type=list[msgspec.Raw])
    except msgspec.DecodeError as error:
        raise ConsulError(f"the answer is not a JSON list of entries: {error}") from None
    if len(entries) > MAX_ENTRIES:
        raise ConsulError(f"{len(entries)} entries, at most {MAX_ENTRIES} are accepted")
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
        raise ValueError("Node.Node or Service.ID is empty")
    status, is_warning = status_of(entry.Checks or [])
    weights = service.Weights or _Weights()
    weight = weights.Warning if is_warning else weights.Passing
    return Instance(
        id=f"{node.Node}/{service.ID}",  # a service id is unique only within its node
        address=_address(node, service, keys.tagged_address),
        status=status if weight > 0 else InstanceStatus.DRAINING,
        zone=meta.get(keys.zone, ""),
        machine_type=meta.get(keys.machine_type, ""),
        cell=_number(meta, keys.cell),
        weight=max(weight, MIN_WEIGHT),
        started_us=_number(meta, keys.started) * 1000,
    )


def status_of(checks: list[_Check]) -> tuple[InstanceStatus, bool]:
    """Return the status of an instance with these checks, and whether one of them warns.

    Maintenance of the node or the service counts as a drain: an operator wants the instance empty,
    and its process still runs. Any other critical check makes the instance unhealthy. An unknown
    check status counts as critical.
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
    """Return the service's address with this tag, or the node's.

    A host or port that the tagged address lacks is the one used without a tag.
    """
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
        raise ValueError(f"invalid address: {host!r}:{port}")
    return host, port


def _number(meta: dict[str, str], key: str) -> int:
    text = meta.get(key, "")
    if not text:
        return 0
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS):
        shown = text[:SHOWN_CHARACTERS]
        raise ValueError(f"Meta.{key}: expected a whole number, found {shown!r}")
    return int(text)
