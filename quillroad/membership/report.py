"""What a gateway tells of its view, as JSON: the form of the report, and how to read it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct

if TYPE_CHECKING:  # who reads reports needs not what makes them
    from quillroad.membership.core import Core
    from quillroad.membership.share import Part


class Line(Struct):
    """One member. `since_s` and `heard_s` are seconds ago; `heard_s` -1: never itself."""

    number: int
    standing: str
    incarnation: int
    since_s: float
    heard_s: float
    how: str
    by: int


class Report(Struct):
    """`at` is the time of the day in seconds since 1970; `settled_s` for how long nothing was in doubt, -1
    while something is; `part` is what this gateway divides by: its place, and of how many; `held` counts
    entries of passing state."""

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
    members: list[Line]
    dropped: dict[str, int]
    unsent: int
    held: int


def make_report(core: Core, name: str, part: Part, used: bool, now: float, at: float) -> Report:
    """The view of `core` at `now` of its clock, `at` of the day's."""
    view = core.view
    lines = []
    for number, seen in sorted(view.members.items()):
        heard = core.heard(number)
        lines.append(
            Line(
                number,
                seen.standing.name.lower(),
                seen.incarnation,
                round(now - seen.since, 3),
                -1.0 if heard is None else round(now - heard, 3),
                seen.how,
                seen.by,
            )
        )
    return Report(
        name,
        view.number,
        at,
        view.version,
        view.incarnation,
        view.self_state.value,
        round(now - view.changed, 3) if view.certain else -1.0,
        view.there,
        (part.number, part.of),
        used,
        lines,
        dict(core.dropped),
        core.unsent,
        core.held,
    )


def write_report(report: Report) -> bytes:
    return msgspec.json.encode(report)


def read_report(data: bytes) -> Report:
    """Raises `msgspec.MsgspecError` for what is none."""
    return msgspec.json.decode(data, type=Report)
