"""What a gateway on one core makes of more work than it has time for: `python -m bench.overload`.

Finds the core's capacity with closed-loop clients, then offers parts and multiples of it open-loop, a step
from 0.2 to 3 times, and a square wave of 3 and 0.3 times a second long each: worth answered within the aim,
how fast refusals are, what was late, and the part of the CPU time that did not go into what was served.
`--ration` holds the gateway to a part of its core. Needs four cores; about a minute and a half.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
from pathlib import Path

import uvloop

from bench.picture import lines
from testbed.account import RequestClass, percentile, total
from testbed.gateway import GatewayProcess, settings
from testbed.processes import HostsProcess, hold, run_load

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
SHARES = [0.56, 0.44]
LOADS = (0.9, 1.0, 1.1, 1.5, 2.0, 3.0, 5.0)
SHAPES = {"step": ((0.2, 1.0), (3.0, 3.0)), "square": ((3.0, 1.0), (0.3, 1.0)) * 3}


async def measure(
    seconds: float, cores: list[int], delay: float, loads: list[float], share: float, sockets: int
) -> list[float]:
    """The worth a second at each of `loads`."""
    gateway_core, host_core, *client_cores = cores
    hosts = await HostsProcess(12, delay, core=host_core).start()
    with tempfile.TemporaryDirectory() as folder:
        gateway = GatewayProcess(
            Path(folder),
            hosts.discovery_port,
            settings(REQUEST_CLASSES),
            sockets,
            gateway_core,
            share,
        )
        await gateway.start()
        rationing = await hold(gateway.pid, share, host_core) if share < 1.0 else None
        try:
            await run_load(
                gateway.address,
                REQUEST_CLASSES,
                SHARES,
                client_cores,
                "closed",
                2.0,
                connections=64,
            )
            before = gateway.cpu_s()
            closed = await run_load(
                gateway.address,
                REQUEST_CLASSES,
                SHARES,
                client_cores,
                "closed",
                seconds,
                connections=64,
            )
            whole = total(closed.rows.values())
            capacity = whole.within_objective / seconds
            cpu_s = (gateway.cpu_s() - before) / max(1, whole.within_objective)
            print(f"capacity {capacity:.0f} requests/s, {cpu_s * 1e6:.0f} us of CPU a request\n")
            print(
                "| load | sent/s | worth/s | of offered | in aim | after it | late | refused | failed "
                "| none | p50 / p99 ms | refused p50 / p99 ms | CPU, part not for served |"
            )
            print("| --- " * 13 + "|")
            worths = []
            cases: list[float | str] = [*loads, *SHAPES]
            for load in cases:
                before = gateway.cpu_s()
                if isinstance(load, str):
                    parts = [(rate * capacity, length) for rate, length in SHAPES[load]]
                    length = sum(part[1] for part in parts)
                    result = await run_load(
                        gateway.address,
                        REQUEST_CLASSES,
                        SHARES,
                        client_cores,
                        "steps",
                        0.0,
                        parts=parts,
                        most=1500,
                    )
                else:
                    length = seconds
                    result = await run_load(
                        gateway.address,
                        REQUEST_CLASSES,
                        SHARES,
                        client_cores,
                        "open",
                        seconds,
                        rate=load * capacity,
                        most=1500,
                    )
                whole = total(result.rows.values())
                offered = sum(
                    result.rows[request_class.name].sent * request_class.priority_weight
                    for request_class in REQUEST_CLASSES
                )
                used = gateway.cpu_s() - before
                idle = 1.0 - (whole.within_objective + whole.served) * cpu_s / used
                if not isinstance(load, str):
                    worths.append(whole.value / seconds)
                took, waits = whole.took, whole.rejection_took
                print(
                    f"| {load} | {whole.sent / length:.0f} | {whole.value / length:.0f} "
                    f"| {whole.value / max(1.0, offered):.2f} | {whole.within_objective} | {whole.served} "
                    f"| {whole.late} | {whole.rejected} | {whole.failed} | {whole.unanswered} "
                    f"| {percentile(took, 0.5) * 1e3:.0f} / {percentile(took, 0.99) * 1e3:.0f} "
                    f"| {percentile(waits, 0.5) * 1e3:.1f} / {percentile(waits, 0.99) * 1e3:.1f} "
                    f"| {used / length:.2f}, {max(0.0, idle):.2f} |"
                    + (f" and {result.unsent} not sent" if result.unsent else "")
                    + (f" (clients {result.lag * 1e3:.0f} ms late)" if result.lag > 0.05 else ""),
                    flush=True,
                )
            return worths
        finally:
            await gateway.stop()
            if rationing is not None:
                await rationing.wait()
            await hosts.stop()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="length of each load (default 6)"
    )
    have = sorted(os.sched_getaffinity(0))
    parser.add_argument(
        "--cores", default=",".join(map(str, have[-4:])), help="gateway, hosts, clients ..."
    )
    parser.add_argument(
        "--delay", type=float, default=0.0, help="of the hosts' answers, seconds (default 0)"
    )
    parser.add_argument(
        "--loads", default=",".join(map(str, LOADS)), help="multiples of the capacity"
    )
    parser.add_argument("--ration", type=float, default=1.0, help="part of the core (default 1)")
    parser.add_argument(
        "--sockets", type=int, default=8192, help="descriptors of the gateway (default 8192)"
    )
    parser.add_argument("--svg", help="file to draw the worth into")
    parser.add_argument("--name", default="now", help="of this run in the picture")
    told = parser.parse_args()
    cores = [int(core) for core in told.cores.split(",")]
    if len(cores) < 3:
        print("bench.overload: --cores: needs at least three")
        return 2
    loads = [float(load) for load in told.loads.split(",")]
    worths = uvloop.run(measure(told.seconds, cores, told.delay, loads, told.ration, told.sockets))
    if told.svg:
        lines(
            Path(told.svg),
            "Worth answered within the aim",
            "offered load, multiples of the capacity",
            "worth a second",
            loads,
            {told.name: worths},
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
