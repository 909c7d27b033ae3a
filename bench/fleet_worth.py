"""What membership is worth: `python -m bench.fleet_worth [--seeds 3] [--gateways 12] [--rate 25]`.

Seven in ten gateways are killed at once, and their clients come to those that are left. The table
has the value (summed priority weights) of what was answered within the latency objective, and the
rejected requests, of the 10 s from the kill on: with subsets by the number of live gateways and by
the number in the settings, in turn on the same machine. Hosts take the same time however many
requests they have. Each request is accounted for.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import uvloop

from bench.fleet_groups import killed_and_left
from bench.request_classes import REQUEST_CLASSES, summarize
from bench.tables import header, row
from testbed.clients import Load
from testbed.environment import Environment
from testbed.schedule import poisson

HOSTS = 6
CALM_S = 5.0  # of load before the kill
MEASURED_S = 10.0  # of load from the kill on
MEMBERSHIP_FILE = """
[use]
windows = {windows}
hold = "1 s"
"""
# A run's seed times these: the two parts draw arrivals of their own at each gateway, as long as
# there are fewer than a hundred.
CALM_SEED_FACTOR, MEASURED_SEED_FACTOR = 100, 200


@dataclass(frozen=True)
class Result:
    """The requests from the kill on, and violations of the rules in the whole run, one line each.

    `value_in_objective` sums the priority weights of the answers within the latency objective.
    """

    value_in_objective: float
    rejected: int
    sent: int
    rule_violations: list[str]


async def play(
    use_live_count: bool, gateways: int, rate: float, host_delay_s: float, seed: int
) -> Result:
    """Kill most of `gateways` under load, and measure those that are left.

    `rate` is in requests a second, of all that are left together and before the kill; after it they
    have the clients of all. `use_live_count`: subsets follow the number of live gateways.
    """
    windows = "true" if use_live_count else "false"
    killed, left = killed_and_left(gateways)
    rate_each = rate / len(left)
    with tempfile.TemporaryDirectory() as folder:
        async with Environment(
            Path(folder),
            REQUEST_CLASSES,
            HOSTS,
            delay=host_delay_s,
            gateways=gateways,
            fleet=MEMBERSHIP_FILE.format(windows=windows),
        ) as environment:
            calm = {n: environment.load(n, seed=seed, prefix=f"a{n}-") for n in left}
            await send(calm, rate_each, CALM_S, seed * CALM_SEED_FACTOR)
            for number in killed:
                environment.gateways[number].kill()
            measured = {n: environment.load(n, seed=seed, prefix=f"b{n}-") for n in left}
            rate_after = gateways / len(left) * rate_each
            await send(measured, rate_after, MEASURED_S, seed * MEASURED_SEED_FACTOR)
            for load in [*calm.values(), *measured.values()]:
                await load.settle()
            rule_violations = environment.violations(*calm.values(), *measured.values())
            return summarize_loads(measured, rule_violations)


async def send(loads: Mapping[int, Load], rate: float, seconds: float, seed: int) -> None:
    """Let each load (by its gateway's number) send `rate` requests a second on average."""
    await asyncio.gather(
        *(load.open_loop(poisson(rate, seconds, seed + number)) for number, load in loads.items())
    )


def summarize_loads(loads: Mapping[int, Load], rule_violations: list[str]) -> Result:
    """The result of these loads; AssertionError where a request was late or has no answer."""
    whole = summarize(record for load in loads.values() for record in load.records)
    assert (
        whole.sent == whole.within_objective + whole.after_objective + whole.rejected + whole.failed
    )
    return Result(whole.value, whole.rejected, whole.sent, rule_violations)


async def measure(seeds: int, gateways: int, rate: float, host_delay_s: float) -> None:
    """Print a row for each seed, from 1, and each way; the way that comes first alternates."""
    print(header("seed", "windows by", "worth in aim", "refused", "sent", "rules broken"))
    for seed in range(1, seeds + 1):
        for use_live_count in (False, True) if seed % 2 else (True, False):
            result = await play(use_live_count, gateways, rate, host_delay_s, seed)
            windows_by = "the live number" if use_live_count else "the told number"
            cells = (f"{result.value_in_objective:.0f}", result.rejected, result.sent)
            print(row(seed, windows_by, *cells, len(result.rule_violations)), flush=True)


def main() -> int:
    """Run the program; returns its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--gateways", type=int, default=12)
    parser.add_argument(
        "--rate", type=float, default=25.0, help="requests a second of those left, before"
    )
    parser.add_argument(
        "--delay", type=float, default=0.1, help="seconds that a host takes for a request"
    )
    args = parser.parse_args()
    uvloop.run(measure(args.seeds, args.gateways, args.rate, args.delay))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
