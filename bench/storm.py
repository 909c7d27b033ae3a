"""Clients that connect and send in one instant: `python -m bench.storm`.

For each size the gateway and a bare relay take the same storm, each on one core, with twelve hosts
that answer at once: the slowest first answer, and what was served after its deadline of 900 ms. The
clients go on asking for two seconds. Needs three cores; about half a minute.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from dataclasses import replace

import uvloop

from bench.local_gateway import Cores, Program, gateway_with_hosts
from bench.request_classes import REQUEST_CLASSES
from bench.tables import milliseconds
from testbed.account import total
from testbed.processes import Result, run_load

DEADLINE_S = 0.9
CLASSES = [replace(request_class, deadline=DEADLINE_S) for request_class in REQUEST_CLASSES]
CLASS_SHARES = [3, 1]  # of the requests
SIZES = (150, 300, 1000, 4000)  # numbers of clients
SECONDS = 2.0  # for which they ask
DESCRIPTORS = 10_000  # of the gateway: enough for the largest storm and its hosts
HEADER = "clients  program  first answers  p50 ms  max ms  late 200s  in aim  refused  failed  none"


async def run_storm(size: int, program: Program, cores: Cores) -> Result:
    """Let so many clients connect to a new gateway or relay at once."""
    async with gateway_with_hosts(CLASSES, cores, program, descriptors=DESCRIPTORS) as gateway:
        return await run_load(
            gateway.address,
            CLASSES,
            CLASS_SHARES,
            cores.clients,
            "closed",
            SECONDS,
            connections=size,
        )


def print_row(size: int, program: Program, result: Result) -> None:
    """Print one storm under the columns of `HEADER`."""
    whole = total(result.rows.values())
    slowest_first_ms = max(result.firsts, default=0) * 1e3
    print(
        f"{size:7d}  {program:>7}  {len(result.firsts):13d}  "
        f"{milliseconds(result.firsts, 0.5):>6}  {slowest_first_ms:6.0f}  "
        f"{whole.late:9d}  {whole.within_objective:6d}  "
        f"{whole.rejected:7d}  {whole.failed:6d}  {whole.unanswered:4d}",
        flush=True,
    )


async def measure(sizes: Sequence[int], cores: Cores) -> None:
    """Put a storm of each size on the relay and on the gateway, and print a row each."""
    print(HEADER)
    for size in sizes:
        for program in (Program.RELAY, Program.GATEWAY):
            print_row(size, program, await run_storm(size, program, cores))


def main() -> int:
    """Run by the command line; returns the exit status, 2 for wrong options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)), help="numbers of clients")
    Cores.add_option(parser, 3, "gateway, hosts, clients")
    options = parser.parse_args()
    try:
        cores = Cores.parse(options.cores, max_clients=1)
    except ValueError:
        print("bench.storm: --cores: needs three")
        return 2
    uvloop.run(measure([int(size) for size in options.sizes.split(",")], cores))
    return 0


if __name__ == "__main__":
    sys.exit(main())
