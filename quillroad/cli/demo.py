"""`quillroad demo`: runs a gateway between simulated hosts and clients for a few seconds.

The requests that clients sent and the answers they got are compared with what hosts received.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path

import click
import uvloop
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from quillroad.cli.exit_status import ExitStatus
from testbed.account import OutcomeCounts, RequestClass, count_outcomes, percentile
from testbed.clients import Load
from testbed.environment import Environment
from testbed.schedule import steady

ROUTES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
ROUTE_SHARES = (3, 1)  # relative rate of requests of each route
HOST_COUNT = 6
SLOW_HOST = 1
HANGING_HOST = 2
DRAINED_HOST = 3
HOST_DELAY_S = 0.02  # from the receipt of a request to the answer
SLOW_HOST_DELAY_S = 0.4  # close to, but within the shorter objective of the routes
BEHAVIOURS = {
    SLOW_HOST: "answers after 400 ms",
    HANGING_HOST: "answers nothing",
    DRAINED_HOST: "drains half way",
}
ORDINARY_BEHAVIOUR = "answers after 20 ms"
# Time after discovery reported a drain in which the host may still receive requests.
DRAIN_GRACE_S = 0.5
PROGRESS_INTERVAL_S = 0.1  # between updates of the progress bar
MIN_WIDTH_COLUMNS = 100  # the tables would wrap at the 80 columns assumed without a terminal
MAX_PRINTED_VIOLATIONS = 10
ROUTE_COLUMNS = (
    "class",
    "sent",
    "in aim",
    "after it",
    "refused",
    "failed",
    "unanswered",
    "p50 ms",
    "p99 ms",
)
HOST_COLUMNS = ("host", "does", "received", "after its drain")


@click.command(
    help="Run a gateway on loopback: six hosts, one slow, one that answers nothing, "
    "one that drains half way."
)
@click.option("--seconds", type=click.FloatRange(1.0, 60.0), default=6.0, show_default=True)
@click.option("--rate", type=click.FloatRange(10.0, 1000.0), default=150.0, show_default=True)
def demo(seconds: float, rate: float) -> int:
    """Send `rate` requests per second for `seconds`, and print the outcomes."""
    return uvloop.run(_run(seconds, rate))


async def _run(seconds: float, rate: float) -> int:
    """Run the demo; return the exit status, 1 if the testbed found a violation."""
    console = Console(width=max(MIN_WIDTH_COLUMNS, Console().width))
    with tempfile.TemporaryDirectory() as folder:
        async with Environment(
            Path(folder), ROUTES, hosts=HOST_COUNT, delay=HOST_DELAY_S
        ) as testbed:
            testbed.hosts[SLOW_HOST].delay = SLOW_HOST_DELAY_S
            testbed.hosts[HANGING_HOST].hangs = True
            load = testbed.load(weights=ROUTE_SHARES)
            drained_at = await _send(console, testbed, load, seconds, rate)
            violation_lines = testbed.violations(load)
            console.print(
                _route_table(count_outcomes(load.records, ROUTES)), _host_table(testbed, drained_at)
            )
            return _print_result(console, violation_lines)


def _print_result(console: Console, violation_lines: Sequence[str]) -> int:
    """Print whether there were violations, and the first ones; return the exit status."""
    for line in violation_lines[:MAX_PRINTED_VIOLATIONS]:
        console.print(f"broken: {line}")
    if violation_lines:
        console.print("a rule was broken")
        return ExitStatus.FAILED
    console.print("every request accounted for, no rule broken")
    return ExitStatus.OK


async def _send(
    console: Console, testbed: Environment, load: Load, seconds: float, rate: float
) -> float:
    """Send all requests, and drain a host once half of them are done.

    Return the time of the drain (monotonic clock, seconds), 0 if there was none.
    """
    request_count = rate * seconds
    drained_at = 0.0
    sending = asyncio.ensure_future(load.open_loop(steady(rate, seconds)))
    with Progress(console=console, transient=True) as progress:
        bar = progress.add_task("sending", total=int(request_count))
        while not sending.done():
            await asyncio.wait({sending}, timeout=PROGRESS_INTERVAL_S)
            progress.update(bar, completed=len(load.records))
            if not drained_at and len(load.records) > request_count / 2:
                drained_at = testbed.tell(testbed.hosts[DRAINED_HOST], lifecycle="draining")
    await sending
    return drained_at


def _route_table(rows: Mapping[str, OutcomeCounts]) -> Table:
    """Return a table of the outcomes and latencies of each route's requests."""
    table = Table(*ROUTE_COLUMNS)
    for name, row in rows.items():
        counts = (
            row.sent,
            row.within_objective,
            row.after_objective,
            row.rejected,
            row.failed,
            row.unanswered,
        )
        table.add_row(
            name,
            *(str(count) for count in counts),
            f"{percentile(row.took, 0.5) * 1e3:.0f}",
            f"{percentile(row.took, 0.99) * 1e3:.0f}",
        )
    return table


def _host_table(testbed: Environment, drained_at: float) -> Table:
    """Return a table of the requests that each host received.

    For the drained host it also counts those received later than `DRAIN_GRACE_S` after the drain.
    """
    table = Table(*HOST_COLUMNS)
    for number, host in enumerate(testbed.hosts):
        after_drain = ""
        if number == DRAINED_HOST:
            last_allowed = drained_at + DRAIN_GRACE_S
            after_drain = str(sum(receipt.at > last_allowed for receipt in host.receipts))
        behaviour = BEHAVIOURS.get(number, ORDINARY_BEHAVIOUR)
        table.add_row(host.name, behaviour, str(len(host.receipts)), after_drain)
    return table
