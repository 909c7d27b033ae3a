"""A gateway's configuration as typed values, whatever it was read from."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from quillroad.balancing.settings import Settings

Address = tuple[str, int]

SHORT_BODY = 64 * 1024  # bytes of a body that is kept whole; longer ones are streamed if allowed
LONG_BODY = 32 * 1024 * 1024  # bytes that the operators allow where they have an address
BUFFERS = 24 * 1024 * 1024  # of long bodies, where nothing tells of memory
# Descriptors for what is no connection. Counted: 15 of one process (standard streams, event loop
# and its signals, listener, watch), besides those it was started with (`inherited_descriptors`);
# the server's few beyond its places and an accept at hand fit in the rest. In an upgrade two
# batches of connections are set apart, too.
RESERVED = 24


class ConfigError(Exception):
    """The configuration cannot work; the text is one plain line that names the field."""


class Descriptors:
    """Counts the open sockets of both sides, of `limit` descriptors that the process may hold.

    Without this the process runs into its limit, and an accept or a connect fails at a place that
    can no longer answer anyone. A socket that is being closed counts until that is done, an
    iteration of the event loop later.
    """

    def __init__(self, limit: int) -> None:
        self.limit = max(1, limit - RESERVED)
        self.used = 0

    def spare(self) -> int:
        """How many more may be opened; below 0 after the limit was lowered."""
        return self.limit - self.used


@dataclass(frozen=True, slots=True)
class StaticHost:
    """One host that stands in a file."""

    id: str
    address: Address
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class StaticHosts:
    """Hosts that stand in a file."""

    hosts: tuple[StaticHost, ...]


@dataclass(frozen=True, slots=True)
class ConsulHosts:
    """Hosts that Consul knows; empty texts leave a parameter out.

    `meta` are the keys of Service.Meta for zone, machine type, cell and start.
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
    """How the gateway registers itself with Consul, at the agent that it runs beside.

    An empty `id` follows from the service's name and the gateway's.
    """

    agent: Address
    service: str
    id: str = ""
    ttl_s: float = 15.0
    token_file: Path | None = None


@dataclass(frozen=True, slots=True)
class Peers:
    """Where this gateway hears others, and the address of each by its number, its own among them.

    `everyone` is the one at which a datagram reaches all, if there is one.
    """

    listen: Address
    addresses: tuple[Address, ...]
    everyone: Address | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """One gateway's configuration.

    `tenants`, `machine_types` and `zones` are the names that the wire uses, in the order of the
    settings; `known_hosts` is an endpoint list in the platform's form, empty where it gave none.
    """

    name: str
    listen: Address
    discovery: Address | None  # the platform's; None where `hosts` says where they stand
    seed: int
    sockets: int
    cores: float  # of CPU time a second that the platform allows
    known_hosts: Mapping[str, Any]
    settings: Settings
    tenants: tuple[str, ...]
    machine_types: tuple[str, ...]
    zones: tuple[str, ...]
    connect_timeout_s: float
    idle_s: float
    hosts: StaticHosts | ConsulHosts | None = None
    register: Register | None = None
    admin: Address | None = None  # where operators call; None: nowhere
    longest_body: int = SHORT_BODY  # of requests and answers, in bytes, from SHORT_BODY on
    body_budget_bytes: int = BUFFERS  # of long bodies that are in memory at once
    peers: Peers | None = None  # None: the platform allows no talk between gateways

    @property
    def longest_deadline_s(self) -> float:
        """Seconds for which any client waits at most; 0 without routes."""
        return max((route.deadline_us for route in self.settings.routes), default=0) / 1e6


def read_address(text: Any, field: str) -> Address:
    """An address such as `10.0.0.4:8000`. Raises `ConfigError` that names the field."""
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise ConfigError(f"{field}: needs address:port, not {text!r}")
    return host, int(port)
