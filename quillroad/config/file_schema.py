"""Fields of the configuration file that operators write, with their types and defaults.

Field names are those of the file; `deploy/quillroad.toml` explains each field. Needs `msgspec`.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from quillroad.config.duration import DURATION

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Duration = Annotated[str, Meta(pattern=f"^{DURATION.pattern}$")]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Fraction = Annotated[float, Meta(gt=0, le=1)]
NonNegative = Annotated[float, Meta(ge=0)]


class GatewaySection(Struct, forbid_unknown_fields=True):
    """`[gateway]`: name, addresses, zone and seed of this gateway."""

    listen: Name
    name: Name = "gateway"
    seed: int = 0
    zone: str = ""
    admin: str = ""


class LimitsSection(Struct, forbid_unknown_fields=True):
    """`[limits]`: CPU and sockets that the process may use."""

    cores: Fraction = 1.0
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024


class ClassSection(Struct, forbid_unknown_fields=True):
    """`[[classes]]`: one class of requests, a route in the balancer's terms."""

    name: Name
    repeat: Literal["safe", "keyed", "unsafe"]
    deadline: Duration
    aim: Duration | None = None
    worth: NonNegative = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1)] = 0.0
    remembers: Duration = "0 s"
    remembered_by: Literal["all", "zone", "cell"] = "all"


class TenantSection(Struct, forbid_unknown_fields=True):
    """`[[tenants]]`: one tenant and its quota."""

    name: Name
    per_second: NonNegative


class AttemptsSection(Struct, forbid_unknown_fields=True):
    """`[tries]`: retries, hedges and the Retry-After of rejected requests."""

    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    second_copies: bool = True
    retry_after: Duration = "1 s"
    marked_by_clients: bool = False
    over_share_worth: Annotated[float, Meta(ge=0, le=1)] = 1.0


class ConnectionsSection(Struct, forbid_unknown_fields=True):
    """`[connections]`: connect timeout and idle timeout of connections to hosts."""

    connect: Duration = "1 s"
    idle: Duration = "15 s"


class SlowStartSection(Struct, forbid_unknown_fields=True):
    """`[starts]`: slow start of hosts and overload detection."""

    cold: Duration = "0 s"
    cold_from: Fraction = 1.0
    fall_multiple: Annotated[float, Meta(gt=0)] = 1.0
    fall_window: Duration = "1 s"


class PeersSection(Struct, forbid_unknown_fields=True):
    """`[peers]`: number of gateways, and the index of this one."""

    gateways: Count = 1
    number: Annotated[int, Meta(ge=0)] = 0


class HostSection(Struct, forbid_unknown_fields=True):
    """`[[hosts.static]]`: one host."""

    id: Name
    address: Name
    zone: str = ""
    machine_type: str = ""
    cell: Annotated[int, Meta(ge=0)] = 0
    weight: Annotated[float, Meta(gt=0)] = 1.0
    state: Literal["up", "draining"] = "up"


class ConsulMetadataSection(Struct, forbid_unknown_fields=True):
    """`[hosts.consul.meta]`: metadata keys of a host's zone, machine type, cell and start."""

    zone: str = "zone"
    machine_type: str = "machine-type"
    cell: str = "cell"
    started: str = "started-at-ms"


class ConsulSection(Struct, forbid_unknown_fields=True):
    """`[hosts.consul]`: the service to watch and the Consul agents to query."""

    agents: Annotated[list[Name], Meta(min_length=1, max_length=16)]
    service: Name
    tag: str = ""
    datacenter: str = ""
    namespace: str = ""
    filter: str = ""
    consistency: Literal["default", "stale", "consistent"] = "stale"
    token_file: str = ""
    wait: Duration = "2 s"
    most_stale: Duration = "10 s"
    tagged_address: str = ""
    meta: ConsulMetadataSection = msgspec.field(default_factory=ConsulMetadataSection)


class HostsSection(Struct, forbid_unknown_fields=True):
    """`[hosts]`: source of the list of hosts."""

    source: Literal["static", "consul"]
    static: list[HostSection] = []
    consul: ConsulSection | None = None
    zones: list[Name] = []
    machine_types: list[Name] = []


class RegisterSection(Struct, forbid_unknown_fields=True):
    """`[register]`: registration of the gateway itself in Consul."""

    agent: Name
    service: Name
    id: str = ""
    ttl: Duration = "15 s"
    token_file: str = ""


class ConfigurationFile(Struct, forbid_unknown_fields=True):
    """All sections of the configuration file."""

    gateway: GatewaySection
    classes: Annotated[list[ClassSection], Meta(min_length=1)]
    hosts: HostsSection
    limits: LimitsSection = msgspec.field(default_factory=LimitsSection)
    tenants: list[TenantSection] = []
    tries: AttemptsSection = msgspec.field(default_factory=AttemptsSection)
    connections: ConnectionsSection = msgspec.field(default_factory=ConnectionsSection)
    starts: SlowStartSection = msgspec.field(default_factory=SlowStartSection)
    peers: PeersSection = msgspec.field(default_factory=PeersSection)
    register: RegisterSection | None = None
