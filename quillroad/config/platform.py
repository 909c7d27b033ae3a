"""What the platform tells a gateway at its start and at a reload: `GW_*` and the JSON file.

Everything is checked here, once, so that a gateway that came up has no missing value to trip over at night.
"""

from __future__ import annotations

import json
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

PROCESSES_MB = 48  # two processes with nothing of bodies: 40 MB measured, and room


def _part(
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


def _above_zero(data: Mapping[str, Any], key: str, field: str, default: int) -> int:
    value: int = _part(data, key, int, field, default)
    if value <= 0:
        raise ConfigError(f"{field}: must be above 0")
    return value


def _cores(limits: Mapping[str, Any]) -> float:
    value = limits.get("cores", 1.0)
    if (
        not isinstance(value, int | float)
        or isinstance(value, bool)
        or not 0 < value < float("inf")
    ):
        raise ConfigError(f"limits.cores: needs a number above 0, not {value!r}")
    return min(1.0, float(value))  # the loop is one thread


def _buffers(limits: Mapping[str, Any]) -> int:
    """For long bodies, of the memory that is told: what the process itself, the kept connections and a second
    process during an upgrade leave of it."""
    value = limits.get("memory_mb", 192)
    if (
        not isinstance(value, int | float)
        or isinstance(value, bool)
        or not 0 < value < float("inf")
    ):
        raise ConfigError(f"limits.memory_mb: needs a number above 0, not {value!r}")
    return max(SHORT_BODY, min(BUFFERS, int((value - PROCESSES_MB) * 2**20)))


def _peers(data: Mapping[str, Any]) -> Peers:
    told = _part(data, "peers", list, "peers", [])
    addresses = tuple(read_address(address, f"peers[{i}]") for i, address in enumerate(told))
    everyone = read_address(data["peers_all"], "peers_all") if data.get("peers_all") else None
    return Peers(read_address(data["peer_listen"], "peer_listen"), addresses, everyone)


def _names(data: Mapping[str, Any], key: str) -> tuple[str, ...]:
    names = _part(data, key, list, f"settings.{key}", [])
    return tuple(str(name.get("name")) if isinstance(name, dict) else str(name) for name in names)


def _seed(value: Any) -> int:
    """The seed is hexadecimal text as a rule; any other text or number seeds as well."""
    text = str(value)
    try:
        return int(text, 16)
    except ValueError:
        return zlib.crc32(text.encode())


def load(environment: Mapping[str, str]) -> Config:
    """The configuration that the environment points at; raises `ConfigError` where it cannot work."""
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
    told = _part(data, "settings", dict, "settings")
    admin = environment.get("GW_ADMIN_ADDR") or data.get("admin_addr")
    limits = _part(told, "limits", dict, "settings.limits", {})
    try:
        settings = read_settings(told)
    except ValueError as error:
        raise ConfigError(f"settings.{error}") from None
    return Config(
        name=str(environment.get("GW_NAME") or data.get("name") or "gateway"),
        listen=read_address(environment.get("GW_LISTEN") or data.get("listen"), "GW_LISTEN"),
        discovery=read_address(
            environment.get("GW_DISCOVERY") or data.get("discovery"), "GW_DISCOVERY"
        ),
        seed=_seed(data.get("seed", 0)),
        sockets=_above_zero(
            _part(data, "limits", dict, "limits", {}), "sockets", "limits.sockets", 1024
        ),
        cores=_cores(_part(data, "limits", dict, "limits", {})),
        known=_part(data, "known", dict, "known", {}),
        settings=settings,
        tenants=_names(told, "orgs"),
        kinds=_names(told, "models"),
        zones=_names(told, "zones"),
        connect_timeout_s=_above_zero(
            limits, "connect_timeout", "settings.limits.connect_timeout", 1_000_000
        )
        / 1e6,
        admin=read_address(admin, "admin_addr") if admin else None,
        longest_body=LONG_BODY if admin else SHORT_BODY,
        buffers=_buffers(_part(data, "limits", dict, "limits", {})),
        peers=_peers(data) if limits.get("peers") is True and data.get("peer_listen") else None,
        idle_s=_above_zero(limits, "conn_idle", "settings.limits.conn_idle", 15_000_000) / 1e6,
    )


def reload(environment: Mapping[str, str]) -> Config:
    """The file as it is now. Its `discovery` counts, not the environment's, which is that of the start."""
    return load({name: value for name, value in environment.items() if name != "GW_DISCOVERY"})


def changed_fields(old: Config, new: Config) -> list[str]:
    """What differs and a reload does not take over. Seed and known list are for a start alone."""
    kept = {"discovery", "hosts", "known", "seed", "peers", "peers_all"}
    names = [field.name for field in fields(Config) if field.name not in kept]
    return [name for name in names if getattr(old, name) != getattr(new, name)]
