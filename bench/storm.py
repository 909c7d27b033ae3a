"""Clients that connect and send in one instant: `python -m bench.storm`.

For each size the gateway and a bare relay take the same storm, each on one core, with twelve hosts that
answer at once: the slowest first answer, and what was served after its deadline of 900 ms. The clients go on
asking for two seconds. Needs three cores; about half a minute.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
from pathlib import Path

import uvloop

from testbed.account import RequestClass, percentile, total
from testbed.gateway import GatewayProcess, settings
from testbed.processes import HostsProcess, run_load

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 0.9, 2.0),
    RequestClass("seat-checkout", 0.75, 0.9, 8.0, keyed=True, body_bytes=200),
]
SIZES = (150, 300, 1000, 4000)


async def measure(sizes: list[int], cores: list[int]) -> None:
    gateway_core, host_core, client_core = cores
    print(
        "clients  program  first answers  p50 ms  max ms  late 200s  in aim  refused  failed  none"
    )
    for size in sizes:
        for name in ("relay", "gateway"):
            hosts = await HostsProcess(12, core=host_core).start()
            with tempfile.TemporaryDirectory() as folder:
                gateway = GatewayProcess(
                    Path(folder),
                    hosts.discovery_port,
                    settings(REQUEST_CLASSES),
                    sockets=10_000,
                    core=gateway_core,
                )
                relay = ["-m", "bench.relay", *map(str, hosts.ports)]
                await gateway.start(command=relay if name == "relay" else ("-m", "quillroad"))
                result = await run_load(
                    gateway.address,
                    REQUEST_CLASSES,
                    [3, 1],
                    [client_core],
                    "closed",
                    2.0,
                    connections=size,
                )
                await gateway.stop()
                await hosts.stop()
            whole = total(result.rows.values())
            print(
                f"{size:7d}  {name:>7}  {len(result.firsts):13d}  "
                f"{percentile(result.firsts, 0.5) * 1e3:6.0f}  "
                f"{max(result.firsts, default=0) * 1e3:6.0f}  {whole.late:9d}  {whole.within_objective:6d}  "
                f"{whole.rejected:7d}  {whole.failed:6d}  {whole.unanswered:4d}",
                flush=True,
            )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)), help="numbers of clients")
    have = sorted(os.sched_getaffinity(0))
    parser.add_argument(
        "--cores", default=",".join(map(str, have[-3:])), help="gateway, hosts, clients"
    )
    told = parser.parse_args()
    cores = [int(core) for core in told.cores.split(",")]
    if len(cores) != 3:
        print("bench.storm: --cores: needs three")
        return 2
    uvloop.run(measure([int(size) for size in told.sizes.split(",")], cores))
    return 0


if __name__ == "__main__":
    sys.exit(main())
