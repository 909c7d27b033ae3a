"""Many gateway processes through faults in turn: `python -m bench.fleet_processes [--gateways 60]`.

Their datagrams go through the relay; with `--aloud` there is a broadcast address, too. One after
the other, under load: all start, seven in ten are killed, these start again, a partition two to
three, its heal. For each the table has the seconds until all views agreed, how often one gateway
held another wrongly for gone (false positives), and the bytes that a gateway sent a second. The
last line accounts for every request. The more processes share a core, the later their timers run:
the figures are of this machine, too.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from bench.fleet_groups import killed_and_left, partition_sides
from bench.request_classes import REQUEST_CLASSES, summarize
from bench.tables import header, row
from quillroad.membership.member_table import MemberState
from quillroad.membership.report import Report, read_report
from quillroad.membership.view import ChangeKind
from testbed.clients import Load
from testbed.environment import Environment
from testbed.gateway import GatewayProcess
from testbed.schedule import steady

HOSTS = 6
HOST_DELAY_S = 0.01
MEMBERSHIP_FILE = '[use]\nhold = "5 s"'
TIMEOUT_S = 60.0  # after which views count as never agreeing
POLL_S = 0.1  # between two looks at the views
RATE = 5.0  # requests a second of each gateway that has load
LOADED = 6  # gateways that have load


class FaultRun:
    """The faults in one environment of `count` gateways; each prints its row once views agree."""

    def __init__(self, environment: Environment, count: int) -> None:
        self._environment = environment
        self._all = set(range(count))
        self._killed, self._left = killed_and_left(count)
        self._sides = partition_sides(count)

    async def started(self, began: float) -> None:
        """All gateways have been started, at `began` of the monotonic clock."""
        await self._print_row("all start", [self._all], began)

    def loads(self) -> list[Load]:
        """Loads on some of the gateways that are never killed."""
        return [self._environment.load(number) for number in sorted(self._left)[:LOADED]]

    async def kill(self) -> None:
        """Seven in ten are killed at once; the processes are reaped once the views agree."""
        began = time.monotonic()
        for gateway in self._killed_gateways():
            gateway.kill()
        await self._print_row("seven in ten killed", [self._left], began)
        await asyncio.gather(*(gateway.stop() for gateway in self._killed_gateways()))

    async def restart(self) -> None:
        """Those that were killed start again."""
        began = time.monotonic()
        await asyncio.gather(*(gateway.start() for gateway in self._killed_gateways()))
        # Until the last has started, those that start sooner are right to hold it for gone.
        await self._print_row("these start again", [self._all], began, time.monotonic())

    async def partition(self) -> None:
        """The relay cuts two groups of gateways off from each other."""
        began = time.monotonic()
        one, other = self._sides
        await self._environment.relay.apart(sorted(one), sorted(other))
        await self._print_row("partition", self._sides, began)

    async def heal(self) -> None:
        """The relay lets everything through again."""
        began = time.monotonic()
        await self._environment.relay.rule()
        await self._print_row("heal", [self._all], began)

    def _killed_gateways(self) -> list[GatewayProcess]:
        return [self._environment.gateways[number] for number in self._killed]

    async def _print_row(
        self,
        event: str,
        groups: Sequence[set[int]],
        began: float,
        wrong_from: float | None = None,
    ) -> None:
        """Wait until each group agrees on itself, and print what that took since `began`.

        To hold one of the own group for gone counts as wrong from `wrong_from` on, by default from
        `began`. Both are times of the monotonic clock.
        """
        environment = self._environment
        before = await _sent_bytes(environment)
        agreed = await _wait_until(
            lambda: all(_views_agree(environment, group) for group in groups)
        )
        after = await _sent_bytes(environment)
        elapsed_s = max(POLL_S, time.monotonic() - began)
        rates = [(size - before.get(number, 0)) / elapsed_s for number, size in after.items()]
        since = began if wrong_from is None else wrong_from
        wrong = sum(_false_failures(environment, group, since) for group in groups)
        agreed_after = f"{time.monotonic() - began:.1f}" if agreed else "never"
        print(row(event, agreed_after, wrong, f"{_mean(rates):.0f}"), flush=True)


def _mean(values: Sequence[float]) -> float:
    """The mean, 0 of no values: before any datagram the relay has no gateway's count."""
    return sum(values) / max(1, len(values))


async def _sent_bytes(environment: Environment) -> dict[str, int]:
    """Bytes of datagrams that each gateway has sent so far, by its number as JSON has it."""
    report = await environment.relay.send_command()
    sent: dict[str, int] = report["bytes"]
    return sent


async def _wait_until(condition: Callable[[], bool]) -> bool:
    """Whether the condition came to hold in time."""
    began = time.monotonic()
    while not condition():
        if time.monotonic() - began > TIMEOUT_S:
            return False
        await asyncio.sleep(POLL_S)
    return True


def _read_view(gateway: GatewayProcess) -> Report | None:
    """A gateway's view as it was last written; None: there is no whole one."""
    try:
        return read_report(gateway.view_file.read_bytes())
    except (OSError, msgspec.MsgspecError):  # not there yet, or just being written
        return None


def _views_agree(environment: Environment, group: set[int]) -> bool:
    """Whether each of the group holds all others of it for alive, and nobody else."""
    return all(_view_is(_read_view(environment.gateways[n]), group - {n}) for n in group)


def _view_is(view: Report | None, expected: set[int]) -> bool:
    """Whether exactly these are alive in the view, and nobody is suspect."""
    if view is None:
        return False
    states = {line.number: line.standing for line in view.members}
    alive = {n for n, state in states.items() if state == MemberState.ALIVE.reported_name}
    return alive == expected and MemberState.SUSPECT.reported_name not in states.values()


def _false_failures(environment: Environment, group: set[int], since: float) -> int:
    """How often one of the group came to hold another of it for gone, from `since` on.

    All processes of a machine share the monotonic clock, so that the times of their changes compare
    with `since`.
    """
    return sum(
        change["event"] == ChangeKind.FAULTY
        and change["member"] in group
        and change["clock"] >= since
        for number in group
        for change in _read_changes(environment.gateways[number])
    )


def _read_changes(gateway: GatewayProcess) -> list[dict[str, Any]]:
    """The changes of a gateway's view as it wrote them, oldest first."""
    return [json.loads(line) for line in gateway.changes_file.read_text().splitlines()]


def _account(environment: Environment, loads: Sequence[Load]) -> str:
    """What became of all requests, in one line."""
    whole = summarize(record for load in loads for record in load.records)
    served = whole.within_objective + whole.after_objective
    unanswered = whole.sent - served - whole.rejected - whole.failed
    return (
        f"sent {whole.sent}, served {served}, refused {whole.rejected}, failed {whole.failed}, "
        f"unanswered {unanswered}, rules broken {len(environment.violations(*loads))}"
    )


async def play(gateways: int, seconds: float, broadcast: bool) -> None:
    """Take a fleet through all faults, under `seconds` of load from the start of all on."""
    with tempfile.TemporaryDirectory() as folder:
        environment = Environment(
            Path(folder),
            REQUEST_CLASSES,
            HOSTS,
            delay=HOST_DELAY_S,
            gateways=gateways,
            fleet=MEMBERSHIP_FILE,
            broadcast=broadcast,
        )
        began = time.monotonic()
        async with environment:
            run = FaultRun(environment, gateways)
            await run.started(began)
            loads = run.loads()
            sending = [
                asyncio.ensure_future(load.open_loop(steady(RATE, seconds))) for load in loads
            ]
            await run.kill()
            await run.restart()
            await run.partition()
            await run.heal()
            await asyncio.gather(*sending)
            for load in loads:
                await load.settle()
            print(_account(environment, loads))


def main() -> int:
    """Run the program; returns its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--gateways", type=int, default=60, help="processes (default 60)")
    parser.add_argument("--seconds", type=float, default=60.0, help="of load (default 60)")
    parser.add_argument("--aloud", action="store_true", help="with a broadcast address")
    args = parser.parse_args()
    print(header("event", "agreed after s", "wrongly gone", "bytes/s a gateway"))
    uvloop.run(play(args.gateways, args.seconds, args.aloud))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
