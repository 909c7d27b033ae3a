"""What a request costs on the ordinary path, beside a bare relay: `python -m bench.path`.

The ordinary path is that of a request with nothing amiss: no overload, no fault, one attempt. This
is for the cost of the gateway's own code; `bench.overload` is for what a core serves, rejects and
wastes at more load than it can take. Its requests/s are of other clients and shares of the classes,
so they do not compare with those printed here.

The relay (bench.relay: same loop, same parser, pooled connections, no decisions), the gateway as
plain Python and as the platform runs it (compiled, from build/compiled: run scripts/build first)
take the same closed-loop load in turn, each on a core of its own, for every class and for the mix:
CPU time, requests a second, reads and writes (system calls) a request, p50 and p99, and requests
rejected ("refused"). The column "form" is the program: relay, plain or compiled. `--growth` varies
hosts and connections instead, `--svg FILE` draws that. Needs three cores; two minutes, with
--growth three more. `bench.counts` has what does not depend on the machine.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import uvloop

from bench.local_gateway import (
    COMPILED,
    HOST_COUNT,
    Cores,
    Program,
    gateway_with_hosts,
)
from bench.picture import lines
from bench.request_classes import STATUS_CHECK, seat_checkout
from bench.tables import print_header, print_row
from testbed.account import RequestClass, percentile, total
from testbed.processes import run_load

PROGRAMS = (Program.RELAY, Program.PLAIN, Program.COMPILED)
GATEWAYS = (Program.PLAIN, Program.COMPILED)
KIB = 1024
CONNECTIONS = 24
WARM_UP_S = 1.0
# What `--growth` varies: numbers of hosts, and of client connections.
HOST_COUNTS, CONNECTION_COUNTS = (4, 12, 100, 1000), (10, 100, 1000)


class RequestMix(NamedTuple):
    """Classes of requests, and in what proportion they are sent."""

    classes: list[RequestClass]
    weights: list[float]


MIX = RequestMix([STATUS_CHECK, seat_checkout()], [3, 1])
CASES = {
    "status-check": RequestMix([STATUS_CHECK], [1]),
    "seat-checkout, 0.2 KiB": RequestMix([seat_checkout(200)], [1]),
    "seat-checkout, 4 KiB": RequestMix([seat_checkout(4 * KIB)], [1]),
    "seat-checkout, 60 KiB": RequestMix([seat_checkout(60 * KIB)], [1]),
    "mix, 3 to 1": MIX,
}


@dataclass(frozen=True, slots=True)
class Cost:
    """What a request cost in one run."""

    cpu_us: float
    requests_per_s: float
    reads: float  # system calls a request
    writes: float  # system calls a request
    p50_ms: float
    p99_ms: float
    rejected: int  # requests of the whole run


@dataclass(frozen=True, slots=True)
class Bench:
    """The cores of all runs, and the seconds of each."""

    cores: Cores
    seconds: float

    async def run(
        self,
        program: Program,
        mix: RequestMix,
        host_count: int = HOST_COUNT,
        connections: int = CONNECTIONS,
    ) -> Cost:
        """Measure one program under closed-loop clients, after a warm-up."""
        async with gateway_with_hosts(
            mix.classes, self.cores, program, host_count=host_count
        ) as gateway:
            target = gateway.address, *mix, self.cores.clients, "closed"
            await run_load(*target, WARM_UP_S, prefix="w", connections=connections)
            cpu_before_s, io_before = gateway.cpu_s(), gateway.io()
            result = await run_load(*target, self.seconds, connections=connections)
            cpu_s, io = gateway.cpu_s() - cpu_before_s, gateway.io()
        whole = total(result.rows.values())
        count = max(1, whole.sent)
        return Cost(
            cpu_us=cpu_s / count * 1e6,
            requests_per_s=whole.sent / self.seconds,
            reads=(io[0] - io_before[0]) / count,
            writes=(io[1] - io_before[1]) / count,
            p50_ms=percentile(whole.took, 0.5) * 1e3,
            p99_ms=percentile(whole.took, 0.99) * 1e3,
            rejected=whole.rejected,
        )

    async def least_costs(self, mix: RequestMix, repeats: int) -> dict[Program, Cost]:
        """The cheapest of so many runs of each program."""
        least: dict[Program, Cost] = {}
        # In turn, so that a change of the machine's speed meets all of them.
        for _ in range(repeats):
            for program in PROGRAMS:
                cost = await self.run(program, mix)
                if program not in least or cost.cpu_us < least[program].cpu_us:
                    least[program] = cost
        return least

    async def compare_classes(self, repeats: int) -> None:
        """Print what each class costs at each program: the least of `repeats` runs."""
        print_header(
            "class",
            "form",
            "CPU us (least of all runs)",
            "of the relay's",
            "requests/s",
            "reads",
            "writes",
            "p50 / p99 ms",
            "refused",
        )
        for name, mix in CASES.items():
            costs = await self.least_costs(mix, repeats)
            for program, cost in costs.items():
                print_cost(name, program, cost, costs[Program.RELAY])

    async def measure_growth(self, svg: Path | None) -> None:
        """Print what a request of the mix costs by numbers of hosts and of connections.

        Draws the growth with hosts into `svg`, if given.
        """
        print_header("varied", "number", "plain us", "compiled us")
        by_hosts: dict[str, list[float]] = {program: [] for program in GATEWAYS}
        for host_count in HOST_COUNTS:
            costs = [await self.run(program, MIX, host_count) for program in GATEWAYS]
            print_growth("hosts", host_count, costs)
            for program, cost in zip(GATEWAYS, costs, strict=True):
                by_hosts[program].append(cost.cpu_us)
        for count in CONNECTION_COUNTS:
            costs = [await self.run(program, MIX, connections=count) for program in GATEWAYS]
            print_growth("connections", count, costs)
        if svg is not None:
            lines(svg, "CPU time a request", "hosts", "microseconds", HOST_COUNTS, by_hosts)


def print_cost(name: str, program: Program, cost: Cost, relay: Cost) -> None:
    """Print the row of a class at one program, compared with the relay."""
    print_row(
        name,
        program,
        f"{cost.cpu_us:.1f}",
        f"{cost.cpu_us / relay.cpu_us:.1f}",
        f"{cost.requests_per_s:.0f}",
        f"{cost.reads:.2f}",
        f"{cost.writes:.2f}",
        f"{cost.p50_ms:.2f} / {cost.p99_ms:.2f}",
        str(cost.rejected),
    )


def print_growth(varied: str, number: int, costs: Sequence[Cost]) -> None:
    """Print the row of one number of hosts or connections, for each of `GATEWAYS`."""
    print_row(varied, str(number), *(f"{cost.cpu_us:.1f}" for cost in costs))


def main() -> int:
    """Run by the command line; returns the exit status, 2 where there is nothing to measure."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    Cores.add_option(parser, 3, "cores of gateway, hosts, clients (default: the last three)")
    parser.add_argument("--seconds", type=float, default=2.0, help="length of each run (default 2)")
    parser.add_argument(
        "--repeats", type=int, default=2, help="runs of each, the cheapest counts (default 2)"
    )
    parser.add_argument("--growth", action="store_true", help="vary hosts and connections")
    parser.add_argument("--svg", type=Path, help="draw the growth with hosts")
    options = parser.parse_args()
    if not COMPILED.exists():
        print("bench.path: build/compiled is not there: run scripts/build", file=sys.stderr)
        return 2
    bench = Bench(Cores.parse(options.cores, max_clients=1), options.seconds)
    if options.growth:
        uvloop.run(bench.measure_growth(options.svg))
    else:
        uvloop.run(bench.compare_classes(options.repeats))
    return 0


if __name__ == "__main__":
    sys.exit(main())
