"""How a gateway on one core behaves under more load than it can serve: `python -m bench.overload`.

First finds the core's capacity with closed-loop clients. Then offers parts and multiples of it
open-loop, a step from 0.2 to 3 times, and a square wave of 3 and 0.3 times a second long each.
Prints a row a load. What a request costs without overload is measured by `bench.path`.

The columns ("refused" is the printed word for rejected, "aim" for the latency objective):

    load          the multiple of the capacity, or the name of a load that changes
    sent/s        requests that the clients sent, a second
    worth/s       priority weight of the answers within their latency objective, a second
    of offered    the same as a part (0 to 1) of the priority weight of all requests sent
    in aim        requests answered 200 within their latency objective
    after it      requests answered 200 after the objective, before the deadline (or late by less)
    late          requests answered 200 after the deadline, by more than 50 ms
    refused       requests rejected: 429 or 503
    failed        requests answered with any other status
    none          requests without an answer
    p50 / p99 ms  latency of all answers of 200
    refused p50 / p99 ms      latency of rejections
    CPU, part not for served  cores that the gateway used; the part (0 to 1) of its CPU time that
                              did not produce answers of 200 before the deadline, where such an
                              answer is taken to cost what it costs at the capacity

A remark behind a row says how many requests the clients could not send, or how late they sent.

`--ration` holds the gateway to a part of its core. Needs three cores, one each for the gateway, the
hosts and the clients; by default it takes four, two of them for clients. About a minute and a half.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from bench.local_gateway import Cores, gateway_with_hosts
from bench.picture import lines
from bench.request_classes import REQUEST_CLASSES
from bench.tables import percentiles_ms, print_header, print_row
from testbed.account import OutcomeCounts, total
from testbed.gateway import GatewayProcess
from testbed.processes import Result, run_load

# Of the requests, by class. More seat-checkouts than in `MIX` (3 to 1), which the other programs
# send: these are the shares of tests/overload, and rows must compare with those on record.
CLASS_SHARES = [0.56, 0.44]
MULTIPLES = (0.9, 1.0, 1.1, 1.5, 2.0, 3.0, 5.0)  # of the capacity
# Loads that change: parts of (multiple of the capacity, seconds).
SHAPES = {"step": ((0.2, 1.0), (3.0, 3.0)), "square": ((3.0, 1.0), (0.3, 1.0)) * 3}
CLOSED_LOOP_CONNECTIONS = 64  # of all clients together, while the capacity is measured
WARM_UP_S = 2.0
MAX_CONNECTIONS = 1500  # that each process of clients opens
REPORTED_LAG_S = 0.05  # clients that sent later than this did not offer the load of their row
COLUMNS = (
    "load",
    "sent/s",
    "worth/s",
    "of offered",
    "in aim",
    "after it",
    "late",
    "refused",
    "failed",
    "none",
    "p50 / p99 ms",
    "refused p50 / p99 ms",
    "CPU, part not for served",
)


@dataclass(frozen=True, slots=True)
class Capacity:
    """What the gateway's core can do under closed-loop clients."""

    rate: float  # requests a second answered within their latency objective
    cpu_s: float  # CPU time of one of them


@dataclass(frozen=True, slots=True)
class Measurement:
    """One load on the gateway: what became of its requests in `seconds`."""

    result: Result
    seconds: float
    gateway_cpu_s: float

    @property
    def counts(self) -> OutcomeCounts:
        """Requests of all classes by what became of them."""
        return total(self.result.rows.values())

    @property
    def weight_per_s(self) -> float:
        """Answers within their objective a second, each counted with its priority weight."""
        return self.counts.value / self.seconds

    @property
    def weight_offered(self) -> float:
        """Requests sent, each counted with its priority weight."""
        return sum(
            self.result.rows[request_class.name].sent * request_class.priority_weight
            for request_class in REQUEST_CLASSES
        )

    def cpu_not_served(self, capacity: Capacity) -> float:
        """Part (0 to 1) of the CPU time that did not go into answers before the deadline."""
        served = self.counts.within_objective + self.counts.after_objective
        return max(0.0, 1.0 - served * capacity.cpu_s / self.gateway_cpu_s)


@dataclass(frozen=True, slots=True)
class Clients:
    """Processes of clients that put one load after another on a gateway."""

    gateway: GatewayProcess
    cores: Sequence[int]

    async def run(self, kind: str, seconds: float, **options: Any) -> Measurement:
        """Run a load of this kind for so long; `options` are those of `run_load`."""
        before_s = self.gateway.cpu_s()
        result = await run_load(
            self.gateway.address,
            REQUEST_CLASSES,
            CLASS_SHARES,
            self.cores,
            kind,
            seconds,
            **options,
        )
        return Measurement(result, seconds, self.gateway.cpu_s() - before_s)

    async def find_capacity(self, seconds: float) -> Capacity:
        """Measure the capacity for so long, after a warm-up."""
        await self.run("closed", WARM_UP_S, connections=CLOSED_LOOP_CONNECTIONS)
        closed = await self.run("closed", seconds, connections=CLOSED_LOOP_CONNECTIONS)
        in_time = closed.counts.within_objective
        return Capacity(in_time / seconds, closed.gateway_cpu_s / max(1, in_time))

    async def offer_steady(self, rate: float, seconds: float) -> Measurement:
        """Offer so many requests a second, at random times."""
        return await self.run("open", seconds, rate=rate, most=MAX_CONNECTIONS)

    async def offer_shape(
        self, parts: Sequence[tuple[float, float]], capacity: Capacity
    ) -> Measurement:
        """Offer one steady rate after another: parts of (multiple of the capacity, seconds)."""
        rates = [(multiple * capacity.rate, length_s) for multiple, length_s in parts]
        seconds = sum(length_s for _, length_s in parts)
        return await self.run("steps", seconds, parts=rates, most=MAX_CONNECTIONS)


def print_measurement(load: str, measured: Measurement, capacity: Capacity) -> None:
    """Print the row of one load, with a remark where the clients did not offer all of it."""
    counts, seconds = measured.counts, measured.seconds
    cpu_cores = measured.gateway_cpu_s / seconds
    cells = (
        load,
        f"{counts.sent / seconds:.0f}",
        f"{measured.weight_per_s:.0f}",
        f"{counts.value / max(1.0, measured.weight_offered):.2f}",
        str(counts.within_objective),
        str(counts.after_objective),
        str(counts.late),
        str(counts.rejected),
        str(counts.failed),
        str(counts.unanswered),
        percentiles_ms(counts.took),
        percentiles_ms(counts.rejection_took, digits=1),
        f"{cpu_cores:.2f}, {measured.cpu_not_served(capacity):.2f}",
    )
    print_row(*cells, remark=_remark(measured.result))


def _remark(result: Result) -> str:
    """What the clients could not send, or sent late; empty where there is nothing to say."""
    unsent = f" and {result.unsent} not sent" if result.unsent else ""
    late = f" (clients {result.lag * 1e3:.0f} ms late)" if result.lag > REPORTED_LAG_S else ""
    return unsent + late


async def measure(clients: Clients, seconds: float, multiples: Sequence[float]) -> list[float]:
    """Put each multiple of the capacity on the gateway for `seconds`, then each shape.

    Prints a row each; returns the weight a second of each multiple.
    """
    capacity = await clients.find_capacity(seconds)
    print(
        f"capacity {capacity.rate:.0f} requests/s, {capacity.cpu_s * 1e6:.0f} us of CPU a request\n"
    )
    print_header(*COLUMNS)
    weights_per_s = []
    for multiple in multiples:
        measured = await clients.offer_steady(multiple * capacity.rate, seconds)
        print_measurement(str(multiple), measured, capacity)
        weights_per_s.append(measured.weight_per_s)
    for name, parts in SHAPES.items():
        print_measurement(name, await clients.offer_shape(parts, capacity), capacity)
    return weights_per_s


async def run(options: argparse.Namespace, cores: Cores, multiples: Sequence[float]) -> list[float]:
    """Start hosts and gateway as the command line says, and measure."""
    async with gateway_with_hosts(
        REQUEST_CLASSES,
        cores,
        host_delay_s=options.delay,
        descriptors=options.sockets,
        cpu_fraction=options.ration,
    ) as gateway:
        return await measure(Clients(gateway, cores.clients), options.seconds, multiples)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="length of each load (default 6)"
    )
    Cores.add_option(
        parser, 4, "cores of gateway, hosts, clients ...: three or more (default: the last four)"
    )
    parser.add_argument(
        "--delay", type=float, default=0.0, help="of the hosts' answers, seconds (default 0)"
    )
    parser.add_argument(
        "--loads",
        default=",".join(map(str, MULTIPLES)),
        help="multiples of the capacity, with commas between",
    )
    parser.add_argument("--ration", type=float, default=1.0, help="part of the core (default 1)")
    parser.add_argument(
        "--sockets", type=int, default=8192, help="descriptors of the gateway (default 8192)"
    )
    parser.add_argument("--svg", help="file to draw the column worth/s into")
    parser.add_argument("--name", default="now", help="of this run in the picture")
    return parser


def main() -> int:
    """Run by the command line; returns the exit status, 2 for wrong options."""
    options = _parser().parse_args()
    try:
        cores = Cores.parse(options.cores)
    except ValueError:
        print("bench.overload: --cores: needs at least three")
        return 2
    multiples = [float(multiple) for multiple in options.loads.split(",")]
    weights_per_s = uvloop.run(run(options, cores, multiples))
    if options.svg:
        lines(
            Path(options.svg),
            "Worth answered within the aim",
            "offered load, multiples of the capacity",
            "worth a second",
            multiples,
            {options.name: weights_per_s},
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
