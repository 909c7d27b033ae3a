"""Reads the zones file, which enables the cross-zone budget; `deploy/zones.toml` documents it.

Requires `msgspec`. The classes with a leading underscore mirror the structure of the file;
`load_zones` converts them to the limits that the balancer uses.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from quillroad.balancing.zone_routing import CrossZoneLimits, RouteAllowance
from quillroad.config import Config, ConfigError
from quillroad.config.file import Duration, output_file, read_toml, within

MICROSECONDS_PER_SECOND = 1e6
"""Times of the file are parsed to seconds; the balancer's clock counts microseconds."""
WINDOW_BOUNDS_S = (1.0, 3600.0)
"""A window below 1 s holds too few requests to compute a share; one above 1 h outlasts outages."""
HOLD_BOUNDS_S = (0.0, 600.0)
"""Above 10 min, traffic would keep leaving the zone long after its hosts have recovered."""
REPORT_INTERVAL_BOUNDS_S = (0.05, 3600.0)
"""Writing more than 20 reports per second would delay requests."""

Fraction = Annotated[float, Meta(ge=0, le=1)]
Rate = Annotated[float, Meta(ge=0, le=1e12)]


class _Budget(Struct, forbid_unknown_fields=True):
    """`[budget]`: limits of cross-zone traffic; the rates are totals of all gateways."""

    remote_fraction: Fraction = msgspec.field(name="share")
    window: Duration = "60 s"
    per_second: Rate = 0.0
    bytes_per_second: Rate = 0.0


class _LocalZone(Struct, forbid_unknown_fields=True):
    """`[home]`: when the local zone is lost, and how long it stays lost after that."""

    lost_below: Fraction = 0.5
    hold: Duration = "5 s"


class _Route(Struct, forbid_unknown_fields=True):
    """`[[classes]]`: how one route may use the budget."""

    name: Annotated[str, Meta(min_length=1)]
    when_lost: Literal["spend", "refuse"] = "spend"
    keep: Fraction = 0.0


class _Report(Struct, forbid_unknown_fields=True):
    """`[report]`: the file and the interval of the report; an empty `file` disables it."""

    file: str = ""
    every: Duration = "1 s"


class _File(Struct, forbid_unknown_fields=True):
    """The root of the zones file."""

    budget: _Budget
    local_zone: _LocalZone = msgspec.field(name="home", default_factory=_LocalZone)
    routes: list[_Route] = msgspec.field(name="classes", default_factory=list)
    report: _Report = msgspec.field(default_factory=_Report)


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """Cross-zone limits of one gateway, and the file and interval of its report.

    `report_file` is None if no report is written.
    """

    limits: CrossZoneLimits
    report_file: Path | None
    report_interval_s: float


def load_zones(path: Path, config: Config) -> ZoneSettings:
    """Return the settings of one gateway from the zones file.

    The rates of the file are totals of all gateways and are divided evenly among them. Raises
    `ConfigError`, which names the field, if the file is invalid.
    """
    file = read_toml(path, _File)
    names = [route.name for route in config.settings.routes]
    by_name = _routes_by_name(file.routes, names)
    if len(config.zones) <= config.settings.zone:
        raise ConfigError(
            "gateway.zone: the gateway's own zone is not among the zones that it is told"
        )
    return ZoneSettings(
        limits=_limits(
            file,
            [by_name.get(name, _Route(name)) for name in names],
            config.settings.gateway_count,
        ),
        report_file=output_file(file.report.file, "report.file", config.name),
        report_interval_s=within(file.report.every, "report.every", *REPORT_INTERVAL_BOUNDS_S),
    )


def _routes_by_name(routes: list[_Route], names: list[str]) -> dict[str, _Route]:
    """Return the file's routes by name; raise `ConfigError` for an unknown or duplicate name."""
    by_name: dict[str, _Route] = {}
    for index, route in enumerate(routes):
        field = f"classes[{index}].name"
        if route.name not in names:
            raise ConfigError(f"{field}: needs one of {', '.join(names)}, not {route.name!r}")
        if route.name in by_name:
            raise ConfigError(f"{field}: {route.name!r} is there twice")
        by_name[route.name] = route
    return by_name


def _limits(file: _File, routes: list[_Route], gateway_count: int) -> CrossZoneLimits:
    window_s = within(file.budget.window, "budget.window", *WINDOW_BOUNDS_S)
    hold_s = within(file.local_zone.hold, "home.hold", *HOLD_BOUNDS_S)
    return CrossZoneLimits(
        share=file.budget.remote_fraction,
        classes=tuple(RouteAllowance(route.when_lost == "spend", route.keep) for route in routes),
        window_us=round(MICROSECONDS_PER_SECOND * window_s),
        per_s=file.budget.per_second / gateway_count,
        bytes_per_s=file.budget.bytes_per_second / gateway_count,
        lost_below=file.local_zone.lost_below,
        hold_us=round(MICROSECONDS_PER_SECOND * hold_s),
    )
