"""Read the TOML configuration file that operators write and check all of it.

Needs `msgspec`, which the platform's JSON form does not: imported only where a file is read. Every
error is one line that names the field, the value found and the expected form. `file_schema` defines
the fields, `deploy/quillroad.toml` explains each.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from quillroad.balancing.settings import DeduplicationScope, Idempotency, Route, Settings
from quillroad.config.duration import microseconds, within
from quillroad.config.file_schema import (
    ClassSection,
    ConfigurationFile,
    ConsulSection,
    Duration,
    HostSection,
    HostsSection,
    PeersSection,
    RegisterSection,
    SlowStartSection,
)
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
from quillroad.config.toml import read_toml

__all__ = ["Duration", "load_file", "microseconds", "output_file", "read_toml", "within"]


def load_file(path: Path) -> Config:
    """Return the configuration in a file. Raises `ConfigError` if it is invalid."""
    return _config(read_toml(path, ConfigurationFile))


def output_file(text: str, field: str, name: str) -> Path | None:
    """Return the path of an output file: `text` with `{name}` replaced by the gateway's name.

    Returns None for an empty text: no file is written. Raises `ConfigError` if the folder does not
    exist, or if the name contains a slash and would lead to another folder.
    """
    if not text:
        return None
    path = Path(text.replace("{name}", name))
    if "/" in name or not path.parent.is_dir():
        raise ConfigError(f"{field}: no such folder: {path.parent}")
    return path


def _config(file: ConfigurationFile) -> Config:
    _require_unique([class_section.name for class_section in file.classes], "classes")
    _require_unique([tenant_section.name for tenant_section in file.tenants], "tenants")
    zones = _zones(file)
    _check_peers(file.peers)
    window_us = _overload_window_us(file.starts)
    connect_s, idle_s = _connection_timeouts(file)
    settings = _settings(file, zones, window_us)
    gateway = file.gateway
    return Config(
        name=gateway.name,
        listen=read_address(gateway.listen, "gateway.listen"),
        discovery=None,
        seed=gateway.seed,
        sockets=file.limits.sockets,
        cores=file.limits.cores,
        known_hosts={},
        settings=settings,
        tenants=tuple(tenant.name for tenant in file.tenants),
        machine_types=_machine_types(file.hosts),
        zones=zones,
        connect_timeout_s=connect_s,
        idle_s=idle_s,
        hosts=_host_source(file.hosts),
        register=_registration(file.register),
        admin=_address_with_port(gateway.admin, "gateway.admin") if gateway.admin else None,
        longest_body=LONG_BODY if gateway.admin else SHORT_BODY,
    )


def _zones(file: ConfigurationFile) -> tuple[str, ...]:
    """Return all zones that the file names, each once, in order of first occurrence."""
    hosts = file.hosts
    of_hosts = (host.zone for host in hosts.static if host.zone)
    zones = tuple(dict.fromkeys([*hosts.zones, *of_hosts]))
    if file.gateway.zone and file.gateway.zone not in zones:
        raise ConfigError(f"gateway.zone: needs one of hosts.zones, not {file.gateway.zone!r}")
    return zones


def _machine_types(hosts: HostsSection) -> tuple[str, ...]:
    of_hosts = (host.machine_type for host in hosts.static if host.machine_type)
    return tuple(dict.fromkeys([*hosts.machine_types, *of_hosts]))


def _check_peers(peers: PeersSection) -> None:
    if peers.number >= peers.gateways:
        raise ConfigError(f"peers.number: needs a number below peers.gateways, not {peers.number}")


def _overload_window_us(starts: SlowStartSection) -> int:
    window_us = microseconds(starts.fall_window, "starts.fall_window")
    if not window_us:
        raise ConfigError(f"starts.fall_window: needs a time above 0, not {starts.fall_window!r}")
    return window_us


def _settings(file: ConfigurationFile, zones: Sequence[str], window_us: int) -> Settings:
    peers, attempts, starts = file.peers, file.tries, file.starts
    retry_after_us = microseconds(attempts.retry_after, "tries.retry_after")
    return Settings(
        routes=tuple(
            _route(class_section, f"classes[{i}]") for i, class_section in enumerate(file.classes)
        ),
        gateway_count=peers.gateways,
        gateway_index=peers.number,
        zone=zones.index(file.gateway.zone) if file.gateway.zone else 0,
        tenant_quotas_per_s=tuple(tenant.per_second for tenant in file.tenants),
        over_quota_weight=attempts.over_share_worth,
        max_attempts=attempts.attempts,
        hedging_allowed=attempts.second_copies,
        cancellation_allowed=True,
        retry_after_allowed=retry_after_us > 0,
        max_retry_after_us=retry_after_us,
        warm_up_us=microseconds(starts.cold, "starts.cold"),
        initial_capacity=starts.cold_from,
        overload_multiple=starts.fall_multiple,
        overload_window_us=window_us,
        clients_mark_retries=attempts.marked_by_clients,
    )


def _connection_timeouts(file: ConfigurationFile) -> tuple[float, float]:
    """Return the connect timeout and the idle timeout, in seconds."""
    connect_s = microseconds(file.connections.connect, "connections.connect") / 1e6
    idle_s = microseconds(file.connections.idle, "connections.idle") / 1e6
    if not connect_s or not idle_s:
        raise ConfigError("connections: needs times above 0 for connect and idle")
    return connect_s, idle_s


def _route(section: ClassSection, field: str) -> Route:
    deadline_us = microseconds(section.deadline, f"{field}.deadline")
    objective_us = None if section.aim is None else microseconds(section.aim, f"{field}.aim")
    if deadline_us <= 0:
        raise ConfigError(f"{field}.deadline: needs a time above 0, not {section.deadline!r}")
    if objective_us is not None and not 0 < objective_us <= deadline_us:
        raise ConfigError(
            f"{field}.aim: needs a time above 0 and within the deadline, not {section.aim!r}"
        )
    window_us = microseconds(section.remembers, f"{field}.remembers")
    if section.repeat == "keyed" and not window_us:
        raise ConfigError(
            f"{field}.remembers: needs the time for which hosts drop a repeat, not '0 s'"
        )
    return Route(
        name=section.name,
        idempotency=Idempotency(section.repeat),
        latency_objective_us=objective_us,
        deadline_us=deadline_us,
        priority_weight=section.worth,
        late_weight=section.late_worth,
        deduplication_scope=DeduplicationScope(section.remembered_by),
        deduplication_window_us=window_us,
    )


def _host_source(hosts: HostsSection) -> StaticHosts | ConsulHosts:
    if hosts.source == "static":
        if not hosts.static:
            raise ConfigError("hosts.static: needs at least one host")
        _require_unique([host.id for host in hosts.static], "hosts.static")
        return StaticHosts(
            tuple(_static_host(host, f"hosts.static[{i}]") for i, host in enumerate(hosts.static))
        )
    if hosts.consul is None:
        raise ConfigError("hosts.consul: missing")
    return _consul_hosts(hosts.consul)


def _static_host(host: HostSection, field: str) -> StaticHost:
    return StaticHost(
        host.id,
        _address_with_port(host.address, f"{field}.address"),
        host.zone,
        host.machine_type,
        host.cell,
        host.weight,
        host.state == "draining",
    )


def _consul_hosts(consul: ConsulSection) -> ConsulHosts:
    _require_unique(consul.agents, "hosts.consul.agents")
    meta = consul.meta
    return ConsulHosts(
        agents=tuple(
            _address_with_port(agent, f"hosts.consul.agents[{i}]")
            for i, agent in enumerate(consul.agents)
        ),
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
        meta=(meta.zone, meta.machine_type, meta.cell, meta.started),
    )


def _registration(register: RegisterSection | None) -> Register | None:
    if register is None:
        return None
    return Register(
        _address_with_port(register.agent, "register.agent"),
        register.service,
        register.id,
        within(register.ttl, "register.ttl", 0.5, 3600.0),
        Path(register.token_file) if register.token_file else None,
    )


def _address_with_port(text: str, field: str) -> Address:
    host, port = read_address(text, field)
    if port == 0:
        raise ConfigError(f"{field}: needs a port above 0, not {text!r}")
    return host, port


def _require_unique(names: Sequence[str], field: str) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ConfigError(f"{field}: {name!r} is there twice")
