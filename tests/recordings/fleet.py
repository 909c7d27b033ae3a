"""Adapter: what gateways tell each other and people of which gateways are there."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

from immutables import Map

from quillroad.membership.core import Core
from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import MemberState, MemberStatus, MemberTable
from quillroad.membership.quota_division import GatewayPosition
from quillroad.membership.report import MemberLine, Report, make_report, read_report, write_report
from quillroad.membership.roster import Roster
from quillroad.membership.service import MembershipService
from quillroad.membership.timing import Timing
from quillroad.membership.view import Cause, Change, ChangeKind, MemberRecord, View
from quillroad.membership.wire import VERSION, Datagram, MessageKind, Update, decode, encode
from tests.net import make_config
from tests.recordings.kinds import Documents

MEMBERS = 5
ADDRESSES = [("127.0.0.1", 7001 + number) for number in range(MEMBERS)]
RUN_S, STEP_S = 3.0, 0.05
FUTURE_S = 4_000_000_000.25  # of the day: a command that shows a report does not call it old

NEWS = (Update(11, 12, int(MemberState.SUSPECT), 5), Update(13, 14, int(MemberState.FAULTY)))
DATAGRAM = Datagram(
    VERSION,
    1,
    2_000_000_002,
    3,
    MessageKind.TABLE,
    5,
    6,
    NEWS,
    7,
    (8, 9),
    b"\x10\x11",
    18,
    (19, 20),
)
LINES = [
    MemberLine(
        number,
        standing.reported_name,
        21 + number,
        22.125 + number,
        23.25 + number,
        how,
        24 + number,
    )
    for number, (standing, how) in enumerate(
        zip(MemberState, ("heard", "told", "silent", "timer", "told"), strict=True)
    )
]
REPORT = Report(
    "n31",
    32,
    FUTURE_S,
    34,
    35,
    "slow",
    36.5,
    37,
    (38, 39),
    True,
    LINES,
    {"malformed": 40, "too long": 41},
    42,
    43,
)


def datagrams() -> Documents:
    """One of each kind, one with every field, and the table of claims that one carries."""
    claims = MemberTable(40)
    for number in range(40):
        standing = list(MemberState)[number % len(MemberState)]
        claims.merge(number, MemberStatus(1 + number * number, standing, 1 + number % 7))
    statuses = claims.pack(range(3, 37))
    told = {
        f"kind {kind.value}": encode(Datagram(VERSION, 1, 2, 3, kind, 4, 5)) for kind in MessageKind
    }
    told["every field"] = encode(DATAGRAM)
    told["table"] = encode(
        Datagram(VERSION, 1, 2, 3, MessageKind.TABLE, 4, 5, (), 3, (), *statuses)
    )
    told["sums"] = encode(
        Datagram(VERSION, 1, 2, 3, MessageKind.DIGESTS, 4, 5, (), 0, tuple(claims.chunk_digests()))
    )
    return told


def reencode_datagram(_: str, document: bytes) -> bytes:
    return encode(decode(document))


def _exchange() -> list[tuple[int, int, bytes]]:
    """Sender, receiver and bytes of what members say in their first seconds; the last one is not
    there."""
    cores = [
        Core(Roster(ADDRESSES, number), Timing(), 0.0, lambda: 0.375, 1_000 + number)
        for number in range(MEMBERS - 1)
    ]
    told = []
    for step in range(round(RUN_S / STEP_S)):
        now = step * STEP_S
        for core in cores:
            if core.arm(now) <= now:
                core.tick(now)
        for core in cores:
            sent, core.outbox = core.outbox, []
            for to, data in sent:
                told.append((core.number, to, data))
                if to < len(cores):
                    cores[to].receive(ADDRESSES[core.number], data, now)
    return told


def exchange() -> Documents:
    """Every datagram of a short exchange, in order."""
    return {
        f"{place:03} {sender} to {to}": data for place, (sender, to, data) in enumerate(_exchange())
    }


def _view(state: HealthState, *seen: MemberRecord) -> View:
    return View(51, 1, 52, state, 53.5, Map(dict(enumerate(seen, start=2))))


def reports() -> Documents:
    """A full report, an empty one, and reports made of a view in each state."""
    told: dict[str, bytes | str] = {
        "every field": write_report(REPORT).decode(),
        "empty": write_report(
            Report("", 0, 0.0, 0, 0, "", 0.0, 0, (0, 0), False, [], {}, 0, 0)
        ).decode(),
    }
    for state in HealthState:
        for standing in MemberState:
            view = _view(state, MemberRecord(standing, 54, 55.5, Cause.REPORTED, 56))
            core = cast(
                Any,
                SimpleNamespace(
                    view=view,
                    last_heard={2: 57.25}.get,
                    dropped={"malformed": 58},
                    unsent=59,
                    pending_entries=60,
                ),
            )
            report = make_report(core, "n1", GatewayPosition(1, 3), True, 100.0, 1_700_000_000.5)
            told[f"{state.value}, {standing.reported_name}"] = write_report(report).decode()
    return told


def reencode_report(_: str, document: bytes) -> bytes:
    return write_report(read_report(document))


def changes() -> Documents:
    """The lines of the file of changes, without the time of the day."""

    async def run() -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "fleet.toml"
            members = [f"{host}:{port}" for host, port in ADDRESSES]
            file.write_text(
                f'[members]\nlisten = "127.0.0.1:7001"\naddresses = {members}\n'
                f'[report]\nchanges = "{folder}/changes"\n'
            )
            fleet = MembershipService(file, make_config(1), asyncio.get_running_loop())
            lines: list[str] = []
            settings = fleet.settings
            assert settings is not None
            fleet._files = cast(Any, SimpleNamespace(append=lambda path, line: lines.append(line)))
            fleet._open_change_log(settings)
            fleet.core = cast(
                Any,
                SimpleNamespace(
                    number=0,
                    changes=[
                        Change(61.0625, 1, ChangeKind.FAULTY, 62, Cause.TIMEOUT, 2),
                        Change(63.0, 3, ChangeKind.ALIVE, 64, Cause.HEARD, 4),
                    ],
                ),
            )
            fleet._record_changes(fleet.core)
            return lines

    lines = [json.loads(line) for line in asyncio.run(run())]
    for line in lines:
        assert line.pop("timestamp") > 0
    return {f"line {number}": json.dumps(line) for number, line in enumerate(lines)}
