"""The report of a gateway's view: its JSON schema, writer and reader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct, field

if TYPE_CHECKING:  # a program that only reads reports need not import the core
    from quillroad.membership.core import Core
    from quillroad.membership.quota_division import GatewayPosition

NEVER_S = -1.0  # seconds ago of an event that never happened


class MemberLine(Struct):
    """One member: `standing` is its state, `how` the cause of the state, `by` the reporter.

    `since_s` says how many seconds ago the state began, and `heard_s` how many seconds ago the last
    datagram from the member arrived (-1: none did).
    """

    number: int
    standing: str
    incarnation: int
    since_s: float
    heard_s: float
    how: str
    by: int


class Report(Struct):
    """One gateway's view; the fields have the names of the stored report.

    `at` is the wall-clock time in seconds since 1970; `settled_s` for how many seconds the view has
    been certain and unchanged, -1 while it is not certain; `there` how many gateways are present;
    `part` the index and count by which this gateway divides quotas, and `used` whether it does;
    `unsent` counts datagrams that exceeded the send budget; `pending_entries` counts entries of
    temporary state (suspicions, probes, queued updates).
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
    """Return a report of the view of `core`.

    `now` is monotonic time and `at` wall-clock time, both in seconds.
    """
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
    """Parse a report; raises `msgspec.MsgspecError` if `data` is not one."""
    return msgspec.json.decode(data, type=Report)
