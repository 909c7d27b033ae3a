"""Membership settings, read from the file that turns membership on. Needs `msgspec`.

`deploy/fleet.toml` explains each field of the file.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

from quillroad.config import Address, Config, ConfigError, read_address
from quillroad.config.file import Duration, output_file, read_toml, within
from quillroad.membership.roster import Roster
from quillroad.membership.timing import Timing
from quillroad.membership.wire import MAX_DATAGRAM_BYTES, MAX_MEMBERS

IDLE_BYTES_PER_PERIOD = 400  # probes, answers and indirect probes of a period without updates
IDLE_BUDGET_FRACTION = 0.4  # of the send budget for these; the rest is for updates
# A smaller budget has no room for a probe, an answer, an indirect probe and gossip each second.
MIN_BYTES_PER_S = 4 * MAX_DATAGRAM_BYTES
MAX_PROBE_TIMEOUT_FRACTION = 0.6  # of the period; the rest is for indirect probes
GOSSIP_INTERVAL_PERIODS = 0.4  # probe periods between two gossip rounds
RETRANSMIT_FRACTION = 0.75  # of the probe timeout, between two PINGs of one probe


class _Members(Struct, forbid_unknown_fields=True):
    listen: str = ""
    addresses: list[str] = []
    everyone: str = ""


class _Talk(Struct, forbid_unknown_fields=True):
    period: Duration = "500 ms"
    answer: Duration = "200 ms"
    bytes_per_second: Annotated[int, Meta(ge=MIN_BYTES_PER_S, le=1_000_000)] = 2000
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
class MembershipSettings:
    """Membership settings of one gateway. Times are in seconds.

    `subset_follows` and `polling_follows` say whether the subset and the polling of discovery are
    divided by the live count; it falls only once the view has been settled for `hold_s`. The view
    is written to `report_path` and each change of it to `change_log_path`, unless they are None.
    """

    roster: Roster
    listen: Address
    timing: Timing
    subset_follows: bool
    polling_follows: bool
    hold_s: float
    report_path: Path | None
    report_interval_s: float
    change_log_path: Path | None


class _Addresses(NamedTuple):
    """The members' addresses, and the settings field that they come from."""

    listen: Address
    members: list[Address]
    everyone: Address | None
    field: str


def load_fleet(path: Path, config: Config) -> MembershipSettings | None:
    """Read the file; return None if neither it nor the platform's settings give peer addresses.

    Raises `ConfigError` for an invalid file.
    """
    document = read_toml(path, _File)
    addresses = _addresses(document.members, config)
    if addresses is None:
        return None
    roster = _roster(addresses, config.settings.gateway_index)
    return MembershipSettings(
        roster=roster,
        listen=addresses.listen,
        timing=_timing(document.talk, len(roster)),
        subset_follows=document.use.windows,
        polling_follows=document.use.rounds,
        hold_s=within(document.use.hold, "use.hold", 0.1, 3600.0),
        report_path=output_file(document.report.file, "report.file", config.name),
        report_interval_s=within(document.report.every, "report.every", 0.05, 3600.0),
        change_log_path=output_file(document.report.changes, "report.changes", config.name),
    )


def _addresses(members: _Members, config: Config) -> _Addresses | None:
    """Return the addresses of the file, else those of the platform, or None if it has none."""
    if members.listen or members.addresses:
        return _Addresses(
            read_address(members.listen, "members.listen"),
            [
                read_address(address, f"members.addresses[{i}]")
                for i, address in enumerate(members.addresses)
            ],
            read_address(members.everyone, "members.everyone") if members.everyone else None,
            "members.addresses",
        )
    if members.everyone:
        raise ConfigError("members.everyone: goes with members.listen and members.addresses")
    peers = config.peers
    if peers is None:
        return None
    return _Addresses(peers.listen, list(peers.addresses), peers.everyone, "peers")


def _roster(addresses: _Addresses, own_number: int) -> Roster:
    count = len(addresses.members)
    if not 2 <= count <= MAX_MEMBERS:
        raise ConfigError(f"{addresses.field}: needs 2 to {MAX_MEMBERS} addresses, not {count}")
    try:
        return Roster(addresses.members, own_number, addresses.everyone)
    except ValueError as error:
        raise ConfigError(f"{addresses.field}: {error}") from None


def _timing(talk: _Talk, members: int) -> Timing:
    timing = Timing(
        period_s=within(talk.period, "talk.period", 0.05, 60.0),
        probe_timeout_s=within(talk.answer, "talk.answer", 0.01, 30.0),
        max_bytes_per_s=talk.bytes_per_second,
        max_datagrams_per_s=talk.datagrams_per_second,
    )
    if timing.probe_timeout_s > MAX_PROBE_TIMEOUT_FRACTION * timing.period_s:
        raise ConfigError(
            "talk.answer: needs six tenths of talk.period at most, for others to help"
        )
    if talk.fleet_bytes_per_second:
        own_bytes = min(timing.max_bytes_per_s, talk.fleet_bytes_per_second // members)
        if own_bytes < MIN_BYTES_PER_S:
            raise ConfigError(
                f"talk.fleet_bytes_per_second: needs {MIN_BYTES_PER_S} for each of {members}"
            )
        timing = replace(timing, max_bytes_per_s=own_bytes)
    return _scale_intervals_to_budget(timing)


def _scale_intervals_to_budget(timing: Timing) -> Timing:
    """Lengthen all intervals if the send budget is too small for the probes."""
    needed_bytes_per_s = IDLE_BYTES_PER_PERIOD / timing.period_s
    slowdown = max(1.0, needed_bytes_per_s / (IDLE_BUDGET_FRACTION * timing.max_bytes_per_s))
    return replace(
        timing,
        period_s=timing.period_s * slowdown,
        probe_timeout_s=timing.probe_timeout_s * slowdown,
        gossip_interval_s=timing.period_s * slowdown * GOSSIP_INTERVAL_PERIODS,
        retransmit_s=timing.probe_timeout_s * slowdown * RETRANSMIT_FRACTION,
    )
