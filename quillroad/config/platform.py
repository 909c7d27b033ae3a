"""Read the platform's configuration at start and reload: `GW_*` variables and a JSON file.

All values are checked here, once, so that a gateway that has started cannot fail later because a
value is missing.
"""

from __future__ import annotations

import json
import math
import zlib
from collections.abc import Mapping
from dataclasses import fields
from pathlib import Path
from typing import Any

from quillroad.balancing.platform_settings import read_settings
from quillroad.config.model import (
    LONG_BODY,
    MAX_PEER_MEMORY_BYTES,
    SHORT_BODY,
    Config,
    ConfigError,
    Peers,
    read_address,
)

# How the memory limit is divided (docs/design/memory.md).
PROCESS_MB = 36  # resident memory of a process without connections
CONNECTION_ALLOWANCE_BYTES = (
    14 * 1024
)  # of a descriptor: its objects, and what is not accounted for
# Part of the rest that is accounted for; the allocator needs the others for what it cannot reuse.
ACCOUNTED_FRACTION = 0.6
MIN_PEER_MEMORY_BYTES = 1024 * 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_NAME = "gateway"
DEFAULT_SOCKETS = 1024
DEFAULT_CONNECT_TIMEOUT_US = 1_000_000
DEFAULT_IDLE_US = 15_000_000
# Log names of the `Config` fields that operators know under another name.
LOGGED_NAMES = {"machine_types": "kinds", "peer_memory_bytes": "buffers"}


def load(environment: Mapping[str, str]) -> Config:
    """Read the configuration file that `GW_CONFIG` names; other `GW_*` variables override it.

    Raises `ConfigError` if a value is missing or invalid.
    """
    data = _read_file(environment)
    service = _value(data, "settings", dict, "settings")
    admin = _setting(environment, "GW_ADMIN_ADDR", data, "admin_addr")
    settings_limits = _value(service, "limits", dict, "settings.limits", {})
    try:
        settings = read_settings(service)
    except ValueError as error:
        raise ConfigError(f"settings.{error}") from None
    listen = _setting(environment, "GW_LISTEN", data, "listen")
    discovery = _setting(environment, "GW_DISCOVERY", data, "discovery")
    has_peers = settings_limits.get("peers") is True and data.get("peer_listen")
    return Config(
        name=str(_setting(environment, "GW_NAME", data, "name") or DEFAULT_NAME),
        listen=read_address(listen, "GW_LISTEN"),
        discovery=read_address(discovery, "GW_DISCOVERY"),
        seed=_seed(data.get("seed", 0)),
        sockets=_positive_int(_limits(data), "sockets", "limits.sockets", DEFAULT_SOCKETS),
        cores=_cores(_limits(data)),
        known_hosts=_value(data, "known", dict, "known", {}),
        settings=settings,
        tenants=_names(service, "orgs"),
        machine_types=_names(service, "models"),
        zones=_names(service, "zones"),
        connect_timeout_s=_seconds(settings_limits, "connect_timeout", DEFAULT_CONNECT_TIMEOUT_US),
        admin=read_address(admin, "admin_addr") if admin else None,
        longest_body=LONG_BODY if admin else SHORT_BODY,
        peer_memory_bytes=_peer_memory_bytes(_limits(data), 2 if admin else 1),
        peers=_peers(data) if has_peers else None,
        idle_s=_seconds(settings_limits, "conn_idle", DEFAULT_IDLE_US),
    )


def reload(environment: Mapping[str, str]) -> Config:
    """Read the configuration again.

    The file's `discovery` is used instead of GW_DISCOVERY, which is the address at the start of the
    process. Raises `ConfigError` like `load`.
    """
    return load({name: value for name, value in environment.items() if name != "GW_DISCOVERY"})


def changed_fields(old: Config, new: Config) -> list[str]:
    """Return the log names of the fields that differ and that a reload does not apply.

    The seed and the list of known hosts are left out: they are used only at start.
    """
    excluded = {"discovery", "hosts", "known_hosts", "seed", "peers", "peers_all"}
    names = [field.name for field in fields(Config) if field.name not in excluded]
    changed = [name for name in names if getattr(old, name) != getattr(new, name)]
    return [LOGGED_NAMES.get(name, name) for name in changed]


def _read_file(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: missing")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: cannot read {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"GW_CONFIG: {path} is not JSON: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"GW_CONFIG: {path} holds no JSON object")
    return data


def _setting(
    environment: Mapping[str, str], variable: str, data: Mapping[str, Any], key: str
) -> Any:
    """Return the environment variable, or the file's value if the variable is empty or not set."""
    return environment.get(variable) or data.get(key)


def _value(
    data: Mapping[str, Any], key: str, expected_type: type[Any], field: str, default: Any = None
) -> Any:
    value = data.get(key)
    if value is None:
        value = default
    if value is None:
        raise ConfigError(f"{field}: missing")
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise ConfigError(f"{field}: needs {expected_type.__name__}, not {type(value).__name__}")
    return value


def _limits(data: Mapping[str, Any]) -> Mapping[str, Any]:
    """Return the limits of the process, not those of the service (`settings.limits`)."""
    limits: Mapping[str, Any] = _value(data, "limits", dict, "limits", {})
    return limits


def _positive_int(data: Mapping[str, Any], key: str, field: str, default: int) -> int:
    value: int = _value(data, key, int, field, default)
    if value <= 0:
        raise ConfigError(f"{field}: must be above 0")
    return value


def _seconds(limits: Mapping[str, Any], key: str, default_us: int) -> float:
    return _positive_int(limits, key, f"settings.limits.{key}", default_us) / 1e6


def _positive_number(limits: Mapping[str, Any], key: str, default: float) -> float:
    value = limits.get(key, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < value < math.inf:
        raise ConfigError(f"limits.{key}: needs a number above 0, not {value!r}")
    return float(value)


def _cores(limits: Mapping[str, Any]) -> float:
    return min(1.0, _positive_number(limits, "cores", 1.0))  # the event loop is one thread


def _peer_memory_bytes(limits: Mapping[str, Any], processes: int) -> int:
    """Return the memory in bytes for what peers make the process hold.

    The memory of the processes themselves is subtracted from the limit of the platform first, and
    then the allowance of each connection. With an admin address an upgrade runs a second process.
    """
    memory_mb = _positive_number(limits, "memory_mb", DEFAULT_MEMORY_MB)
    sockets = _positive_int(limits, "sockets", "limits.sockets", DEFAULT_SOCKETS)
    rest = (memory_mb - processes * PROCESS_MB) * 2**20 - sockets * CONNECTION_ALLOWANCE_BYTES
    return max(MIN_PEER_MEMORY_BYTES, min(MAX_PEER_MEMORY_BYTES, int(ACCOUNTED_FRACTION * rest)))


def _peers(data: Mapping[str, Any]) -> Peers:
    peers = _value(data, "peers", list, "peers", [])
    addresses = tuple(read_address(address, f"peers[{i}]") for i, address in enumerate(peers))
    everyone = read_address(data["peers_all"], "peers_all") if data.get("peers_all") else None
    return Peers(read_address(data["peer_listen"], "peer_listen"), addresses, everyone)


def _names(data: Mapping[str, Any], key: str) -> tuple[str, ...]:
    names = _value(data, key, list, f"settings.{key}", [])
    return tuple(str(name.get("name")) if isinstance(name, dict) else str(name) for name in names)


def _seed(value: Any) -> int:
    """Return the seed of a hexadecimal text; any other value is hashed to a seed."""
    text = str(value)
    try:
        return int(text, 16)
    except ValueError:
        return zlib.crc32(text.encode())
