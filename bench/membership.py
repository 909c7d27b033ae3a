"""How soon new work to a node ends after a change in Consul: `python -m bench.membership`.

A gateway (a process, by a configuration file) watches two stand-in agents under a steady load; nodes drain,
go into maintenance, fail their check, are deregistered and come back, and an agent falls silent now and then.
For each change: the time from its write in the catalogue to the last request that the node received (0 where
none came after it). Needs two cores; about two minutes for 320 changes. `--instances` adds idle ones, to see
what a long list costs.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from collections import defaultdict
from pathlib import Path
from time import monotonic

import uvloop

from testbed.account import RequestClass, count_outcomes, percentile, total
from testbed.clients import Load
from testbed.consul import SERVICE, Agent, Catalogue, Registered
from testbed.gateway import FileGateway
from testbed.hosts import Host
from testbed.ports import free_port
from testbed.schedule import steady

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
KINDS = ("service maintenance", "node maintenance", "critical", "weight 0", "deregister")
SETTLE_S = 0.12  # between two changes: longer than any of them took to be heard
FILE = """
[gateway]
listen = "127.0.0.1:{port}"
[[classes]]
name = "status-check"
repeat = "safe"
deadline = "1.4 s"
aim = "580 ms"
[[classes]]
name = "seat-checkout"
repeat = "keyed"
deadline = "1.9 s"
aim = "750 ms"
remembers = "6 s"
[hosts]
source = "consul"
[hosts.consul]
agents = [{agents}]
service = "{service}"
"""


def away(catalogue: Catalogue, one: Registered, kind: str) -> float:
    """Make a change that takes a node out of service; returns when it was written."""
    name = one.node, one.service_id
    if kind == "deregister":
        return catalogue.deregister(*name)
    if kind == "critical":
        return catalogue.change(*name, status="critical")
    if kind == "weight 0":
        return catalogue.change(*name, weights=(0, 0))
    return catalogue.change(*name, maintenance=kind.partition(" ")[0])


def back(catalogue: Catalogue, one: Registered) -> None:
    one.status, one.maintenance, one.weights = "passing", "", (1, 1)
    catalogue.register(one)


async def measure(changes: int, rate: float, instances: int, core: int | None) -> int:
    hosts = [await Host(f"s{i}", 0.005).start() for i in range(8)]
    catalogue, chance = Catalogue(), random.Random(1)
    nodes = [Registered(f"n{host.name}", host.name, "127.0.0.1", host.port) for host in hosts]
    for one in nodes:
        catalogue.register(one)
    for number in range(instances):  # they stand aside: on the list, and never sent to
        catalogue.register(
            Registered(
                f"idle{number}", f"i{number}", "127.0.0.1", 20_000 + number, maintenance="node"
            )
        )
    agents = [await Agent(catalogue).start() for _ in range(2)]
    told, waits = defaultdict[str, list[float]](list), defaultdict[str, list[float]](list)
    with tempfile.TemporaryDirectory() as folder:
        port = free_port()
        listed = ", ".join(f'"127.0.0.1:{agent.port}"' for agent in agents)
        path = Path(folder) / "gateway.toml"
        path.write_text(FILE.format(port=port, agents=listed, service=SERVICE))
        gateway = await FileGateway(path, port, core).start()
        load = Load(("127.0.0.1", port), REQUEST_CLASSES, (3, 1))
        before, seconds = gateway.cpu_s(), changes * 2 * SETTLE_S + 4.0
        sending = asyncio.ensure_future(load.open_loop(steady(rate, seconds)))
        await asyncio.sleep(1.0)
        for number in range(changes):
            kind = KINDS[number % len(KINDS)]
            lost = number % 20 >= 10  # half of the time one agent of two is silent
            if number % 20 == 10:
                agents[number // 20 % 2].fail("silent")
            elif number % 20 == 0:
                for agent in agents:
                    agent.fail("")
            node = chance.randrange(len(nodes))
            at = away(catalogue, nodes[node], kind)
            await asyncio.sleep(SETTLE_S)
            late = [receipt.at - at for receipt in hosts[node].receipts if receipt.at > at]
            label = f"{kind}, one agent silent" if lost else kind
            told[label].append(max(late, default=0.0))
            back(catalogue, nodes[node])
            wrote = monotonic()
            count = len(hosts[node].receipts)
            await asyncio.sleep(SETTLE_S)
            if len(hosts[node].receipts) > count:
                waits[label].append(hosts[node].receipts[count].at - wrote)
        await sending
        cpu_s, memory_mb = gateway.cpu_s() - before, gateway.memory_mb()
        await gateway.stop()
    for agent in agents:
        agent.stop()
    print("| change | number | p50 ms | p99 ms | max ms | back in service, p50 ms |")
    print("| --- " * 6 + "|")
    for label, times in sorted(told.items()):
        print(
            f"| {label} | {len(times)} | {percentile(times, 0.5) * 1e3:.1f} "
            f"| {percentile(times, 0.99) * 1e3:.1f} | {max(times) * 1e3:.1f} "
            f"| {percentile(waits[label], 0.5) * 1e3:.0f} |"
        )
    whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
    print(
        f"\n{whole.sent} requests: {whole.within_objective} in aim, {whole.served} after it, "
        f"{whole.late} late, {whole.rejected} refused, {whole.failed} failed, {whole.unanswered} unanswered. "
        f"{len(nodes) + instances} instances: {cpu_s / seconds * 1e3:.1f} ms of CPU a second, "
        f"{memory_mb:.1f} MB."
    )
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=320)
    parser.add_argument("--rate", type=float, default=300.0, help="requests a second")
    parser.add_argument(
        "--instances", type=int, default=0, help="idle ones on the list besides the eight"
    )
    parser.add_argument("--core", type=int, help="to pin the gateway to")
    told = parser.parse_args()
    return uvloop.run(measure(told.changes, told.rate, told.instances, told.core))


if __name__ == "__main__":
    sys.exit(main())
