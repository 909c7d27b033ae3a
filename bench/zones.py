"""What a cross-zone budget does when the local zone fails: `python -m bench.zones`.

A gateway in `east`, with four hosts there and four in `west`, takes steady load of both classes
through four phases: all hosts are healthy, half of the local zone hangs, all of it hangs, all are
healthy again. This is played once for each configuration: no budget at all, one that seat-checkouts
may exceed, one that nobody may exceed, and one of nothing.

The first table has what became of the requests in each phase:

    told                the configuration: the budget that the gateway was given
    the own zone        the phase: what the hosts of the local zone do ("well": healthy)
    CLASS in aim / refused  parts (0 to 1) of the requests of a class that were answered 200 within
                        the latency objective, and that were rejected (429 or 503)
    crossed             requests that hosts of the remote zone received, for each request of clients
    p50 / p99 ms        latency of the answers of 200

The second has the attempts that crossed zones, by the gateway's report over all phases:

    told, class         the configuration, and the class of requests
    crossed             attempts that were sent to the remote zone; the sum of the next four columns
    spill               of them, because the local zone was healthy but had no room
    lost                ... because too few hosts of the local zone were healthy
    copy                ... as hedged attempts
    bound               ... because the request may have run there, so that only hosts of that zone
                        drop a repeat of its idempotency key
    past                of the crossed ones, those that exceeded the budget
    refused for it      requests that were rejected because no budget was left for them

A line "broken" is a total of the report that is not that of the stand-in hosts, or a violation of
what every gateway must keep. Needs three cores; about three minutes. `--svg FILE` draws the
crossings over time. `--cost` times the balancer alone, with and without a budget.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from pathlib import Path

import uvloop

from bench.picture import over_time
from bench.request_classes import MIX, REQUEST_CLASSES
from bench.tables import header, percentiles_ms, row
from bench.zones_cost import print_costs
from quillroad.zones.report import Report, read_report
from testbed.account import Record, count_outcomes, total
from testbed.clients import Load
from testbed.environment import Environment
from testbed.schedule import steady

LOCAL_ZONE, REMOTE_ZONE = "east", "west"
HOSTS = 8  # in the two zones in turn
HOST_DELAY_S = 0.02
MAX_CONNECTIONS = 900  # of all clients
REPORT_WAIT_S = 0.5  # several intervals of the report: it has the last request by then
MOST_BROKEN_SHOWN = 10  # violations of the rules that are printed

BUDGET_FILE = """
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
when_lost = "{when_lost}"
[report]
file = "{report}"
every = "100 ms"
"""


@dataclass(frozen=True)
class Budget:
    """A budget for cross-zone traffic.

    `fraction` (0 to 1) of the first attempts may cross. `when_lost` is what seat-checkouts do once
    that is used up, while the local zone is lost: "spend" or "refuse".
    """

    fraction: float
    when_lost: str

    def file(self, report: Path) -> str:
        """The text of the budget file, with the report in `report`."""
        return BUDGET_FILE.format(share=self.fraction, when_lost=self.when_lost, report=report)


CONFIGURATIONS: dict[str, Budget | None] = {
    "no budget": None,
    "5%, checkouts pass it": Budget(0.05, "spend"),
    "5%, nobody passes it": Budget(0.05, "refuse"),
    "nothing may cross": Budget(0.0, "refuse"),
}


class Phase(StrEnum):
    """What the local zone does; the value is the cell of the table."""

    HEALTHY = "well"
    HALF_HANGS = "half hangs"
    ALL_HANGS = "all hangs"
    HEALTHY_AGAIN = "well again"

    def hangs(self, index: int) -> bool:
        """Whether the local host of this index (from 0) hangs."""
        return self is Phase.ALL_HANGS or (self is Phase.HALF_HANGS and index % 2 == 0)


@dataclass(frozen=True)
class Run:
    """All phases with one configuration. Times are of the monotonic clock, in seconds.

    `crossings` are when a host of the remote zone received something; `received` counts by zone
    what its hosts received; `report` is None where there was no budget.
    """

    records: dict[Phase, list[Record]]
    crossings: list[float]
    received: dict[str, int]
    rule_violations: list[str]
    report: Report | None

    @property
    def began(self) -> float:
        """When the first request was sent."""
        return self.records[Phase.HEALTHY][0].sent


async def play(budget: Budget | None, rate: float, phase_s: float) -> Run:
    """Take a gateway through all phases, `phase_s` seconds each, at `rate` requests a second."""
    with tempfile.TemporaryDirectory() as name:
        report = Path(name) / "report.json"
        async with Environment(
            Path(name),
            REQUEST_CLASSES,
            hosts=HOSTS,
            delay=HOST_DELAY_S,
            zones=(LOCAL_ZONE, REMOTE_ZONE),
            budget=budget.file(report) if budget else "",
        ) as environment:
            load = environment.load(weights=MIX, most=MAX_CONNECTIONS)
            records = {
                phase: await _play_phase(environment, load, phase, rate, phase_s) for phase in Phase
            }
            receipts = {
                zone: [
                    r.at for host in environment.hosts if host.zone == zone for r in host.receipts
                ]
                for zone in (LOCAL_ZONE, REMOTE_ZONE)
            }
            rule_violations = environment.violations(load)
            if budget:
                await asyncio.sleep(REPORT_WAIT_S)
            return Run(
                records=records,
                crossings=receipts[REMOTE_ZONE],
                received={zone: len(times) for zone, times in receipts.items()},
                rule_violations=rule_violations,
                report=read_report(report.read_bytes()) if budget else None,
            )


async def _play_phase(
    environment: Environment, load: Load, phase: Phase, rate: float, seconds: float
) -> list[Record]:
    """Play one phase; returns its requests."""
    local_hosts = [host for host in environment.hosts if host.zone == LOCAL_ZONE]
    for index, host in enumerate(local_hosts):
        host.hangs = phase.hangs(index)
    before = len(load.records)
    await load.open_loop(steady(rate, seconds))
    return load.records[before:]


def phase_rows(name: str, run: Run) -> list[str]:
    """The rows of one configuration in the table of phases."""
    return [
        phase_row(name, phase, records, run.crossings) for phase, records in run.records.items()
    ]


def phase_row(name: str, phase: Phase, records: list[Record], crossings: list[float]) -> str:
    """One row: parts (0 to 1) of requests by class, crossings a request, latency in ms."""
    by_class = count_outcomes(records, REQUEST_CLASSES).values()
    parts = [
        f"{counts.within_objective / counts.sent:.3f} / {counts.rejected / counts.sent:.3f}"
        for counts in by_class
    ]
    began, ended = records[0].sent, records[-1].sent
    crossed = sum(began <= at <= ended for at in crossings)
    latency = percentiles_ms(total(by_class).took)
    return row(name, phase, *parts, f"{crossed / len(records):.3f}", latency)


def budget_rows(name: str, run: Run) -> list[str]:
    """What the gateway reports of each class, and a line for each zone whose total is wrong.

    The report's total of a zone must be what its hosts received.
    """
    if run.report is None:
        return []
    classes = run.report.classes
    rows = [
        row(name, route.name, route.crossed, *route.reasons.values(), route.past, route.refused)
        for route in classes
    ]
    for zone, received in run.received.items():
        reported = sum(
            traffic.received for route in classes for traffic in route.zones if traffic.zone == zone
        )
        if reported != received:
            rows.append(f"broken: {zone} received {received}, the report says {reported}")
    return rows


SLOT_S = 0.5  # of the picture


def draw(path: Path, runs: dict[str, Run], phase_s: float) -> None:
    """Draw the crossings a second and the checkouts in their objective, a line a configuration."""
    slots = int(len(Phase) * phase_s / SLOT_S)
    crossings = {
        name: [count / SLOT_S for count in _count_by_slot(run.crossings, run.began, slots)]
        for name, run in runs.items()
    }
    in_objective = {name: _checkouts_in_objective(run, slots) for name, run in runs.items()}
    over_time(
        path,
        [slot * SLOT_S for slot in range(slots)],
        [
            ("sends to the other zone a second", crossings, 0.0, ""),
            ("seat-checkouts in aim", in_objective, 1.0, "all"),
        ],
    )


def _checkouts_in_objective(run: Run, slots: int) -> list[float]:
    """Part (0 to 1) of the checkouts sent in each slot that were served within their objective."""
    checkouts = [
        record
        for records in run.records.values()
        for record in records
        if REQUEST_CLASSES[record.class_index].keyed
    ]
    within_objective = [record for record in checkouts if _is_in_objective(record)]
    sent_counts = _count_by_slot((record.sent for record in checkouts), run.began, slots)
    served_counts = _count_by_slot((record.sent for record in within_objective), run.began, slots)
    return [
        served_count / sent_count if sent_count else 1.0
        for served_count, sent_count in zip(served_counts, sent_counts, strict=True)
    ]


def _is_in_objective(record: Record) -> bool:
    """Whether a request was served within its latency objective."""
    return (
        record.status == HTTPStatus.OK
        and record.took <= REQUEST_CLASSES[record.class_index].latency_objective
    )


def _count_by_slot(times: Iterable[float], began: float, slots: int) -> list[int]:
    """How many of the times lie in each slot of `SLOT_S` from `began` on; others do not count."""
    counts = [0] * slots
    for at in times:
        slot = int((at - began) / SLOT_S)
        if 0 <= slot < slots:
            counts[slot] += 1
    return counts


PHASE_COLUMNS = (
    "told",
    "the own zone",
    "status-checks in aim / refused",
    "seat-checkouts in aim / refused",
    "crossed",
    "p50 / p99 ms",
)
BUDGET_COLUMNS = (
    "told",
    "class",
    "crossed",
    "spill",
    "lost",
    "copy",
    "bound",
    "past",
    "refused for it",
)


async def measure(rate: float, phase_s: float, picture: Path | None) -> int:
    """Play all configurations and print the tables; returns the exit status.

    `rate` in requests a second, `phase_s` seconds a phase; `picture` is drawn where it is given.
    """
    runs = {name: await play(budget, rate, phase_s) for name, budget in CONFIGURATIONS.items()}
    print(header(*PHASE_COLUMNS))
    for name, run in runs.items():
        _print_lines(phase_rows(name, run))
    print(f"\n{header(*BUDGET_COLUMNS)}")
    for name, run in runs.items():
        _print_lines(budget_rows(name, run))
    rule_violations = [line for run in runs.values() for line in run.rule_violations]
    _print_lines([f"broken: {line}" for line in rule_violations[:MOST_BROKEN_SHOWN]])
    if picture is not None:
        draw(picture, runs, phase_s)
    return 1 if rule_violations else 0


def _print_lines(lines: Sequence[str]) -> None:
    for line in lines:
        print(line)


def main() -> int:
    """Run the program; returns its exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rate", type=float, default=150.0, help="requests a second (default 150)")
    parser.add_argument("--seconds", type=float, default=8.0, help="of each phase (default 8)")
    parser.add_argument("--svg", type=Path, help="draw the crossings over time")
    parser.add_argument("--cost", action="store_true", help="time the balancer alone")
    args = parser.parse_args()
    if args.cost:
        print_costs()
        return 0
    return uvloop.run(measure(args.rate, args.seconds, args.svg))


if __name__ == "__main__":
    sys.exit(main())
