"""What membership costs at no change: `python -m bench.fleet_cost [--gateways 12]`.

So many gateways run without membership and with it, in turn. Measured are the CPU time a second of
gateways with nothing to do, and the CPU time a request of one under closed-loop load, both by the
kernel's account of the process. The least of the repeats counts, for what else runs on the machine
only adds.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import uvloop

from bench.request_classes import MIX, REQUEST_CLASSES
from bench.tables import header, row
from testbed.account import OutcomeCounts, total
from testbed.environment import Environment
from testbed.gateway import GatewayProcess
from testbed.processes import run_load

HOSTS = 6
CONNECTIONS = 24  # of the closed-loop load
SETTLE_S = 3.0  # from the start until views have agreed and are quiet
WARM_UP_S = 1.0  # of load before it counts
MEMBERSHIP_FILE = '[use]\nhold = "5 s"'
# As in service: ten reports a second of each of twelve gateways cost more than membership does.
REPORT_INTERVAL = "10 s"


@dataclass(frozen=True)
class Cost:
    """CPU time of one gateway at rest and under load, and how many requests were served."""

    rest_ms_per_s: float
    request_us: float
    served: int


async def play(has_membership: bool, gateways: int, seconds: float) -> Cost:
    """Measure gateways for `seconds` at rest, and the first for `seconds` under load."""
    with tempfile.TemporaryDirectory() as folder:
        async with Environment(
            Path(folder),
            REQUEST_CLASSES,
            HOSTS,
            gateways=gateways,
            fleet=MEMBERSHIP_FILE if has_membership else "",
            every=REPORT_INTERVAL,
        ) as environment:
            await asyncio.sleep(SETTLE_S)
            rest_ms_per_s = await _rest_ms_per_s(environment.gateways, seconds)
            gateway = environment.gateway
            await _load(gateway, WARM_UP_S, prefix="w")
            before_s = gateway.cpu_s()
            counts = await _load(gateway, seconds, prefix="c")
            used_s = gateway.cpu_s() - before_s
            request_us = 1e6 * used_s / max(1, counts.sent)
            return Cost(rest_ms_per_s, request_us, counts.within_objective + counts.after_objective)


async def _rest_ms_per_s(gateways: Sequence[GatewayProcess], seconds: float) -> float:
    """Milliseconds of CPU time that a gateway uses in a second, on average over `seconds`."""
    before_s = sum(gateway.cpu_s() for gateway in gateways)
    await asyncio.sleep(seconds)
    used_s = sum(gateway.cpu_s() for gateway in gateways) - before_s
    return 1e3 * used_s / len(gateways) / seconds


async def _load(gateway: GatewayProcess, seconds: float, prefix: str) -> OutcomeCounts:
    """Closed-loop load on one gateway; ids of requests begin with `prefix`."""
    result = await run_load(
        gateway.address,
        REQUEST_CLASSES,
        MIX,
        [None],
        "closed",
        seconds,
        prefix=prefix,
        connections=CONNECTIONS,
    )
    return total(result.rows.values())


async def measure(gateways: int, seconds: float, repeats: int) -> None:
    """Print a row for each repeat, without membership and with it, and the least of each figure.

    Which of the two comes first alternates.
    """
    print(header("view", "ms of CPU a second at rest", "us a request under load", "served"))
    costs: defaultdict[bool, list[Cost]] = defaultdict(list)
    for repeat in range(repeats):
        for has_membership in (False, True) if repeat % 2 else (True, False):
            cost = await play(has_membership, gateways, seconds)
            costs[has_membership].append(cost)
            view = "on" if has_membership else "off"
            figures = (f"{cost.rest_ms_per_s:.2f}", f"{cost.request_us:.1f}", cost.served)
            print(row(view, *figures), flush=True)
    rest_off_ms, rest_on_ms = (
        min(cost.rest_ms_per_s for cost in costs[has_membership])
        for has_membership in (False, True)
    )
    request_off_us, request_on_us = (
        min(cost.request_us for cost in costs[has_membership]) for has_membership in (False, True)
    )
    print(
        f"least: at rest {rest_off_ms:.2f} and {rest_on_ms:.2f} ms a second; "
        f"a request {request_off_us:.1f} and {request_on_us:.1f} us"
    )


def main() -> int:
    """Run the program; returns its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--gateways", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=5.0, help="of each measurement")
    parser.add_argument("--repeats", type=int, default=3)
    args = parser.parse_args()
    uvloop.run(measure(args.gateways, args.seconds, args.repeats))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
