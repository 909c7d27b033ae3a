"""Hosts, discovery and one or more gateway processes, to judge the program from outside."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from socket import SOCK_DGRAM
from typing import Any, NamedTuple

from testbed.account import Drain, Receipt, RequestClass, rule_violations
from testbed.clients import Load
from testbed.cores import CoreClaims
from testbed.gateway import GatewayProcess, settings
from testbed.hosts import Discovery, Host
from testbed.lines import address_of
from testbed.ports import free_port
from testbed.processes import hold
from testbed.relay import RelayProcess


class _GatewayOptions(NamedTuple):
    """What each gateway is started with; see the parameters of `Environment`."""

    sockets: int
    memory_mb: int
    upgrades: str
    budget: str
    operators: bool
    path: Path | None
    tree: Path | None


class _Membership(NamedTuple):
    """How gateways talk to each other: the text of the fleet file (empty: not at all) and more.

    `may_talk`: whether the platform allows it; `broadcast`: each reaches all others by one
    datagram, too; `view_interval`: how often views are written, as the fleet file has it;
    `relays_lines`: connections to hosts and discovery go through the relay, too.
    """

    file: str
    may_talk: bool
    broadcast: bool
    view_interval: str
    relays_lines: bool


def _membership(
    file: str, may_talk: bool, broadcast: bool, view_interval: str, relays_lines: bool
) -> _Membership:
    """These options; without a file there is no relay, so `relays_lines` raises ValueError."""
    if relays_lines and not file:
        raise ValueError("lines: only the relay of a fleet carries them")
    return _Membership(file, bool(file) and may_talk, broadcast, view_interval, relays_lines)


class Environment:
    """Stand-ins in this process, and gateways in theirs, as an asynchronous context manager.

    Each gateway is pinned to a core of its own while there are enough that no other test on this
    machine holds, and is told its number.

    Parameters:
        folder: for the gateways' files.
        request_classes: what clients send.
        hosts: how many; they are dealt out over `zones` in turn and answer after `delay` seconds.
        sockets: each gateway's limit of descriptors.
        memory_mb: each gateway's limit of memory, as its configuration says.
        gateways: how many; the last `later` of them start with `start_later` only.
        upgrades, budget, fleet: texts of the files that turn upgrades, the cross-zone budget and
            membership on; empty: off.
        path: folder of single modules that hide those of the same name, for broken builds.
        tree: folder whose packages run in place of the source tree's, as a compiled build.
        operators: whether each gateway has an operators' address.
        registry: makes the discovery that lists the hosts.
        peers: whether the platform lets gateways talk to each other, through `relay`.
        broadcast: whether each gateway reaches all others by one datagram, too.
        every: how often views of the fleet are written, as the fleet file has it.
        lines: whether connections to hosts and discovery go through the relay, too; needs `fleet`,
            without which there is no relay. Raises ValueError.
        changes: changes to the gateways' settings.
    """

    def __init__(
        self,
        folder: Path,
        request_classes: Sequence[RequestClass],
        hosts: int,
        *,
        delay: float = 0.0,
        sockets: int = 4096,
        memory_mb: int = 192,
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
        broadcast: bool = False,
        lines: bool = False,
        every: str = "100 ms",
        **changes: Any,
    ) -> None:
        self._folder = folder
        self._request_classes = request_classes
        self._options = _GatewayOptions(sockets, memory_mb, upgrades, budget, operators, path, tree)
        self._settings = {"zones": list(zones)} | changes
        self.hosts = [Host(f"s-{i}", delay, zones[i % len(zones)]) for i in range(hosts)]
        self._started_later = later
        self._make_discovery = registry
        self._membership = _membership(fleet, peers, broadcast, every, lines)
        self.relay = RelayProcess([])
        self.uninformed: frozenset[int] = frozenset()  # gateways that discovery does not reach
        self._count = gateways
        self._cores = CoreClaims()
        self.gateways: list[GatewayProcess] = []
        self.log = ""
        self.drains: list[Drain] = []  # that the endpoint list announced
        self._rations: list[asyncio.subprocess.Process] = []

    @property
    def gateway(self) -> GatewayProcess:
        """The first gateway."""
        return self.gateways[0]

    async def __aenter__(self) -> Environment:
        for host in self.hosts:
            await host.start()
        self.discovery = await self._make_discovery(self.hosts).start()
        listens = await self._start_relay() if self._membership.file else []
        for number in range(self._count):
            gateway = self._make_gateway(number)
            if self._membership.file:
                self._join_fleet(gateway, number, listens[number])
            self.gateways.append(gateway)
        await self._start_gateways()
        return self

    async def _start_relay(self) -> list[tuple[str, int]]:
        """Start the relay; returns the gateways' own addresses for datagrams, by number."""
        # An address for each: the relay's many sockets may get any free port of 127.0.0.1.
        listens = [(f"127.1.0.{n + 1}", free_port(SOCK_DGRAM)) for n in range(self._count)]
        lines: dict[str, int] | None = None
        if self._membership.relays_lines:
            lines = {host.name: host.port for host in self.hosts}
            lines["discovery"] = self.discovery.port
        self.relay = await RelayProcess(listens, lines=lines).start()
        return listens

    def _make_gateway(self, number: int) -> GatewayProcess:
        """A gateway with its files and settings, not started yet."""
        options = self._options
        folder = self._folder / str(number)
        folder.mkdir()
        own_settings = settings(self._request_classes, peers=self._membership.may_talk)
        own_settings |= {"balancers": self._count, "my_number": number} | self._settings
        core = self._cores.claim(number)
        gateway = GatewayProcess(folder, self.discovery.port, own_settings, options.sockets, core)
        gateway.limit_memory(options.memory_mb)
        gateway.upgrades = options.upgrades
        gateway.path = options.path
        gateway.budget = options.budget
        gateway.tree = options.tree or gateway.tree
        gateway.admin = gateway.reserve_port() if options.operators else 0
        return gateway

    def _join_fleet(self, gateway: GatewayProcess, number: int, listen: tuple[str, int]) -> None:
        """Let a gateway talk to the others, and reach hosts and discovery, through the relay."""
        membership = self._membership
        everyone = self.relay.everyone[number] if membership.broadcast else ""
        if self._membership.relays_lines:
            gateway.reconfigure(discovery=f"{address_of(number)}:{self.discovery.port}")
        peers = self.relay.peers[number]
        gateway.join_membership(membership.file, listen, peers, everyone, membership.view_interval)

    async def _start_gateways(self) -> None:
        """Start the gateways but the last `later`; with membership all at one instant."""
        early = self.gateways[: self._count - self._started_later]
        if self._membership.file:
            await asyncio.gather(*(gateway.start() for gateway in early))
        else:
            for gateway in early:
                await gateway.start()

    async def start_later(self) -> None:
        """Start the gateways that were left for later; returns once each serves.

        All start at once, and know the endpoint list as it is by now.
        """
        known = {"generation": 1, "reset": True, "instances": [host.entry() for host in self.hosts]}
        late = self.gateways[self._count - self._started_later :]
        for gateway in late:
            gateway.reconfigure(known=known)
        await asyncio.gather(*(gateway.start() for gateway in late))

    async def __aexit__(self, *_: object) -> None:
        self.log = "".join([await gateway.stop() for gateway in self.gateways])
        self._cores.release()
        for ration in self._rations:  # it ends with the process that it held
            await ration.wait()
        if self._membership.file:
            await self.relay.stop()
        self.discovery.stop()
        for host in self.hosts:
            host.stop()

    def load(self, gateway: int = 0, weights: Sequence[float] = (3, 1), **more: Any) -> Load:
        """A load on one gateway; `weights` weigh the classes, `more` goes to `Load`."""
        more = {"prefix": f"g{gateway}-"} | more
        return Load(self.gateways[gateway].address, self._request_classes, weights, **more)

    async def ration(self, fraction: float, gateway: int = 0) -> None:
        """Hold a gateway to a part of its core (0 to 1)."""
        self._rations.append(await hold(self.gateways[gateway].pid, fraction))

    async def end_rations(self) -> None:
        """Let all gateways have their cores again."""
        for ration in self._rations:
            ration.terminate()
            await ration.wait()
        self._rations = []
        for one in self.gateways:
            one.resume()

    def receipts(self) -> list[Receipt]:
        """All requests that hosts received."""
        return [receipt for host in self.hosts for receipt in host.receipts]

    def violations(self, *loads: Load) -> list[str]:
        """Violations in the account of these loads (`account.rule_violations`)."""
        records = [record for load in loads for record in load.records]
        return rule_violations(records, self.receipts(), self._request_classes, drains=self.drains)

    def break_off(self, host: Host, keep: str, most: int | None = None, **changes: Any) -> float:
        """Change a host's entry, and end watches in the middle of telling it; returns when.

        The oldest `most` watches get the line up to `keep` (see `Discovery.break_off`).
        """
        assert self.discovery.break_off(host.name, keep, most, **changes) > 0
        return self._changed(host, changes)

    def tell(self, host: Host, **changes: Any) -> float:
        """Change a host's entry in the endpoint list; returns when (monotonic clock)."""
        self.discovery.tell(host.name, **changes)
        return self._changed(host, changes)

    def _changed(self, host: Host, changes: Mapping[str, Any]) -> float:
        now = time.monotonic()
        if "lifecycle" in changes:
            open_ones = [d for d in self.drains if d.host == host.name and d.until > now]
            if changes["lifecycle"] == "up":
                self.drains = [replace(d, until=now) if d in open_ones else d for d in self.drains]
            elif not open_ones:
                self.drains.append(Drain(host.name, now, uninformed=self.uninformed))
        return now
