"""A gateway, or the bare relay, in front of stand-in hosts, each on a processor core of its own."""

from __future__ import annotations

import argparse
import os
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from testbed.account import RequestClass
from testbed.gateway import ROOT, GatewayProcess, settings
from testbed.processes import HostsProcess, hold

COMPILED = ROOT / "build" / "compiled"
HOST_COUNT = 12
DESCRIPTORS = 8192  # that the gateway may have open


class Program(StrEnum):
    """What runs between the clients and the hosts."""

    RELAY = "relay"  # bench.relay
    GATEWAY = "gateway"  # from the folder that RIG_BUILD names, or from the source tree
    PLAIN = "plain"  # the gateway from the source tree
    COMPILED = "compiled"  # the gateway from build/compiled


@dataclass(frozen=True, slots=True)
class Cores:
    """The processor cores, by number, to which the parts of a run are pinned."""

    gateway: int
    hosts: int
    clients: tuple[int, ...]  # one process of clients on each

    @classmethod
    def parse(cls, text: str, max_clients: int | None = None) -> Cores:
        """Cores from `gateway,hosts,clients,...`: at least one of clients, at most `max_clients`.

        Raises ValueError for other texts.
        """
        gateway, hosts, *clients = map(int, text.split(","))
        if not clients:
            raise ValueError("no core for clients")
        if max_clients is not None and len(clients) > max_clients:
            raise ValueError(f"{len(clients)} cores for clients, {max_clients} at the most")
        return cls(gateway, hosts, tuple(clients))

    @staticmethod
    def add_option(parser: argparse.ArgumentParser, count: int, meaning: str) -> None:
        """Add `--cores`; the default is the last `count` cores that this process may use."""
        available = sorted(os.sched_getaffinity(0))
        default = ",".join(map(str, available[-count:]))
        parser.add_argument("--cores", default=default, help=meaning)


@asynccontextmanager
async def gateway_with_hosts(
    classes: Sequence[RequestClass],
    cores: Cores,
    program: Program = Program.GATEWAY,
    *,
    host_count: int = HOST_COUNT,
    host_delay_s: float = 0.0,
    descriptors: int = DESCRIPTORS,
    cpu_fraction: float = 1.0,
) -> AsyncIterator[GatewayProcess]:
    """Run hosts that answer after `host_delay_s` and a gateway for these classes in front of them.

    The gateway may have so many `descriptors` open and use the part `cpu_fraction` (0 to 1) of its
    core. All processes have ended when the context is left.
    """
    hosts = await HostsProcess(host_count, host_delay_s, core=cores.hosts).start()
    rationing = None
    with tempfile.TemporaryDirectory() as folder:
        gateway = GatewayProcess(
            Path(folder),
            hosts.discovery_port,
            settings(classes),
            descriptors,
            cores.gateway,
            cpu_fraction,
        )
        if program is not Program.GATEWAY:
            gateway.tree = COMPILED if program is Program.COMPILED else None
        try:
            await gateway.start(command=_command(program, hosts.ports))
            if cpu_fraction < 1.0:
                rationing = await hold(gateway.pid, cpu_fraction, cores.hosts)
            yield gateway
        finally:
            await gateway.stop()
            if rationing is not None:
                await rationing.wait()  # it ends with the gateway
            await hosts.stop()


def _command(program: Program, host_ports: Sequence[int]) -> Sequence[str]:
    """The interpreter's arguments that start this program."""
    if program is Program.RELAY:
        return ["-m", "bench.relay", *map(str, host_ports)]
    return ["-m", "quillroad"]
