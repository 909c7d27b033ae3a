"""How soon new work to a node ends after a change in Consul: `python -m bench.membership`.

A gateway (a process, by a configuration file) watches two stand-in agents under a steady load;
nodes go into maintenance, fail their check, lose their weight, are deregistered and come back, and
an agent falls silent now and then. For each change: the time from its write in the catalogue to the
last request that the node received (0 where none came after it). Needs two cores; about two minutes
for 320 changes. `--instances` adds idle ones, to see what a long list costs.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from collections import defaultdict
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from time import monotonic
from typing import NamedTuple

import uvloop

from bench.request_classes import REQUEST_CLASSES
from bench.tables import milliseconds, print_header, print_row
from testbed.account import OutcomeCounts, count_outcomes, total
from testbed.clients import Load
from testbed.consul import SERVICE, Agent, Catalogue, Fault, Registered
from testbed.gateway import FileGateway
from testbed.hosts import Host
from testbed.ports import free_port
from testbed.schedule import steady

CLASS_SHARES = (3, 1)  # of the requests
HOST_COUNT = 8
HOST_DELAY_S = 0.005  # of the hosts' answers
AGENT_COUNT = 2
FIRST_IDLE_PORT = 20_000  # nothing listens there, and nothing is sent there
SETTLE_S = 0.12  # between two changes: longer than any of them took to be heard
WARM_UP_S = 1.0  # of load before the first change
LOAD_BEYOND_CHANGES_S = 4.0  # of load before the first change and after the last one, together
# Of so many changes, the first half are made with all agents up and the rest with one silent.
CHANGES_PER_FAULT_CYCLE = 20
CONFIGURATION = """
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


class Change(StrEnum):
    """How a node is taken out of service."""

    SERVICE_MAINTENANCE = "service maintenance"
    NODE_MAINTENANCE = "node maintenance"
    CRITICAL = "critical"  # its check fails
    WEIGHT_0 = "weight 0"
    DEREGISTER = "deregister"


CHANGES = tuple(Change)


def take_out(catalogue: Catalogue, instance: Registered, change: Change) -> float:
    """Take an instance out of service; returns when that was written (monotonic clock, seconds)."""
    key = instance.node, instance.service_id
    match change:
        case Change.SERVICE_MAINTENANCE:
            return catalogue.change(*key, maintenance="service")
        case Change.NODE_MAINTENANCE:
            return catalogue.change(*key, maintenance="node")
        case Change.CRITICAL:
            return catalogue.change(*key, status="critical")
        case Change.WEIGHT_0:
            return catalogue.change(*key, weights=(0, 0))
        case Change.DEREGISTER:
            return catalogue.deregister(*key)


def put_back(catalogue: Catalogue, instance: Registered) -> float:
    """Undo any of the changes; returns when that was written (monotonic clock, seconds)."""
    instance.status, instance.maintenance, instance.weights = "passing", "", (1, 1)
    return catalogue.register(instance)


class Node(NamedTuple):
    """A host and its instance in the catalogue."""

    host: Host
    instance: Registered

    def last_receipt_s(self, since: float) -> float:
        """Seconds from `since` (monotonic clock) to the last request received after it, or 0."""
        late = [receipt.at - since for receipt in self.host.receipts if receipt.at > since]
        return max(late, default=0.0)


@dataclass
class Cluster:
    """The nodes, and the agents that tell of them."""

    catalogue: Catalogue
    nodes: list[Node]
    agents: list[Agent]

    def set_agent_faults(self, number: int) -> None:
        """Silence an agent, or bring all back, where that is due before change `number`."""
        cycle, position = divmod(number, CHANGES_PER_FAULT_CYCLE)
        if position == 0:
            for agent in self.agents:
                agent.fail(Fault.NONE)
        elif position == CHANGES_PER_FAULT_CYCLE // 2:
            self.agents[cycle % len(self.agents)].fail(Fault.SILENT)


def one_agent_silent(number: int) -> bool:
    """Whether an agent is silent while change `number` is made."""
    return number % CHANGES_PER_FAULT_CYCLE >= CHANGES_PER_FAULT_CYCLE // 2


async def start_cluster(idle_instances: int) -> Cluster:
    """Start hosts and agents; so many further instances are listed in maintenance."""
    catalogue = Catalogue()
    nodes = []
    for number in range(HOST_COUNT):
        host = await Host(f"s{number}", HOST_DELAY_S).start()
        nodes.append(Node(host, Registered(f"n{host.name}", host.name, "127.0.0.1", host.port)))
        catalogue.register(nodes[-1].instance)
    for number in range(idle_instances):
        port = FIRST_IDLE_PORT + number
        idle = Registered(f"idle{number}", f"i{number}", "127.0.0.1", port, maintenance="node")
        catalogue.register(idle)
    agents = [await Agent(catalogue).start() for _ in range(AGENT_COUNT)]
    return Cluster(catalogue, nodes, agents)


@asynccontextmanager
async def gateway_of(agents: Sequence[Agent], core: int | None) -> AsyncIterator[FileGateway]:
    """Run a gateway that watches these agents, on this core or on any."""
    port = free_port()
    addresses = ", ".join(f'"127.0.0.1:{agent.port}"' for agent in agents)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.toml"
        path.write_text(CONFIGURATION.format(port=port, agents=addresses, service=SERVICE))
        gateway = await FileGateway(path, port, core).start()
        try:
            yield gateway
        finally:
            await gateway.stop()


@dataclass
class Delays:
    """Seconds from a change to its effect, by what was changed."""

    # To the last request that the node received; 0: none after the change.
    out: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    # From the return to the first request that the node received.
    back: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def print(self) -> None:
        """Print a row for each kind of change."""
        print_header("change", "number", "p50 ms", "p99 ms", "max ms", "back in service, p50 ms")
        for label, delays_s in sorted(self.out.items()):
            print_row(
                label,
                str(len(delays_s)),
                milliseconds(delays_s, 0.5, digits=1),
                milliseconds(delays_s, 0.99, digits=1),
                f"{max(delays_s) * 1e3:.1f}",
                milliseconds(self.back[label], 0.5),
            )


async def make_changes(cluster: Cluster, changes: int) -> Delays:
    """Take a node out and put it back, so many times; the load must be on."""
    delays = Delays()
    rng = random.Random(1)
    for number in range(changes):
        cluster.set_agent_faults(number)
        change = CHANGES[number % len(CHANGES)]
        label = f"{change}, one agent silent" if one_agent_silent(number) else str(change)
        node = rng.choice(cluster.nodes)
        taken_out_at = take_out(cluster.catalogue, node.instance, change)
        await asyncio.sleep(SETTLE_S)
        delays.out[label].append(node.last_receipt_s(taken_out_at))
        put_back(cluster.catalogue, node.instance)
        put_back_at = monotonic()
        count = len(node.host.receipts)
        await asyncio.sleep(SETTLE_S)
        if len(node.host.receipts) > count:
            delays.back[label].append(node.host.receipts[count].at - put_back_at)
    return delays


def print_account(
    whole: OutcomeCounts, instances: int, cpu_ms_per_s: float, memory_mb: float
) -> None:
    """Print what became of the requests, and what the gateway used."""
    print(
        f"\n{whole.sent} requests: {whole.within_objective} in aim, "
        f"{whole.after_objective} after it, "
        f"{whole.late} late, {whole.rejected} refused, {whole.failed} failed, "
        f"{whole.unanswered} unanswered. "
        f"{instances} instances: {cpu_ms_per_s:.1f} ms of CPU a second, {memory_mb:.1f} MB."
    )


async def measure(changes: int, rate: float, idle_instances: int, core: int | None) -> int:
    """Make so many changes under a load of `rate` requests a second, and print their delays.

    `idle_instances` are on the list and never sent to; the gateway is pinned to `core`, if any.
    """
    cluster = await start_cluster(idle_instances)
    seconds = changes * 2 * SETTLE_S + LOAD_BEYOND_CHANGES_S
    async with gateway_of(cluster.agents, core) as gateway:
        load = Load(gateway.address, REQUEST_CLASSES, CLASS_SHARES)
        cpu_before_s = gateway.cpu_s()
        sending = asyncio.ensure_future(load.open_loop(steady(rate, seconds)))
        await asyncio.sleep(WARM_UP_S)
        delays = await make_changes(cluster, changes)
        await sending
        cpu_ms_per_s = (gateway.cpu_s() - cpu_before_s) / seconds * 1e3
        memory_mb = gateway.memory_mb()
    for agent in cluster.agents:
        agent.stop()
    delays.print()
    whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
    print_account(whole, len(cluster.nodes) + idle_instances, cpu_ms_per_s, memory_mb)
    return 0


def main() -> int:
    """Run by the command line; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=320)
    parser.add_argument("--rate", type=float, default=300.0, help="requests a second")
    parser.add_argument(
        "--instances", type=int, default=0, help="idle ones on the list besides the eight"
    )
    parser.add_argument("--core", type=int, help="to pin the gateway to")
    options = parser.parse_args()
    return uvloop.run(measure(options.changes, options.rate, options.instances, options.core))


if __name__ == "__main__":
    sys.exit(main())
