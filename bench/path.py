"""What a request costs on the ordinary path, beside a bare relay: `python -m bench.path`.

The relay (bench.relay: same loop, same parser, pooled connections, no decisions), the gateway as plain Python
and as the platform runs it (compiled, from build/compiled: run scripts/build first) take the same closed-loop
load in turn, each on a core of its own, for every class and for the mix: CPU time, requests a second, reads
and writes a request, p50 and p99. `--growth` varies hosts and connections instead, `--svg FILE` draws that.
Needs three cores; two minutes, with --growth three more. `bench.counts` has what does not depend on the
machine.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import uvloop

from bench.picture import lines
from testbed.account import RequestClass, percentile, total
from testbed.gateway import ROOT, GatewayProcess, settings
from testbed.processes import HostsProcess, run_load

COMPILED = ROOT / "build" / "compiled"
FORMS = ("relay", "plain", "compiled")
KIB = 1024


def checkout(body: int) -> RequestClass:
    return RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=body)


STATUS = RequestClass("status-check", 0.58, 1.4, 2.0)
MIX: tuple[list[RequestClass], list[float]] = ([STATUS, checkout(200)], [3, 1])
CASES: dict[str, tuple[list[RequestClass], list[float]]] = {
    "status-check": ([STATUS], [1]),
    "seat-checkout, 0.2 KiB": ([checkout(200)], [1]),
    "seat-checkout, 4 KiB": ([checkout(4 * KIB)], [1]),
    "seat-checkout, 60 KiB": ([checkout(60 * KIB)], [1]),
    "mix, 3 to 1": MIX,
}
HOSTS, CONNECTIONS = (4, 12, 100, 1000), (10, 100, 1000)


@dataclass
class Cost:
    """Of one run. `us` is CPU time a request in microseconds."""

    us: float
    rate: float
    reads: float
    writes: float
    p50_ms: float
    p99_ms: float
    refused: int


async def run(
    form: str,
    case: tuple[list[RequestClass], list[float]],
    cores: list[int],
    seconds: float,
    hosts: int = 12,
    connections: int = 24,
) -> Cost:
    gateway_core, host_core, client_core = cores
    request_classes, weights = case
    servers = await HostsProcess(hosts, core=host_core).start()
    with tempfile.TemporaryDirectory() as folder:
        gateway = GatewayProcess(
            Path(folder),
            servers.discovery_port,
            settings(request_classes),
            sockets=8192,
            core=gateway_core,
        )
        gateway.tree = COMPILED if form == "compiled" else None
        relay = ["-m", "bench.relay", *map(str, servers.ports)]
        await gateway.start(command=relay if form == "relay" else ("-m", "quillroad"))
        told = {"connections": connections}
        await run_load(
            gateway.address,
            request_classes,
            weights,
            [client_core],
            "closed",
            1.0,
            prefix="w",
            **told,
        )
        cpu_s, io = gateway.cpu_s(), gateway.io()
        result = await run_load(
            gateway.address, request_classes, weights, [client_core], "closed", seconds, **told
        )
        used_s, (reads, writes) = gateway.cpu_s() - cpu_s, gateway.io()
        await gateway.stop()
    await servers.stop()
    whole = total(result.rows.values())
    count = max(1, whole.sent)
    return Cost(
        used_s / count * 1e6,
        whole.sent / seconds,
        (reads - io[0]) / count,
        (writes - io[1]) / count,
        percentile(whole.took, 0.5) * 1e3,
        percentile(whole.took, 0.99) * 1e3,
        whole.rejected,
    )


async def classes(cores: list[int], seconds: float, repeats: int) -> None:
    print(
        "| class | form | CPU us (least of all runs) | of the relay's | requests/s | reads | writes "
        "| p50 / p99 ms | refused |"
    )
    print("| --- " * 9 + "|")
    for name, case in CASES.items():
        best: dict[str, Cost] = {}
        for _ in range(
            repeats
        ):  # in turn, so that a change of the machine's speed meets all of them
            for form in FORMS:
                cost = await run(form, case, cores, seconds)
                if form not in best or cost.us < best[form].us:
                    best[form] = cost
        for form, cost in best.items():
            print(
                f"| {name} | {form} | {cost.us:.1f} | {cost.us / best['relay'].us:.1f} | {cost.rate:.0f} "
                f"| {cost.reads:.2f} | {cost.writes:.2f} | {cost.p50_ms:.2f} / {cost.p99_ms:.2f} "
                f"| {cost.refused} |",
                flush=True,
            )


async def growth(cores: list[int], seconds: float, svg: Path | None) -> None:
    print("| varied | number | plain us | compiled us |\n| --- | --- | --- | --- |")
    found: dict[str, list[float]] = {form: [] for form in FORMS[1:]}
    for hosts in HOSTS:
        costs = [await run(form, MIX, cores, seconds, hosts=hosts) for form in FORMS[1:]]
        for form, cost in zip(FORMS[1:], costs, strict=True):
            found[form].append(cost.us)
        print(f"| hosts | {hosts} | {costs[0].us:.1f} | {costs[1].us:.1f} |", flush=True)
    for connections in CONNECTIONS:
        costs = [
            await run(form, MIX, cores, seconds, connections=connections) for form in FORMS[1:]
        ]
        print(
            f"| connections | {connections} | {costs[0].us:.1f} | {costs[1].us:.1f} |", flush=True
        )
    if svg is not None:
        lines(svg, "CPU time a request", "hosts", "microseconds", HOSTS, found)


async def measure(told: argparse.Namespace, cores: list[int]) -> int:
    if not COMPILED.exists():
        print("bench.path: build/compiled is not there: run scripts/build", file=sys.stderr)
        return 2
    if told.growth:
        await growth(cores, told.seconds, told.svg)
    else:
        await classes(cores, told.seconds, told.repeats)
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    have = sorted(os.sched_getaffinity(0))
    parser.add_argument(
        "--cores", default=",".join(map(str, have[-3:])), help="gateway, hosts, clients"
    )
    parser.add_argument("--seconds", type=float, default=2.0, help="of each run (default 2)")
    parser.add_argument("--repeats", type=int, default=2, help="of each run (default 2)")
    parser.add_argument("--growth", action="store_true", help="vary hosts and connections")
    parser.add_argument("--svg", type=Path, help="draw the growth with hosts")
    told = parser.parse_args()
    return uvloop.run(measure(told, [int(core) for core in told.cores.split(",")]))


if __name__ == "__main__":
    sys.exit(main())
