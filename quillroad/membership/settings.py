"""The file that turns the view of the fleet on: `deploy/fleet.toml` explains each field. Needs `msgspec`."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from quillroad.config import Address, Config, ConfigError, read_address
from quillroad.config.file import Duration, output_file, read_toml, within
from quillroad.membership.roster import Roster
from quillroad.membership.timing import Timing
from quillroad.membership.wire import MAX_DATAGRAM_BYTES, MAX_MEMBERS

NEEDED = 400  # bytes that probes, answers and help take in a period, in a fleet without news


class _Members(Struct, forbid_unknown_fields=True):
    listen: str = ""
    addresses: list[str] = []
    everyone: str = ""


class _Talk(Struct, forbid_unknown_fields=True):
    period: Duration = "500 ms"
    answer: Duration = "200 ms"
    bytes_per_second: Annotated[int, Meta(ge=4 * MAX_DATAGRAM_BYTES, le=1_000_000)] = 2000
    datagrams_per_second: Annotated[int, Meta(ge=10, le=10_000)] = 80
    fleet_bytes_per_second: Annotated[int, Meta(ge=0, le=10**9)] = 0


class _Use(Struct, forbid_unknown_fields=True):
    windows: bool = False
    rounds: bool = False
    hold: Duration = "5 s"


class _Report(Struct, forbid_unknown_fields=True):
    file: str = ""
    every: Duration = "1 s"
    changes: str = ""


class _File(Struct, forbid_unknown_fields=True):
    members: _Members = msgspec.field(default_factory=_Members)
    talk: _Talk = msgspec.field(default_factory=_Talk)
    use: _Use = msgspec.field(default_factory=_Use)
    report: _Report = msgspec.field(default_factory=_Report)


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """`windows` and `rounds` say what follows the live number; `report` and `changes` are where the view and
    each change of it are written, None: nowhere. Times in seconds."""

    roster: Roster
    listen: Address
    timing: Timing
    windows: bool
    rounds: bool
    hold_s: float
    report: Path | None
    every_s: float
    changes: Path | None


def load_fleet(path: Path, config: Config) -> FleetSettings | None:
    """The file's meaning for a gateway; None where the platform forbids talk between gateways. Raises
    `ConfigError`."""
    told = read_toml(path, _File)
    if told.members.listen or told.members.addresses:
        listen = read_address(told.members.listen, "members.listen")
        addresses = [
            read_address(a, f"members.addresses[{i}]") for i, a in enumerate(told.members.addresses)
        ]
        everyone = None
        if told.members.everyone:
            everyone = read_address(told.members.everyone, "members.everyone")
        field = "members.addresses"
    elif told.members.everyone:
        raise ConfigError("members.everyone: goes with members.listen and members.addresses")
    elif config.peers is None:
        return None
    else:
        listen, addresses, field = config.peers.listen, list(config.peers.addresses), "peers"
        everyone = config.peers.everyone
    if not 2 <= len(addresses) <= MAX_MEMBERS:
        raise ConfigError(f"{field}: needs 2 to {MAX_MEMBERS} addresses, not {len(addresses)}")
    try:
        roster = Roster(addresses, config.settings.gateway_index, everyone)
    except ValueError as error:
        raise ConfigError(f"{field}: {error}") from None
    return FleetSettings(
        roster=roster,
        listen=listen,
        timing=_timing(told.talk, len(roster)),
        windows=told.use.windows,
        rounds=told.use.rounds,
        hold_s=within(told.use.hold, "use.hold", 0.1, 3600.0),
        report=output_file(told.report.file, "report.file", config.name),
        every_s=within(told.report.every, "report.every", 0.05, 3600.0),
        changes=output_file(told.report.changes, "report.changes", config.name),
    )


def _timing(talk: _Talk, members: int) -> Timing:
    timing = Timing(
        period_s=within(talk.period, "talk.period", 0.05, 60.0),
        probe_timeout_s=within(talk.answer, "talk.answer", 0.01, 30.0),
        max_bytes_per_s=talk.bytes_per_second,
        max_datagrams_per_s=talk.datagrams_per_second,
    )
    if timing.probe_timeout_s > 0.6 * timing.period_s:
        raise ConfigError(
            "talk.answer: needs six tenths of talk.period at most, for others to help"
        )
    if talk.fleet_bytes_per_second:
        own = min(timing.max_bytes_per_s, talk.fleet_bytes_per_second // members)
        if own < 4 * MAX_DATAGRAM_BYTES:
            raise ConfigError(
                f"talk.fleet_bytes_per_second: needs {4 * MAX_DATAGRAM_BYTES} for each of {members}"
            )
        timing = replace(timing, max_bytes_per_s=own)
    # A budget that is small has longer periods, not probes that cannot be sent.
    slower = max(1.0, NEEDED / timing.period_s / (0.4 * timing.max_bytes_per_s))
    return replace(
        timing,
        period_s=timing.period_s * slower,
        probe_timeout_s=timing.probe_timeout_s * slower,
        gossip_interval_s=timing.period_s * slower * 0.4,
        retransmit_s=timing.probe_timeout_s * slower * 0.75,
    )
