"""A gateway's configuration as typed values, whatever it was read from."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from quillroad.balancing.settings import Settings

Address = tuple[str, int]

SHORT_BODY = (
    64 * 1024
)  # bytes of a body that is kept whole; where longer ones are allowed they are streamed
LONG_BODY = 32 * 1024 * 1024  # bytes that operators' days allow
BUFFERS = 24 * 1024 * 1024  # of long bodies, where nothing tells of memory
# Descriptors for what is no connection. Counted: 15 of one process (standard streams, event loop and its
# signals, listener, watch), besides those it was started with (`inherited.py`); `server.EXCESS` and an accept
# at hand fit in the rest. Beside another process two batches are set apart, too.
RESERVED = 24


class ConfigError(Exception):
    """The configuration cannot work; the text is one plain line that names the field."""


class Descriptors:
    """Counts the open sockets of both sides. Guards against running into the process's limit, where an
    accept or a connect fails at a place that can no longer answer anyone. One that is being closed counts
    until that is done: the loop comes round to a close a turn later."""

    def __init__(self, limit: int) -> None:
        self.limit = max(1, limit - RESERVED)
        self.used = 0

    def spare(self) -> int:
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
    """Hosts that Consul knows; empty texts leave a parameter out. `meta` are the keys of Service.Meta for
    zone, machine type, cell and start."""

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
    """How the gateway registers itself with Consul, at the agent that it runs beside. An empty `id` follows
    from the service's name and the gateway's."""

    agent: Address
    service: str
    id: str = ""
    ttl_s: float = 15.0
    token_file: Path | None = None


@dataclass(frozen=True, slots=True)
class Peers:
    """Where this gateway hears others, the address of each by its number, its own among them, and the one at
    which a datagram reaches all, if there is one."""

    listen: Address
    addresses: tuple[Address, ...]
    everyone: Address | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """One gateway's configuration. The names that the sockets use stand in their order in the settings."""

    name: str
    listen: Address
    discovery: Address | None  # the platform's; None where `hosts` says where they stand
    seed: int
    sockets: int
    cores: float  # of CPU time a second that the platform allows
    known: Mapping[str, Any]
    settings: Settings
    tenants: tuple[str, ...]
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    connect_timeout_s: float
    idle_s: float
    hosts: StaticHosts | ConsulHosts | None = None
    register: Register | None = None
    admin: Address | None = None  # where operators call; None: nowhere
    longest_body: int = SHORT_BODY  # of requests and answers, in bytes, from SHORT_BODY on
    buffers: int = BUFFERS  # bytes of long bodies that are held at once
    peers: Peers | None = None  # None: the platform allows no talk between gateways


def read_address(text: Any, field: str) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise ConfigError(f"{field}: needs address:port, not {text!r}")
    return host, int(port)
