"""The upgrades file, which enables upgrades; `deploy/upgrades.toml` explains each field.

Requires `msgspec`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from quillroad.config import RESERVED, ConfigError
from quillroad.config.file import Duration, read_toml, within
from quillroad.upgrade.canary import CanaryTuning
from quillroad.upgrade.supervisor import Limits

GATEWAY_NAME = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9_.-]{0,62}")  # valid as part of a path
Proportion = Annotated[float, Meta(ge=0, le=1)]


class _Times(Struct, forbid_unknown_fields=True):
    start: Duration = "10 s"
    prepare: Duration = "5 s"
    switch: Duration = "2 s"
    retire: Duration = "10 s"


class _Canary(Struct, forbid_unknown_fields=True):
    time: Duration = "30 s"
    silence: Duration = "2 s"
    failed: Proportion = 0.02
    unserved: Proportion = 0.25
    least: Annotated[int, Meta(ge=1, le=1_000_000)] = 40


class _Crashes(Struct, forbid_unknown_fields=True):
    again: Duration = "100 ms"
    again_most: Duration = "5 s"
    calm: Duration = "10 s"


class _Limits(Struct, forbid_unknown_fields=True):
    memory_mb: Annotated[float, Meta(ge=0)] = 0.0
    first_descriptors: Annotated[int, Meta(ge=RESERVED + 8, le=100_000)] = 64


class _File(Struct, forbid_unknown_fields=True):
    control: Annotated[str, Meta(min_length=1, max_length=100)]
    times: _Times = msgspec.field(default_factory=_Times)
    canary: _Canary = msgspec.field(default_factory=_Canary)
    crashes: _Crashes = msgspec.field(default_factory=_Crashes)
    limits: _Limits = msgspec.field(default_factory=_Limits)


@dataclass(frozen=True, slots=True)
class Upgrades:
    """Settings of a gateway's upgrades; `control` is the path of the control socket."""

    control: Path
    limits: Limits
    tuning: CanaryTuning


def load_upgrades(path: Path, sockets: int = 1024, name: str = "") -> Upgrades:
    """Read the upgrades file for a gateway called `name` that may hold `sockets` descriptors.

    `{name}` in `control` is replaced by the gateway's name, so that several gateways can share a
    file. Raises `ConfigError`.
    """
    file = read_toml(path, _File)
    if sockets < 2 * file.limits.first_descriptors:
        raise ConfigError(
            f"limits.first_descriptors: needs half of the gateway's {sockets} at the most, not "
            f"{file.limits.first_descriptors}"
        )
    if "{name}" in file.control and not GATEWAY_NAME.fullmatch(name):
        raise ConfigError(
            f"control: {{name}} needs a name of letters, digits, '-' and '.', not {name!r}"
        )
    times, canary, crashes = file.times, file.canary, file.crashes
    return Upgrades(
        Path(file.control.replace("{name}", name)),
        Limits(
            start_s=within(times.start, "times.start", 0.1, 600.0),
            prepare_s=within(times.prepare, "times.prepare", 0.05, 60.0),
            switch_s=within(times.switch, "times.switch", 0.05, 10.0),
            canary_s=within(canary.time, "canary.time", 0.0, 3600.0),
            retire_s=within(times.retire, "times.retire", 0.1, 600.0),
            silence_s=within(canary.silence, "canary.silence", 0.5, 60.0),
            memory_mb=file.limits.memory_mb,
            descriptors=sockets,
            candidate_descriptors=file.limits.first_descriptors,
            restart_backoff_s=within(crashes.again, "crashes.again", 0.01, 60.0),
            max_restart_backoff_s=within(crashes.again_most, "crashes.again_most", 0.01, 600.0),
            stable_after_s=within(crashes.calm, "crashes.calm", 0.1, 3600.0),
        ),
        CanaryTuning(
            failed_margin=canary.failed,
            unserved_margin=canary.unserved,
            min_requests=canary.least,
        ),
    )
