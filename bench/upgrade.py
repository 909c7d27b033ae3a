"""What an upgrade costs the requests that are served meanwhile: `python -m bench.upgrade`.

A gateway under steady open-loop load of both classes is upgraded again and again, with `--broken`
to broken builds, too. Printed are three tables and a summary.

How long each phase of an upgrade took, by the supervisor's log:

    step    the phase, as `quillroad.upgrade.supervisor` names it
    times   how often an upgrade was in that phase
    p50 ms, max ms  its duration

What became of the upgrades to each kind of build: how many, and the last lines of the answers to
the command `upgrade`.

What became of the requests: of all, of those near a switch to another process, and of those in the
second before:

    in aim        answered 200 within the latency objective
    refused       rejected: 429 or 503
    failed        answered with any other status
    no answer     the connection ended first
    p50 / p99 ms  latency of the answers of 200

The summary has connects that the gateway's address refused, connections that clients opened from
the first upgrade on, requests that clients sent once more because their connection had been closed,
and the most descriptors and resident memory (MB: MiB) of supervisor and workers together. A line
"broken" is a violation of what every gateway must keep (`testbed.account.rule_violations`).

`--cold` compares, with one host of six that hangs, the routing of the first seconds after a switch
to a process with the old one's state, to one without, and without a switch
(`bench.upgrade_successors` explains its columns). `--queues` shows what the kernel does with
connects that nobody has accepted yet. Needs three cores; about a minute.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import re
import sys
import time
from collections import defaultdict
from collections.abc import AsyncIterator, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import NamedTuple

import uvloop

from bench.accept_queue import print_queues
from bench.request_classes import summarize
from bench.tables import MS_PER_S, header, percentiles_ms, row
from bench.upgradable_gateway import sent_within, steady_load, upgradable_gateway
from bench.upgrade_successors import compare_successors
from quillroad.upgrade.supervisor_state import Phase
from testbed.account import Record, percentile
from testbed.builds import BROKEN
from testbed.clients import Load
from testbed.gateway import GatewayProcess

BASELINE_S = 1.0  # of load without an upgrade, before the first one and after the last
WATCH_S = 0.004  # between two looks at the gateway's processes
POLL_S = 0.02  # between two looks at whether an upgrade is over
WINDOW_S = 0.5  # on each side of a switch
MOST_BROKEN_SHOWN = 10  # violations of the rules that are printed
MOST_ANSWER_SHOWN = 120  # characters of the answers to `upgrade` that are printed
GOOD_BUILD = ""  # the key in `BROKEN` of the build that nothing is changed in
STATUS_LINES_AT_REST = 2  # of the supervisor and of the one process that serves


@dataclass
class Observation:
    """What was seen while upgrades ran.

    `switches` are the times (monotonic clock, seconds) when another process took over; `answers`
    are the last lines of the answers to `upgrade`, by build. Descriptors and memory (MiB) are the
    most of all processes together.
    """

    switches: list[float] = field(default_factory=list)
    most_descriptors: int = 0
    most_mib: float = 0.0
    answers: defaultdict[str, list[str]] = field(default_factory=lambda: defaultdict(list))


def memory_mib(pids: Iterable[int]) -> float:
    """Resident memory of these processes together, in MiB; those that have ended have none."""
    pages = 0
    for pid in pids:
        with contextlib.suppress(OSError):  # it has just ended
            pages += int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


@contextlib.asynccontextmanager
async def observed(gateway: GatewayProcess) -> AsyncIterator[Observation]:
    """What is seen of a gateway's processes until the end of the block."""
    observation = Observation()
    over = asyncio.Event()
    watching = asyncio.ensure_future(_watch(gateway, observation, over))
    try:
        yield observation
    finally:
        over.set()
        await watching


async def _watch(gateway: GatewayProcess, observation: Observation, over: asyncio.Event) -> None:
    serving = ""
    while not over.is_set():
        descriptors = gateway.processes()
        observation.most_descriptors = max(observation.most_descriptors, sum(descriptors.values()))
        observation.most_mib = max(observation.most_mib, memory_mib(descriptors))
        now_serving = _serving_process(await gateway.send_command("status"))
        if now_serving and serving not in ("", now_serving):
            observation.switches.append(time.monotonic())
        serving = now_serving or serving
        await asyncio.sleep(WATCH_S)


def _serving_process(status: Iterable[str]) -> str:
    """The name of the process that serves, by the answer to `status`; empty: none does."""
    return next((line for line in status if ": serves" in line), "").partition(":")[0]


async def upgrade_once(gateway: GatewayProcess) -> str:
    """Upgrade to the build on the disk; returns the last line of the answer once all is over."""
    answer = await gateway.send_command("upgrade")
    while len(await gateway.send_command("status")) > STATUS_LINES_AT_REST:
        await asyncio.sleep(POLL_S)
    return answer[-1]


async def measure(count: int, rate: float, kinds: Sequence[str], canary: str) -> int:
    """Upgrade `count` times, to each kind of build in turn; print all, return the exit status.

    `rate` is of the load, in requests a second; `kinds` are keys of `testbed.builds.BROKEN`.
    """
    async with (
        upgradable_gateway(canary) as (environment, builds),
        steady_load(environment, rate) as load,
        observed(environment.gateway) as observation,
    ):
        await asyncio.sleep(BASELINE_S)
        connections_before = _connections(load)
        for number in range(count):
            kind = kinds[number % len(kinds)]
            builds.put(kind)
            answer = await upgrade_once(environment.gateway)
            observation.answers[kind or "a good build"].append(answer)
        await asyncio.sleep(BASELINE_S)
    print_phases(environment.log)
    print_answers(observation)
    print_requests(load, observation.switches)
    print_totals(load, observation, _connections(load) - connections_before)
    rule_violations = environment.violations(load)
    for line in rule_violations[:MOST_BROKEN_SHOWN]:
        print(f"broken: {line}")
    return 1 if rule_violations else 0


def _connections(load: Load) -> int:
    """Connections on which the load has sent a request so far."""
    return sum(record.first_on_connection for record in load.records)


# The phases, by the log.


UPGRADE_PHASES = frozenset(
    {
        Phase.PROBING,
        Phase.PREPARING,
        Phase.SWITCHING,
        Phase.CANARY,
        Phase.RETURNING,
        Phase.SERVING,
    }
)
LOG_LINE = re.compile(r"^(\d\d):(\d\d):(\d\d\.\d\d\d) quillroad\.upgrade: (\w+)", re.MULTILINE)


class PhaseStart(NamedTuple):
    """When a phase began, by the log: seconds since midnight."""

    phase: str
    at_s: float


def phase_starts(log: str) -> Iterator[PhaseStart]:
    """The phases of all upgrades in the supervisor's log, in order."""
    for hours, minutes, seconds, phase in LOG_LINE.findall(log):
        if phase in UPGRADE_PHASES:
            yield PhaseStart(phase, (int(hours) * 60 + int(minutes)) * 60 + float(seconds))


def phase_durations_ms(log: str) -> dict[str, list[float]]:
    """How long each phase of an upgrade took, each time, by the phase; the supervisor's log."""
    durations_ms: defaultdict[str, list[float]] = defaultdict(list)
    for start, following in pairwise(phase_starts(log)):
        if start.phase != Phase.SERVING:  # that is the time between two upgrades
            durations_ms[start.phase].append((following.at_s - start.at_s) * MS_PER_S)
    return durations_ms


# What is printed of upgrades.


def print_phases(log: str) -> None:
    """Print how long each phase took."""
    print(header("step", "times", "p50 ms", "max ms"))
    for phase, durations_ms in phase_durations_ms(log).items():
        count, median_ms = len(durations_ms), percentile(durations_ms, 0.5)
        print(row(phase, count, f"{median_ms:.0f}", f"{max(durations_ms):.0f}"))


def print_answers(observation: Observation) -> None:
    """Print what became of upgrades to each kind of build."""
    print(f"\n{header('build', 'became')}")
    for kind, answers in observation.answers.items():
        different = ", ".join(sorted(set(answers)))
        print(row(kind, f"{len(answers)} times: {different[:MOST_ANSWER_SHOWN]}"))


def print_requests(load: Load, switches: Sequence[float]) -> None:
    """Print what became of all requests, of those near a switch, and of those before."""
    records = load.records
    near = [r for at in switches for r in sent_within(records, at - WINDOW_S, at + WINDOW_S)]
    before = [r for at in switches for r in sent_within(records, at - 3 * WINDOW_S, at - WINDOW_S)]
    columns = ("requests", "sent", "in aim", "refused", "failed", "no answer", "p50 / p99 ms")
    print(f"\n{header(*columns)}")
    print(request_row("all", records))
    print(request_row(f"within {WINDOW_S} s of {len(switches)} switches", near))
    print(request_row("in the second before that", before))


def request_row(name: str, records: Iterable[Record]) -> str:
    """One row: what became of these requests, both classes together."""
    whole = summarize(records)
    counts = (whole.sent, whole.within_objective, whole.rejected, whole.failed, whole.unanswered)
    return row(name, *counts, percentiles_ms(whole.took))


def print_totals(load: Load, observation: Observation, new_connections: int) -> None:
    """Print what became of connections, and what all processes together needed at most."""
    sent_again = sum(record.resent for record in load.records)
    print(
        f"\nconnects refused {load.refused_connects}, connections opened anew {new_connections}, "
        f"requests sent again {sent_again}\n"
        f"all processes together: {observation.most_descriptors} descriptors and "
        f"{observation.most_mib:.0f} MB at most"
    )


async def run(args: argparse.Namespace) -> int:
    """Do what the options say; returns the exit status."""
    if args.queues:
        print_queues()
        return 0
    if args.cold:
        await compare_successors(args.count, args.rate, args.seconds)
        return 0
    kinds = list(BROKEN) if args.broken else [GOOD_BUILD]
    return await measure(args.count, args.rate, kinds, args.canary)


def main() -> int:
    """Run the program; returns its exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--count", type=int, default=20, help="upgrades (default 20); runs with --cold"
    )
    parser.add_argument("--rate", type=float, default=300.0, help="requests a second (default 300)")
    parser.add_argument(
        "--canary",
        default="500 ms",
        help="time for which the old process stands by after a switch (default 500 ms)",
    )
    parser.add_argument(
        "--broken", action="store_true", help="upgrade to every kind of broken build, too"
    )
    parser.add_argument(
        "--cold", action="store_true", help="compare a successor without the state snapshot"
    )
    parser.add_argument(
        "--queues", action="store_true", help="what becomes of connects that nobody has accepted"
    )
    parser.add_argument(
        "--seconds", type=float, default=5.0, help="watched after a switch, with --cold (default 5)"
    )
    return uvloop.run(run(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
