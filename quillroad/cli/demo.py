"""`quillroad demo`: a gateway between stand-in hosts and clients for some seconds, every request accounted
for."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import click
import uvloop
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from testbed.account import Work, percentile, tally
from testbed.schedule import steady
from testbed.stage import Stage

WORKS = [
    Work("status-check", 0.58, 1.4, 2.0),
    Work("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body=200),
]
SLOW, HANGS, DRAINS = 1, 2, 3  # which hosts do what


@click.command()
@click.option("--seconds", type=click.FloatRange(1.0, 60.0), default=6.0, show_default=True)
@click.option("--rate", type=click.FloatRange(10.0, 1000.0), default=150.0, show_default=True)
def demo(seconds: float, rate: float) -> int:
    """Run a gateway on loopback: six hosts, one slow, one that answers nothing, one that drains half way."""
    return uvloop.run(_run(seconds, rate))


async def _run(seconds: float, rate: float) -> int:
    console = Console(width=max(100, Console().width))
    with tempfile.TemporaryDirectory() as folder:
        async with Stage(Path(folder), WORKS, hosts=6, delay=0.02) as stage:
            stage.hosts[SLOW].delay, stage.hosts[HANGS].hangs = 0.4, True
            load = stage.load(shares=(3, 1))
            sending = asyncio.ensure_future(load.open_loop(steady(rate, seconds)))
            drained = 0.0
            with Progress(console=console, transient=True) as progress:
                shown = progress.add_task("sending", total=int(rate * seconds))
                while not sending.done():
                    await asyncio.wait({sending}, timeout=0.1)
                    progress.update(shown, completed=len(load.records))
                    if not drained and len(load.records) > rate * seconds / 2:
                        drained = stage.tell(stage.hosts[DRAINS], lifecycle="draining")
            await sending
            rows, broken = tally(load.records, WORKS), stage.broken(load)
            classes = Table(
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
            for name, row in rows.items():
                classes.add_row(
                    name,
                    *(str(n) for n in (row.sent, row.in_aim, row.served, row.refused, row.failed)),
                    str(row.unanswered),
                    f"{percentile(row.took, 0.5) * 1e3:.0f}",
                    f"{percentile(row.took, 0.99) * 1e3:.0f}",
                )
            hosts = Table("host", "does", "received", "after its drain")
            does = {
                SLOW: "answers after 400 ms",
                HANGS: "answers nothing",
                DRAINS: "drains half way",
            }
            for number, host in enumerate(stage.hosts):
                late = (
                    sum(1 for r in host.receipts if r.at > drained + 0.5) if number == DRAINS else 0
                )
                hosts.add_row(
                    host.name,
                    does.get(number, "answers after 20 ms"),
                    str(len(host.receipts)),
                    str(late) if number == DRAINS else "",
                )
            console.print(classes, hosts)
            for line in broken[:10]:
                console.print(f"broken: {line}")
            console.print(
                "a rule was broken" if broken else "every request accounted for, no rule broken"
            )
            return 1 if broken else 0
