"""The configuration that people write: one TOML file, checked whole, turned into the same typed values.

Needs `msgspec`, which the platform's own form does not: imported only where a file is read. Every error is
one line that names the field, the value and what was wanted. `deploy/quillroad.toml` explains each field.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

from quillroad.balancing.settings import DeduplicationScope, Idempotency, Route, Settings
from quillroad.config.model import (
    LONG_BODY,
    SHORT_BODY,
    Address,
    Config,
    ConfigError,
    ConsulHosts,
    Register,
    StaticHost,
    StaticHosts,
    read_address,
)

UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000}
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?(us|ms|s|min)")

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Duration = Annotated[str, Meta(pattern=f"^{DURATION.pattern}$")]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Part = Annotated[float, Meta(gt=0, le=1)]
Amount = Annotated[float, Meta(ge=0)]


class _Gateway(Struct, forbid_unknown_fields=True):
    listen: Name
    name: Name = "gateway"
    seed: int = 0
    zone: str = ""
    admin: str = ""


class _Limits(Struct, forbid_unknown_fields=True):
    cores: Part = 1.0
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024


class _Class(Struct, forbid_unknown_fields=True):
    name: Name
    repeat: Literal["safe", "keyed", "unsafe"]
    deadline: Duration
    aim: Duration | None = None
    worth: Amount = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1)] = 0.0
    remembers: Duration = "0 s"
    remembered_by: Literal["all", "zone", "cell"] = "all"


class _Tenant(Struct, forbid_unknown_fields=True):
    name: Name
    per_second: Amount


class _Tries(Struct, forbid_unknown_fields=True):
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    second_copies: bool = True
    retry_after: Duration = "1 s"
    marked_by_clients: bool = False
    over_share_worth: Annotated[float, Meta(ge=0, le=1)] = 1.0


class _Connections(Struct, forbid_unknown_fields=True):
    connect: Duration = "1 s"
    idle: Duration = "15 s"


class _Starts(Struct, forbid_unknown_fields=True):
    cold: Duration = "0 s"
    cold_from: Part = 1.0
    fall_multiple: Annotated[float, Meta(gt=0)] = 1.0
    fall_window: Duration = "1 s"


class _Peers(Struct, forbid_unknown_fields=True):
    gateways: Count = 1
    number: Annotated[int, Meta(ge=0)] = 0


class _Host(Struct, forbid_unknown_fields=True):
    id: Name
    address: Name
    zone: str = ""
    machine_type: str = ""
    cell: Annotated[int, Meta(ge=0)] = 0
    weight: Annotated[float, Meta(gt=0)] = 1.0
    state: Literal["up", "draining"] = "up"


class _ConsulMeta(Struct, forbid_unknown_fields=True):
    zone: str = "zone"
    machine_type: str = "machine-type"
    cell: str = "cell"
    started: str = "started-at-ms"


class _Consul(Struct, forbid_unknown_fields=True):
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
    meta: _ConsulMeta = msgspec.field(default_factory=_ConsulMeta)


class _Hosts(Struct, forbid_unknown_fields=True):
    source: Literal["static", "consul"]
    static: list[_Host] = []
    consul: _Consul | None = None
    zones: list[Name] = []
    machine_types: list[Name] = []


class _Register(Struct, forbid_unknown_fields=True):
    agent: Name
    service: Name
    id: str = ""
    ttl: Duration = "15 s"
    token_file: str = ""


class _File(Struct, forbid_unknown_fields=True):
    gateway: _Gateway
    classes: Annotated[list[_Class], Meta(min_length=1)]
    hosts: _Hosts
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []
    tries: _Tries = msgspec.field(default_factory=_Tries)
    connections: _Connections = msgspec.field(default_factory=_Connections)
    starts: _Starts = msgspec.field(default_factory=_Starts)
    peers: _Peers = msgspec.field(default_factory=_Peers)
    register: _Register | None = None


T = TypeVar("T")


def load_file(path: Path) -> Config:
    """The configuration in a file; raises `ConfigError` where it cannot work."""
    return _config(read_toml(path, _File))


def read_toml(path: Path, kind: type[T]) -> T:
    """A TOML file as typed values; raises `ConfigError` with one line for what is wrong first."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: cannot read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        raise ConfigError(_explain(str(error), data)) from None


def microseconds(text: str, field: str) -> int:
    """A duration such as `580 ms` or `1.4 s`."""
    found = DURATION.fullmatch(text)
    if found is None:
        raise ConfigError(f"{field}: needs a duration such as '580 ms', not {text!r}")
    return round(float(found[1]) * UNITS[found[2]])


def _explain(text: str, data: dict[str, Any]) -> str:
    """One line with the field, the value there and what was wanted, out of msgspec's."""
    what, _, where = text.partition(" - at `$")
    path = where.rstrip("`").lstrip(".")
    value: Any = data
    for part in re.findall(r"[^.\[\]]+", path):
        try:
            value = value[int(part)] if isinstance(value, list) else value[part]
        except (KeyError, IndexError, TypeError, ValueError):
            break
    unknown = re.search(r"unknown field `([^`]*)`", what)
    missing = re.search(r"missing required field `([^`]*)`", what)
    if unknown:
        return f"{'.'.join(filter(None, (path, unknown[1])))}: no such field"
    if missing:
        return f"{'.'.join(filter(None, (path, missing[1])))}: missing"
    if "(us|ms|s|min)" in what:  # the pattern, which msgspec shows with its own escapes
        what = "Expected a duration such as '580 ms'"
    return f"{path}: {what[0].lower()}{what[1:]}, not {str(value)[:60]!r}"


def _address(text: str, field: str) -> Address:
    host, port = read_address(text, field)
    if port == 0:
        raise ConfigError(f"{field}: needs a port above 0, not {text!r}")
    return host, port


def _distinct(names: list[str], field: str) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ConfigError(f"{field}: {name!r} is there twice")


def _routes(told: list[_Class]) -> tuple[Route, ...]:
    routes = []
    for i, one in enumerate(told):
        at = f"classes[{i}]"
        deadline_us = microseconds(one.deadline, f"{at}.deadline")
        aim_us = None if one.aim is None else microseconds(one.aim, f"{at}.aim")
        if deadline_us <= 0:
            raise ConfigError(f"{at}.deadline: needs a time above 0, not {one.deadline!r}")
        if aim_us is not None and not 0 < aim_us <= deadline_us:
            raise ConfigError(
                f"{at}.aim: needs a time above 0 and within the deadline, not {one.aim!r}"
            )
        remembers_us = microseconds(one.remembers, f"{at}.remembers")
        if one.repeat == "keyed" and not remembers_us:
            raise ConfigError(
                f"{at}.remembers: needs the time for which hosts drop a repeat, not '0 s'"
            )
        routes.append(
            Route(
                name=one.name,
                idempotency=Idempotency(one.repeat),
                latency_objective_us=aim_us,
                deadline_us=deadline_us,
                priority_weight=one.worth,
                late_weight=one.late_worth,
                deduplication_scope=DeduplicationScope(one.remembered_by),
                deduplication_window_us=remembers_us,
            )
        )
    return tuple(routes)


def _source(told: _Hosts) -> StaticHosts | ConsulHosts:
    if told.source == "static":
        if not told.static:
            raise ConfigError("hosts.static: needs at least one host")
        _distinct([host.id for host in told.static], "hosts.static")
        return StaticHosts(
            tuple(
                StaticHost(
                    host.id,
                    _address(host.address, f"hosts.static[{i}].address"),
                    host.zone,
                    host.machine_type,
                    host.cell,
                    host.weight,
                    host.state == "draining",
                )
                for i, host in enumerate(told.static)
            )
        )
    consul = told.consul
    if consul is None:
        raise ConfigError("hosts.consul: missing")
    _distinct(consul.agents, "hosts.consul.agents")
    return ConsulHosts(
        agents=tuple(_address(a, f"hosts.consul.agents[{i}]") for i, a in enumerate(consul.agents)),
        service=consul.service,
        tag=consul.tag,
        datacenter=consul.datacenter,
        namespace=consul.namespace,
        filter=consul.filter,
        consistency=consul.consistency,
        token_file=Path(consul.token_file) if consul.token_file else None,
        wait_s=within(consul.wait, "hosts.consul.wait", 0.1, 600.0),
        most_stale_s=within(consul.most_stale, "hosts.consul.most_stale", 0.0, 3600.0),
        tagged_address=consul.tagged_address,
        meta=(consul.meta.zone, consul.meta.machine_type, consul.meta.cell, consul.meta.started),
    )


def within(text: str, field: str, least_s: float, most_s: float) -> float:
    seconds = microseconds(text, field) / 1e6
    if not least_s <= seconds <= most_s:
        raise ConfigError(f"{field}: needs a time from {least_s:g} s to {most_s:g} s, not {text!r}")
    return seconds


def output_file(text: str, field: str, name: str) -> Path | None:
    """Where a gateway of this name writes what `text` says, with {name} for its name; None: nowhere."""
    if not text:
        return None
    path = Path(text.replace("{name}", name))
    if "/" in name or not path.parent.is_dir():
        raise ConfigError(f"{field}: no such folder: {path.parent}")
    return path


def _register(told: _Register | None) -> Register | None:
    if told is None:
        return None
    return Register(
        _address(told.agent, "register.agent"),
        told.service,
        told.id,
        within(told.ttl, "register.ttl", 0.5, 3600.0),
        Path(told.token_file) if told.token_file else None,
    )


def _config(told: _File) -> Config:
    _distinct([one.name for one in told.classes], "classes")
    _distinct([one.name for one in told.tenants], "tenants")
    hosts = told.hosts
    zones = list(dict.fromkeys([*hosts.zones, *(h.zone for h in hosts.static if h.zone)]))
    listed = (host.machine_type for host in hosts.static if host.machine_type)
    kinds = list(dict.fromkeys([*hosts.machine_types, *listed]))
    if told.gateway.zone and told.gateway.zone not in zones:
        raise ConfigError(f"gateway.zone: needs one of hosts.zones, not {told.gateway.zone!r}")
    if told.peers.number >= told.peers.gateways:
        raise ConfigError(
            f"peers.number: needs a number below peers.gateways, not {told.peers.number}"
        )
    retry_after_us = microseconds(told.tries.retry_after, "tries.retry_after")
    window_us = microseconds(told.starts.fall_window, "starts.fall_window")
    if not window_us:
        raise ConfigError(
            f"starts.fall_window: needs a time above 0, not {told.starts.fall_window!r}"
        )
    connect_s = microseconds(told.connections.connect, "connections.connect") / 1e6
    idle_s = microseconds(told.connections.idle, "connections.idle") / 1e6
    if not connect_s or not idle_s:
        raise ConfigError("connections: needs times above 0 for connect and idle")
    settings = Settings(
        routes=_routes(told.classes),
        gateway_count=told.peers.gateways,
        gateway_index=told.peers.number,
        zone=zones.index(told.gateway.zone) if told.gateway.zone else 0,
        tenant_quotas_per_s=tuple(tenant.per_second for tenant in told.tenants),
        over_quota_weight=told.tries.over_share_worth,
        max_attempts=told.tries.attempts,
        hedging_allowed=told.tries.second_copies,
        cancellation_allowed=True,
        retry_after_allowed=retry_after_us > 0,
        max_retry_after_us=retry_after_us,
        warm_up_us=microseconds(told.starts.cold, "starts.cold"),
        initial_capacity=told.starts.cold_from,
        overload_multiple=told.starts.fall_multiple,
        overload_window_us=window_us,
        clients_mark_retries=told.tries.marked_by_clients,
    )
    return Config(
        name=told.gateway.name,
        listen=read_address(told.gateway.listen, "gateway.listen"),
        discovery=None,
        seed=told.gateway.seed,
        sockets=told.limits.sockets,
        cores=told.limits.cores,
        known={},
        settings=settings,
        tenants=tuple(tenant.name for tenant in told.tenants),
        kinds=tuple(kinds),
        zones=tuple(zones),
        connect_timeout_s=connect_s,
        idle_s=idle_s,
        hosts=_source(hosts),
        register=_register(told.register),
        admin=_address(told.gateway.admin, "gateway.admin") if told.gateway.admin else None,
        longest_body=LONG_BODY if told.gateway.admin else SHORT_BODY,
    )
