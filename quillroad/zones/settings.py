"""The file that turns the cross-zone budget on: `deploy/zones.toml` explains each field.

Needs `msgspec`. The classes with a leading underscore have the form of the file, with the file's
names; `load_zones` maps it to what the balancer takes.
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

MICROSECONDS = 1e6
"""In a second: the file's times are read in seconds, the balancer counts microseconds."""
WINDOW_BOUNDS_S = (1.0, 3600.0)
"""Below a second a window holds too few requests for a share; above an hour it outlives outages."""
HOLD_BOUNDS_S = (0.0, 600.0)
"""A zone held lost for over ten minutes would send its traffic away long after it is back."""
REPORT_INTERVAL_BOUNDS_S = (0.05, 3600.0)
"""More often than 20 times a second the writing of reports would cost requests their time."""

Part = Annotated[float, Meta(ge=0, le=1)]
Rate = Annotated[float, Meta(ge=0, le=1e12)]


class _Budget(Struct, forbid_unknown_fields=True):
    """`[budget]`: what may leave the zone, by all gateways together."""

    remote_fraction: Part = msgspec.field(name="share")
    window: Duration = "60 s"
    per_second: Rate = 0.0
    bytes_per_second: Rate = 0.0


class _LocalZone(Struct, forbid_unknown_fields=True):
    """`[home]`: when the local zone counts as lost."""

    lost_below: Part = 0.5
    hold: Duration = "5 s"


class _Route(Struct, forbid_unknown_fields=True):
    """`[[classes]]`: what one route may do."""

    name: Annotated[str, Meta(min_length=1)]
    when_lost: Literal["spend", "refuse"] = "spend"
    keep: Part = 0.0


class _Report(Struct, forbid_unknown_fields=True):
    """`[report]`: where the report is written, and how often."""

    file: str = ""
    every: Duration = "1 s"


class _File(Struct, forbid_unknown_fields=True):
    """The whole file."""

    budget: _Budget
    local_zone: _LocalZone = msgspec.field(name="home", default_factory=_LocalZone)
    routes: list[_Route] = msgspec.field(name="classes", default_factory=list)
    report: _Report = msgspec.field(default_factory=_Report)


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """The limits of one gateway, and its report.

    The report goes to the file `report_file` (None: there is none) every `report_interval_s`
    seconds.
    """

    limits: CrossZoneLimits
    report_file: Path | None
    report_interval_s: float


def load_zones(path: Path, config: Config) -> ZoneSettings:
    """Return what the file says for a gateway.

    Rates in the file are for all gateways together; each has an even part. Raises `ConfigError`
    that names the field.
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
    """Return the file's routes by name; raises `ConfigError` for an unknown or repeated one."""
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
        window_us=round(MICROSECONDS * window_s),
        per_s=file.budget.per_second / gateway_count,
        bytes_per_s=file.budget.bytes_per_second / gateway_count,
        lost_below=file.local_zone.lost_below,
        hold_us=round(MICROSECONDS * hold_s),
    )
