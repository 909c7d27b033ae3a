"""A gateway's configuration as typed values, independent of the form it was read from."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from quillroad.balancing.settings import Settings

Address = tuple[str, int]

# Bodies of up to this many bytes are kept whole; longer ones are streamed if they are allowed.
SHORT_BODY = 64 * 1024
# Maximum size of a body in bytes where an admin address is configured; otherwise SHORT_BODY.
LONG_BODY = 32 * 1024 * 1024
# Memory for all that peers make the process hold beyond the allowance of each connection: the
# maximum, and the default without a memory limit.
MAX_PEER_MEMORY_BYTES = 48 * 1024 * 1024
# Descriptors reserved for other purposes than connections. One process uses up to 22 (standard
# streams, event loop and its signals, listener, 8 calls to discovery), besides those that it
# inherited at its start (`inherited_descriptors`). The rest is for the few connections that the
# server accepts beyond its limit and for an accept in progress. During an upgrade, descriptors for
# two batches of connections are reserved in addition.
RESERVED = 32


class ConfigError(Exception):
    """The configuration is invalid; the message is one line that names the field."""


class Descriptors:
    """Count of open sockets, to clients and to hosts, against the process's descriptor limit.

    `limit` is the number of descriptors that the process may have open. Without this count the
    process would reach that limit, and an accept or a connect would fail where the gateway can no
    longer answer the client. A socket that is being closed counts until the next iteration of the
    event loop, which closes it.
    """

    def __init__(self, limit: int) -> None:
        self.limit = max(1, limit - RESERVED)
        self.used = 0

    def spare(self) -> int:
        """Return how many more sockets may be opened; negative after the limit was lowered."""
        return self.limit - self.used


@dataclass(frozen=True, slots=True)
class StaticHost:
    """One host of a static list; `kind` is its machine type."""

    id: str
    address: Address
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class StaticHosts:
    """A static list of hosts, from the configuration file."""

    hosts: tuple[StaticHost, ...]


@dataclass(frozen=True, slots=True)
class ConsulHosts:
    """Hosts that are discovered with Consul.

    Parameters of the query that are empty strings are not sent. `meta` holds the keys of
    Service.Meta for zone, machine type, cell and start time, in this order.
    """

    agents: tuple[Address, ...]
    service: str
    tag: str = ""
    datacenter: str = ""
    namespace: str = ""
    filter: str = ""
    consistency: str = "stale"
    token_file: Path | None = None
    wait_s: float = 2.0
    most_stale_s: float = 10.0
    tagged_address: str = ""
    meta: tuple[str, str, str, str] = ("zone", "machine-type", "cell", "started-at-ms")


@dataclass(frozen=True, slots=True)
class Register:
    """How the gateway registers itself with the Consul agent of its machine.

    An empty `id` is replaced by one that is made from the names of the service and the gateway.
    """

    agent: Address
    service: str
    id: str = ""
    ttl_s: float = 15.0
    token_file: Path | None = None


@dataclass(frozen=True, slots=True)
class Peers:
    """Addresses for messages between gateways.

    `listen` is where this gateway receives them. `addresses` holds the address of each gateway by
    its number, including this one. A datagram to `everyone` reaches all gateways; None: there is no
    such address.
    """

    listen: Address
    addresses: tuple[Address, ...]
    everyone: Address | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """One gateway's configuration.

    `tenants`, `machine_types` and `zones` are the names used on the wire, in the order of the
    settings. `known_hosts` is an endpoint list in the platform's format, empty if the platform
    gave none.
    """

    name: str
    listen: Address
    discovery: Address | None  # of the platform; None: hosts come from `hosts`
    seed: int
    sockets: int
    cores: float  # CPU limit of the process: CPU seconds per second, at most 1
    known_hosts: Mapping[str, Any]
    settings: Settings
    tenants: tuple[str, ...]
    machine_types: tuple[str, ...]
    zones: tuple[str, ...]
    connect_timeout_s: float
    idle_s: float
    hosts: StaticHosts | ConsulHosts | None = None
    register: Register | None = None
    admin: Address | None = None  # listener for operators; None: no listener
    longest_body: int = SHORT_BODY  # bytes of a request or response body, at least SHORT_BODY
    peer_memory_bytes: int = MAX_PEER_MEMORY_BYTES  # for `MemoryAccount`
    peers: Peers | None = None  # None: the platform allows no messages between gateways

    @property
    def longest_deadline_s(self) -> float:
        """Longest deadline of all routes, in seconds; 0 without routes."""
        return max((route.deadline_us for route in self.settings.routes), default=0) / 1e6


def read_address(text: Any, field: str) -> Address:
    """Return the host and port of an address such as `10.0.0.4:8000`.

    Raises `ConfigError` with the field's name if the text is not of this form.
    """
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise ConfigError(f"{field}: needs address:port, not {text!r}")
    return host, int(port)
