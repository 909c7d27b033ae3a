"""Hosts, discovery and one or more gateway processes, for tests that judge the program from outside."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from socket import SOCK_DGRAM
from typing import Any

from testbed.account import Drain, Receipt, Work, broken_rules
from testbed.clients import Load
from testbed.gateway import GatewayProcess, free_port, settings
from testbed.hosts import Discovery, Host
from testbed.lines import address_of
from testbed.processes import hold
from testbed.relay import RelayProcess


class Stage:
    """Stand-ins in this process, and gateways in theirs, each pinned to a core of its own where there are
    enough. `told` changes the gateways' settings; with several gateways each is told its number. `upgrades`
    is the text of the file that turns upgrades on, `budget` of the one for traffic between `zones`, over
    which hosts are dealt out in turn; with `operators` each has an address for them; `path` is a folder whose
    modules come before those of the build, `tree` one whose packages run in place of the source tree's. The
    last `later` of the gateways start with `start_later` only, by the list as it is by then; `registry` makes
    what lists the hosts; `fleet` is the text of the file that turns the view of the fleet on, with the
    gateways' datagrams through `relay`, where `peers` allows them to talk; with `aloud` each can reach all
    others by one of them, and with `lines` those to hosts and discovery go through it, too; views are
    written `every` so often."""

    def __init__(
        self,
        folder: Path,
        works: Sequence[Work],
        hosts: int,
        *,
        delay: float = 0.0,
        sockets: int = 4096,
        gateways: int = 1,
        upgrades: str = "",
        path: Path | None = None,
        zones: Sequence[str] = ("room",),
        budget: str = "",
        tree: Path | None = None,
        operators: bool = False,
        later: int = 0,
        registry: Callable[[list[Host]], Discovery] = Discovery,
        fleet: str = "",
        peers: bool = True,
        aloud: bool = False,
        lines: bool = False,
        every: str = "100 ms",
        **told: Any,
    ) -> None:
        self._folder, self._works, self._sockets = folder, works, sockets
        self._told, self._budget = {"zones": list(zones)} | told, budget
        self.hosts = [Host(f"s-{i}", delay, zones[i % len(zones)]) for i in range(hosts)]
        self._operators, self._later, self._list = operators, later, registry
        self._fleet, self._peers, self.relay = fleet, bool(fleet) and peers, RelayProcess([])
        self._aloud, self._lines, self._every = aloud, lines, every
        self.deaf: frozenset[int] = frozenset()  # gateways that cannot hear what discovery tells
        self._count, self._upgrades, self._path, self._tree = gateways, upgrades, path, tree
        self.gateways: list[GatewayProcess] = []
        self.log = ""
        self.drains: list[Drain] = []  # that were told
        self._rations: list[asyncio.subprocess.Process] = []

    @property
    def gateway(self) -> GatewayProcess:
        return self.gateways[0]

    async def __aenter__(self) -> Stage:
        for host in self.hosts:
            await host.start()
        self.discovery = await self._list(self.hosts).start()
        cores = sorted(os.sched_getaffinity(0))
        if self._fleet:
            # An address for each: the relay's many sockets may get any free port of 127.0.0.1.
            listens = [(f"127.1.0.{n + 1}", free_port(SOCK_DGRAM)) for n in range(self._count)]
            lines = {host.name: host.port for host in self.hosts} | {
                "discovery": self.discovery.port
            }
            self.relay = await RelayProcess(listens, lines=lines if self._lines else None).start()
        for number in range(self._count):
            folder = self._folder / str(number)
            folder.mkdir()
            told = settings(self._works, peers=self._peers)
            told |= {"balancers": self._count, "my_number": number} | self._told
            core = cores[-1 - number % len(cores)]
            gateway = GatewayProcess(folder, self.discovery.port, told, self._sockets, core)
            gateway.upgrades, gateway.path, gateway.budget = (
                self._upgrades,
                self._path,
                self._budget,
            )
            gateway.tree = self._tree or gateway.tree
            gateway.admin = free_port() if self._operators else 0
            if self._fleet:
                everyone = self.relay.everyone[number] if self._aloud else ""
                if self._lines:
                    gateway.reconfigure(discovery=f"{address_of(number)}:{self.discovery.port}")
                gateway.talks(
                    self._fleet, listens[number], self.relay.peers[number], everyone, self._every
                )
            self.gateways.append(gateway)
        early = self.gateways[: self._count - self._later]
        if self._fleet:  # which is to settle from a start of all at once
            await asyncio.gather(*(gateway.start() for gateway in early))
        else:
            for gateway in early:
                await gateway.start()
        return self

    async def start_later(self) -> None:
        """Start the gateways that were left for later, all at once; returns once each serves."""
        known = {"generation": 1, "reset": True, "instances": [host.entry() for host in self.hosts]}
        late = self.gateways[self._count - self._later :]
        for gateway in late:
            gateway.reconfigure(known=known)
        await asyncio.gather(*(gateway.start() for gateway in late))

    async def __aexit__(self, *_: object) -> None:
        self.log = "".join([await gateway.stop() for gateway in self.gateways])
        for ration in self._rations:  # it ends with the process that it held
            await ration.wait()
        if self._fleet:
            await self.relay.stop()
        self.discovery.stop()
        for host in self.hosts:
            host.stop()

    def load(self, gateway: int = 0, shares: Sequence[float] = (3, 1), **more: Any) -> Load:
        more = {"prefix": f"g{gateway}-"} | more
        return Load(self.gateways[gateway].address, self._works, shares, **more)

    async def ration(self, share: float, gateway: int = 0) -> None:
        """Hold a gateway to a part of its core (0 to 1)."""
        self._rations.append(await hold(self.gateways[gateway].pid, share))

    async def no_ration(self) -> None:
        """Let the gateways have their cores again."""
        for ration in self._rations:
            ration.terminate()
            await ration.wait()
        self._rations = []
        for one in self.gateways:
            one.go_on()

    def receipts(self) -> list[Receipt]:
        return [receipt for host in self.hosts for receipt in host.receipts]

    def broken(self, *loads: Load) -> list[str]:
        """What in the account of these loads no gateway may do."""
        records = [record for load in loads for record in load.records]
        return broken_rules(records, self.receipts(), self._works, drains=self.drains)

    def break_off(self, host: Host, keep: str, most: int | None = None, **changes: Any) -> float:
        """Change a host's line, of which those who watch, the oldest `most` of them, hear the part up to
        `keep`; returns when."""
        assert self.discovery.break_off(host.name, keep, most, **changes) > 0
        return self._changed(host, changes)

    def tell(self, host: Host, **changes: Any) -> float:
        """Change a host's line in the list; returns when."""
        self.discovery.tell(host.name, **changes)
        return self._changed(host, changes)

    def _changed(self, host: Host, changes: Mapping[str, Any]) -> float:
        now = time.monotonic()
        if "lifecycle" in changes:
            open_ones = [d for d in self.drains if d.host == host.name and d.until > now]
            if changes["lifecycle"] == "up":
                self.drains = [replace(d, until=now) if d in open_ones else d for d in self.drains]
            elif not open_ones:
                self.drains.append(Drain(host.name, now, deaf=self.deaf))
        return now
