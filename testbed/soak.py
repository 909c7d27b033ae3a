"""A seeded soak: one gateway, hosts with faults, and the account of every request.

Half of the hosts set TCP_NODELAY; all of them write some answers twice, at once or some
milliseconds later. Meanwhile one host after another hangs or drains for a while, and the gateway's
agent of discovery is silent for a while and has a drain at its return.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from itertools import cycle
from pathlib import Path
from typing import Any

from testbed.account import (
    OutcomeCounts,
    Receipt,
    Record,
    RequestClass,
    count_outcomes,
    total,
)
from testbed.environment import Environment
from testbed.hosts import Host, SecondAnswers
from testbed.schedule import poisson

# Objectives and deadlines (seconds) that leave a busy machine time.
REQUEST_CLASSES = [
    RequestClass("status-check", 2.0, 5.0, 2.0),
    RequestClass("seat-checkout", 2.0, 5.0, 8.0, keyed=True, body_bytes=200),
]
HOST_COUNT = 9
ANSWER_S = 0.06
# At this rate a connection is often used again 20 to 40 ms after its last answer: after the reuse
# delay, and before the kernel would acknowledge the answer by itself.
REQUESTS_PER_S = 300.0
SECOND_ANSWER_FRACTION = 0.05
MAX_LATE_S = 0.010
FAULT_INTERVAL_S = 3.0
FAULT_KINDS = ("hang", "drain", "outage")
FAULT_S = 1.0
OUTAGE_RANGE_S = (0.2, 6.0)
MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a soak showed: outcomes of all classes together, and every violation of a rule."""

    outcomes: OutcomeCounts
    second_answers: int  # that hosts wrote
    faults: dict[str, int]  # how often hosts hung and drained, and discovery was away
    violations: list[str]
    foreign_answers: list[str]  # when hosts received and wrote what, for each foreign answer

    def report(self) -> dict[str, Any]:
        """The result as plain values for JSON, without the durations of all requests."""
        values = asdict(self)
        for durations in ("took", "rejection_took"):
            del values["outcomes"][durations]
        return values


async def soak(folder: Path, seconds: float, seed: int) -> SoakResult:
    """Run a soak for so many seconds; `seed` draws arrivals and faults, `folder` is for files."""
    draw = random.Random(seed)
    async with Environment(folder, REQUEST_CLASSES, HOST_COUNT, delay=ANSWER_S) as environment:
        faults = SecondAnswers(SECOND_ANSWER_FRACTION, MAX_LATE_S, draw)
        for number, host in enumerate(environment.hosts):
            host.nodelay = number % 2 == 0
            host.second_answers = faults
        load = environment.load(seed=seed)
        trouble = asyncio.ensure_future(_trouble_hosts(environment, draw))
        try:
            await load.open_loop(poisson(REQUESTS_PER_S, seconds, seed))
        finally:
            trouble.cancel()
        outcomes = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        (counts,) = await asyncio.gather(trouble, return_exceptions=True)
        assert isinstance(counts, Counter), counts
        return SoakResult(
            outcomes,
            len(faults.written),
            dict(counts),
            environment.violations(load),
            list(_foreign_answers(environment, load.records, faults)),
        )


def _foreign_answers(
    environment: Environment, records: Sequence[Record], faults: SecondAnswers
) -> Iterator[str]:
    """Times of both requests of each foreign answer, in ms since the other one was answered."""
    by_id = {record.id: record for record in records}
    receipts: defaultdict[str, list[Receipt]] = defaultdict(list)
    for receipt in environment.receipts():
        receipts[receipt.id].append(receipt)
    for record in records:
        if record.answered_for in (None, record.id):
            continue
        other = by_id.get(record.answered_for or "")
        second = faults.written.get(record.answered_for or "")
        began = record.sent if other is None else other.done
        received = ", ".join(
            f"{receipt.host} at {(receipt.at - began) * MS_PER_S:.1f}"
            for receipt in receipts[record.id]
        )
        yield (
            f"{record.id}: sent at {(record.sent - began) * MS_PER_S:.1f}, received by {received},"
            f" answered at {(record.done - began) * MS_PER_S:.1f} with the answer to"
            f" {record.answered_for}, which its host wrote {second or 'once'}"
        )


async def _trouble_hosts(environment: Environment, draw: random.Random) -> Counter[str]:
    """Cause one fault after another until cancelled; returns how often each was caused."""
    counts: Counter[str] = Counter()
    kinds = cycle(FAULT_KINDS)
    try:
        while True:
            await asyncio.sleep(FAULT_INTERVAL_S)
            kind = next(kinds)
            host = draw.choice(environment.hosts)
            counts[kind] += 1
            if kind == "hang":
                await _hang(host)
                continue
            if kind == "outage":
                await _interrupt_discovery(environment, draw.uniform(*OUTAGE_RANGE_S))
            environment.tell(host, lifecycle="draining")
            await asyncio.sleep(FAULT_S)
            environment.tell(host, lifecycle="up")
    except asyncio.CancelledError:
        return counts


async def _hang(host: Host) -> None:
    host.hangs = True
    try:
        await asyncio.sleep(FAULT_S)
    finally:
        host.hangs = False


async def _interrupt_discovery(environment: Environment, seconds: float) -> None:
    environment.discovery.go_down()
    try:
        await asyncio.sleep(seconds)
    finally:
        environment.discovery.come_back()
