"""What a budget for other zones does when the own zone fails: `python -m bench.zones`.

A gateway in `east` with four hosts there and four in `west` plays one timeline under steady load of both
classes: well, half of the own zone hangs, all of it hangs, well again. Once for each way to be told: no
budget at all, one that seat-checkouts may pass, one that nobody may, and none to spend. Printed: what was
served and refused in each part, what crossed and why, and whether the totals are those of the stand-ins.
Needs three cores; about three minutes. `--svg FILE` draws the crossings over time. `--cost` times the module
alone with and without a budget.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from bench.picture import over_time
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    AttemptFinished,
    EndpointUpdate,
    Outcome,
    RequestArrived,
    UpdateKind,
)
from quillroad.balancing.settings import Idempotency, Route, Settings
from quillroad.balancing.zone_routing import CrossZoneBudget, CrossZoneLimits, RouteAllowance
from quillroad.zones.report import Report, read_report
from testbed.account import Record, RequestClass, count_outcomes, percentile, total
from testbed.environment import Environment
from testbed.schedule import steady

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
FILE = """
[budget]
share = {share}
window = "10 s"
[home]
hold = "5 s"
[[classes]]
name = "status-check"
when_lost = "refuse"
keep = 0.5
[[classes]]
name = "seat-checkout"
when_lost = "{lost}"
[report]
file = "{report}"
every = "100 ms"
"""
WAYS = {
    "no budget": "",
    "5%, checkouts pass it": FILE.replace("{share}", "0.05").replace("{lost}", "spend"),
    "5%, nobody passes it": FILE.replace("{share}", "0.05").replace("{lost}", "refuse"),
    "nothing may cross": FILE.replace("{share}", "0.0").replace("{lost}", "refuse"),
}
PARTS = ("well", "half hangs", "all hangs", "well again")
SLOT_S = 0.5  # of the picture


@dataclass
class Run:
    """One timeline, told in one way."""

    began: float = 0.0
    records: list[list[Record]] = field(default_factory=list)  # by part
    away: list[float] = field(
        default_factory=list
    )  # when a host of the other zone received something
    broken: list[str] = field(default_factory=list)
    received: dict[str, int] = field(default_factory=dict)
    report: Report | None = None


async def play(text: str, rate: float, seconds: float) -> Run:
    run = Run()
    with tempfile.TemporaryDirectory() as name:
        file = Path(name) / "report.json"
        budget = text.replace("{report}", str(file))
        async with Environment(
            Path(name), REQUEST_CLASSES, hosts=8, delay=0.02, zones=("east", "west"), budget=budget
        ) as environment:
            load = environment.load(weights=(3, 1), most=900)
            home = [host for host in environment.hosts if host.zone == "east"]
            for part in PARTS:
                for number, host in enumerate(home):
                    host.hangs = part == "all hangs" or (part == "half hangs" and number % 2 == 0)
                before = len(load.records)
                await load.open_loop(steady(rate, seconds))
                run.records.append(load.records[before:])
            run.began = load.records[0].sent
            run.away = [
                r.at for host in environment.hosts if host.zone == "west" for r in host.receipts
            ]
            for zone in ("east", "west"):
                run.received[zone] = sum(
                    len(h.receipts) for h in environment.hosts if h.zone == zone
                )
            run.broken = environment.broken(load)
            if budget:
                await asyncio.sleep(0.5)
                run.report = read_report(file.read_bytes())
    return run


def rows(name: str, run: Run) -> list[str]:
    lines = []
    for part, records in zip(PARTS, run.records, strict=True):
        per = count_outcomes(records, REQUEST_CLASSES)
        first, last = records[0].sent, records[-1].sent
        away = sum(1 for at in run.away if first <= at <= last)
        cells = [
            f"{row.within_objective / row.sent:.3f} / {row.rejected / row.sent:.3f}"
            for row in per.values()
        ]
        took = total(per.values()).took
        lines.append(
            f"| {name} | {part} | {' | '.join(cells)} | {away / len(records):.3f} "
            f"| {percentile(took, 0.5) * 1e3:.0f} / {percentile(took, 0.99) * 1e3:.0f} |"
        )
    return lines


def told(name: str, run: Run) -> list[str]:
    if run.report is None:
        return []
    lines = []
    for one in run.report.classes:
        reasons = " | ".join(str(count) for count in one.reasons.values())
        lines.append(
            f"| {name} | {one.name} | {one.crossed} | {reasons} | {one.past} | {one.refused} |"
        )
    for zone, received in run.received.items():
        cells = [cell for one in run.report.classes for cell in one.zones if cell.zone == zone]
        counted = sum(cell.received for cell in cells)
        if counted != received:
            lines.append(f"broken: {zone} received {received}, the report says {counted}")
    return lines


def draw(path: Path, runs: dict[str, Run], seconds: float) -> None:
    slots = int(len(PARTS) * seconds / SLOT_S)
    times = [slot * SLOT_S for slot in range(slots)]
    crossings: dict[str, list[float]] = {}
    served: dict[str, list[float]] = {}
    for name, run in runs.items():
        away, good, sent = [0.0] * slots, [0.0] * slots, [0.0] * slots
        for at in run.away:
            if 0 <= (slot := int((at - run.began) / SLOT_S)) < slots:
                away[slot] += 1 / SLOT_S
        for record in (record for part in run.records for record in part):
            if (
                0 <= (slot := int((record.sent - run.began) / SLOT_S)) < slots
                and REQUEST_CLASSES[record.class_index].keyed
            ):
                sent[slot] += 1
                good[slot] += (
                    record.status == 200
                    and record.took <= REQUEST_CLASSES[record.class_index].latency_objective
                )
        crossings[name] = away
        served[name] = [g / s if s else 1.0 for g, s in zip(good, sent, strict=True)]
    over_time(
        path,
        times,
        [
            ("sends to the other zone a second", crossings, 0.0, ""),
            ("seat-checkouts in aim", served, 1.0, "all"),
        ],
    )


async def measure(args: argparse.Namespace) -> int:
    runs = {name: await play(text, args.rate, args.seconds) for name, text in WAYS.items()}
    print(
        "| told | the own zone | status-checks in aim / refused | seat-checkouts in aim / refused "
        "| crossed | p50 / p99 ms |"
    )
    print("| --- " * 6 + "|")
    for name, run in runs.items():
        print("\n".join(rows(name, run)))
    print("\n| told | class | crossed | spill | lost | copy | bound | past | refused for it |")
    print("| --- " * 9 + "|")
    for name, run in runs.items():
        print("\n".join(told(name, run)), end="\n" if run.report else "")
    broken = [line for run in runs.values() for line in run.broken]
    for line in broken[:10]:
        print(f"broken: {line}")
    if args.svg:
        draw(args.svg, runs, args.seconds)
    return 1 if broken else 0


def cost(hosts: int, on: bool, requests: int = 20_000) -> float:
    """Microseconds of CPU time that the module takes for a request, with `hosts` half of which are away."""
    told = Settings(
        routes=(
            Route(
                name="r",
                idempotency=Idempotency.IDEMPOTENT,
                latency_objective_us=580_000,
                deadline_us=1_400_000,
            ),
        ),
        max_attempts=4,
        hedging_allowed=True,
        cancellation_allowed=True,
    )
    module = Balancer(
        told, 1, CrossZoneBudget(CrossZoneLimits(0.05, (RouteAllowance(),))) if on else None
    )
    servers = tuple(Endpoint(i, zone=i % 2) for i in range(hosts))
    module.handle(1, [EndpointUpdate(UpdateKind.FULL, servers)])
    began = time.process_time()
    for number in range(requests):
        now = 1_000 + 500 * number
        module.handle(now, [RequestArrived(number, 0, now + 1_400_000)])
        module.handle(now + 400, [AttemptFinished(number, 0, Outcome.SUCCESS, 400, True)])
        module.timers.clear()
    return (time.process_time() - began) / requests * 1e6


def costs() -> None:
    print("| hosts | us a request, off | on |\n| --- | --- | --- |")
    for hosts in (8, 100, 1000):
        off, on = (min(cost(hosts, one) for _ in range(5)) for one in (False, True))
        print(f"| {hosts} | {off:.1f} | {on:.1f} |")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=150.0, help="requests a second (default 150)")
    parser.add_argument("--seconds", type=float, default=8.0, help="of each part (default 8)")
    parser.add_argument("--svg", type=Path, help="draw the crossings over time")
    parser.add_argument("--cost", action="store_true", help="time the module alone")
    args = parser.parse_args()
    if args.cost:
        costs()
        return 0
    return uvloop.run(measure(args))


if __name__ == "__main__":
    sys.exit(main())
