"""The report of a gateway's view, as JSON: its form, how it is made, and how it is read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct, field

if TYPE_CHECKING:  # a program that only reads reports does not need what makes them
    from quillroad.membership.core import Core
    from quillroad.membership.quota_division import GatewayPosition

NEVER_S = -1.0  # in place of seconds ago: never


class MemberLine(Struct):
    """One member: `standing` is its state, `how` the cause, `by` the reporter.

    `since_s` and `heard_s` are seconds ago; `heard_s` is -1 where it was never heard itself.
    """

    number: int
    standing: str
    incarnation: int
    since_s: float
    heard_s: float
    how: str
    by: int


class Report(Struct):
    """One gateway's view, under the stored names.

    `at` is the time of day in seconds since 1970; `settled_s` for how long nothing was in doubt, -1
    while something is; `there` how many gateways are present; `part` the index and count by which
    this gateway divides quotas, `used` whether it does; `pending_entries` counts entries of passing
    state.
    """

    gateway: str
    number: int
    at: float
    version: int
    incarnation: int
    state: str
    settled_s: float
    there: int
    part: tuple[int, int]
    used: bool
    members: list[MemberLine]
    dropped: dict[str, int]
    unsent: int
    pending_entries: int = field(name="held")


def make_report(
    core: Core, name: str, position: GatewayPosition, used: bool, now: float, at: float
) -> Report:
    """Return the view of `core` at `now` of its clock, `at` of the day's (both in seconds)."""
    view = core.view
    return Report(
        gateway=name,
        number=view.number,
        at=at,
        version=view.version,
        incarnation=view.incarnation,
        state=view.self_state.value,
        settled_s=round(now - view.changed_at, 3) if view.is_certain else NEVER_S,
        there=view.live_count,
        part=(position.gateway_index, position.gateway_count),
        used=used,
        members=_member_lines(core, now),
        dropped={str(reason): count for reason, count in core.dropped.items()},
        unsent=core.unsent,
        pending_entries=core.pending_entries,
    )


def _member_lines(core: Core, now: float) -> list[MemberLine]:
    lines = []
    for number, record in sorted(core.view.members.items()):
        heard_at = core.last_heard(number)
        lines.append(
            MemberLine(
                number=number,
                standing=record.state.reported_name,
                incarnation=record.incarnation,
                since_s=round(now - record.since, 3),
                heard_s=NEVER_S if heard_at is None else round(now - heard_at, 3),
                how=str(record.cause),
                by=record.reporter,
            )
        )
    return lines


def write_report(report: Report) -> bytes:
    """Return the report as JSON."""
    return msgspec.json.encode(report)


def read_report(data: bytes) -> Report:
    """Read a report; raises `msgspec.MsgspecError` for what is none."""
    return msgspec.json.decode(data, type=Report)
