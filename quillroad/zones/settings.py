"""The file that turns the budget on: `deploy/zones.toml` explains each field. Needs `msgspec`."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from quillroad.balancing.zone_routing import CrossZoneLimits, RouteAllowance
from quillroad.config import Config, ConfigError
from quillroad.config.file import Duration, output_file, read_toml, within

Part = Annotated[float, Meta(ge=0, le=1)]
Rate = Annotated[float, Meta(ge=0, le=1e12)]


class _Budget(Struct, forbid_unknown_fields=True):
    share: Part
    window: Duration = "60 s"
    per_second: Rate = 0.0
    bytes_per_second: Rate = 0.0


class _Home(Struct, forbid_unknown_fields=True):
    lost_below: Part = 0.5
    hold: Duration = "5 s"


class _Class(Struct, forbid_unknown_fields=True):
    name: Annotated[str, Meta(min_length=1)]
    when_lost: Literal["spend", "refuse"] = "spend"
    keep: Part = 0.0


class _Report(Struct, forbid_unknown_fields=True):
    file: str = ""
    every: Duration = "1 s"


class _File(Struct, forbid_unknown_fields=True):
    budget: _Budget
    home: _Home = msgspec.field(default_factory=_Home)
    classes: list[_Class] = []
    report: _Report = msgspec.field(default_factory=_Report)


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """`report` is written every `every_s` seconds; None: nowhere."""

    budget: CrossZoneLimits
    report: Path | None
    every_s: float


def load_zones(path: Path, config: Config) -> ZoneSettings:
    """The file's meaning for a gateway; raises `ConfigError`. Rates are for all gateways together, and each
    has an even part."""
    told = read_toml(path, _File)
    names = [route.name for route in config.settings.routes]
    by_name: dict[str, _Class] = {}
    for i, one in enumerate(told.classes):
        if one.name not in names:
            raise ConfigError(
                f"classes[{i}].name: needs one of {', '.join(names)}, not {one.name!r}"
            )
        if by_name.setdefault(one.name, one) is not one:
            raise ConfigError(f"classes[{i}].name: {one.name!r} is there twice")
    if len(config.zones) <= config.settings.zone:
        raise ConfigError(
            "gateway.zone: the gateway's own zone is not among the zones that it is told"
        )
    classes = [by_name.get(name, _Class(name)) for name in names]
    gateways = config.settings.gateway_count
    budget = CrossZoneLimits(
        share=told.budget.share,
        classes=tuple(RouteAllowance(one.when_lost == "spend", one.keep) for one in classes),
        window_us=round(1e6 * within(told.budget.window, "budget.window", 1.0, 3600.0)),
        per_s=told.budget.per_second / gateways,
        bytes_per_s=told.budget.bytes_per_second / gateways,
        lost_below=told.home.lost_below,
        hold_us=round(1e6 * within(told.home.hold, "home.hold", 0.0, 600.0)),
    )
    report = output_file(told.report.file, "report.file", config.name)
    return ZoneSettings(budget, report, within(told.report.every, "report.every", 0.05, 3600.0))
