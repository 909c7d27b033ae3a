"""What the platform tells a gateway at its start and at a reload: `GW_*` and the JSON file.

Everything is checked here, once, so that a gateway that came up misses no value later.
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
    BUFFERS,
    LONG_BODY,
    SHORT_BODY,
    Config,
    ConfigError,
    Peers,
    read_address,
)

PROCESSES_MB = 48  # two processes without any body: 40 MB measured, and a reserve
DEFAULT_MEMORY_MB = 192
DEFAULT_NAME = "gateway"
DEFAULT_SOCKETS = 1024
DEFAULT_CONNECT_TIMEOUT_US = 1_000_000
DEFAULT_IDLE_US = 15_000_000
# Fields of `Config` whose name in the log is another one, which operators know.
LOGGED_NAMES = {"machine_types": "kinds", "body_budget_bytes": "buffers"}


def load(environment: Mapping[str, str]) -> Config:
    """The configuration that the environment points at. Raises `ConfigError` if it cannot work."""
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
        sockets=_above_zero(_limits(data), "sockets", "limits.sockets", DEFAULT_SOCKETS),
        cores=_cores(_limits(data)),
        known_hosts=_value(data, "known", dict, "known", {}),
        settings=settings,
        tenants=_names(service, "orgs"),
        machine_types=_names(service, "models"),
        zones=_names(service, "zones"),
        connect_timeout_s=_seconds(settings_limits, "connect_timeout", DEFAULT_CONNECT_TIMEOUT_US),
        admin=read_address(admin, "admin_addr") if admin else None,
        longest_body=LONG_BODY if admin else SHORT_BODY,
        body_budget_bytes=_body_budget_bytes(_limits(data)),
        peers=_peers(data) if has_peers else None,
        idle_s=_seconds(settings_limits, "conn_idle", DEFAULT_IDLE_US),
    )


def reload(environment: Mapping[str, str]) -> Config:
    """The file as it is now.

    Its `discovery` counts, not the environment's, which is that of the start.
    """
    return load({name: value for name, value in environment.items() if name != "GW_DISCOVERY"})


def changed_fields(old: Config, new: Config) -> list[str]:
    """What differs and a reload does not take over, under the names of the log.

    Seed and known list are for a start alone.
    """
    not_compared = {"discovery", "hosts", "known_hosts", "seed", "peers", "peers_all"}
    names = [field.name for field in fields(Config) if field.name not in not_compared]
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
    """A value of the environment, else of the file; an empty one counts as none."""
    return environment.get(variable) or data.get(key)


def _value(
    data: Mapping[str, Any], key: str, kind: type[Any], field: str, default: Any = None
) -> Any:
    value = data.get(key)
    if value is None:
        value = default
    if value is None:
        raise ConfigError(f"{field}: missing")
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ConfigError(f"{field}: needs {kind.__name__}, not {type(value).__name__}")
    return value


def _limits(data: Mapping[str, Any]) -> Mapping[str, Any]:
    """The limits of the process, as against those that the settings have for the service."""
    limits: Mapping[str, Any] = _value(data, "limits", dict, "limits", {})
    return limits


def _above_zero(data: Mapping[str, Any], key: str, field: str, default: int) -> int:
    value: int = _value(data, key, int, field, default)
    if value <= 0:
        raise ConfigError(f"{field}: must be above 0")
    return value


def _seconds(limits: Mapping[str, Any], key: str, default_us: int) -> float:
    return _above_zero(limits, key, f"settings.limits.{key}", default_us) / 1e6


def _number_above_zero(limits: Mapping[str, Any], key: str, default: float) -> float:
    value = limits.get(key, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < value < math.inf:
        raise ConfigError(f"limits.{key}: needs a number above 0, not {value!r}")
    return float(value)


def _cores(limits: Mapping[str, Any]) -> float:
    return min(1.0, _number_above_zero(limits, "cores", 1.0))  # the event loop is one thread


def _body_budget_bytes(limits: Mapping[str, Any]) -> int:
    """Bytes for long bodies, of the memory that the platform allows.

    The process itself, idle connections and a second process during an upgrade take their part
    first.
    """
    memory_mb = _number_above_zero(limits, "memory_mb", DEFAULT_MEMORY_MB)
    return max(SHORT_BODY, min(BUFFERS, int((memory_mb - PROCESSES_MB) * 2**20)))


def _peers(data: Mapping[str, Any]) -> Peers:
    peers = _value(data, "peers", list, "peers", [])
    addresses = tuple(read_address(address, f"peers[{i}]") for i, address in enumerate(peers))
    everyone = read_address(data["peers_all"], "peers_all") if data.get("peers_all") else None
    return Peers(read_address(data["peer_listen"], "peer_listen"), addresses, everyone)


def _names(data: Mapping[str, Any], key: str) -> tuple[str, ...]:
    names = _value(data, key, list, f"settings.{key}", [])
    return tuple(str(name.get("name")) if isinstance(name, dict) else str(name) for name in names)


def _seed(value: Any) -> int:
    """The seed is hexadecimal text as a rule; any other text or number seeds as well."""
    text = str(value)
    try:
        return int(text, 16)
    except ValueError:
        return zlib.crc32(text.encode())
