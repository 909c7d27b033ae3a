"""The soak over drawn deployments: one run a seed, judged by the records of clients and hosts.

A run that breaks a rule is played again with fewer faults, as long as it goes on breaking it.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from testbed.drawn.account import Judge, Lags, Records, ToldDrain
from testbed.drawn.clients import ANSWER_WAIT_S, Clients
from testbed.drawn.deployment import Deployment, Replacement, draw_deployment
from testbed.drawn.faults import (
    ClientFault,
    DiscoveryFault,
    Fault,
    FaultKind,
    FaultPlan,
    HostFault,
    ProcessFault,
    draw_faults,
)
from testbed.drawn.gateways import Gateways
from testbed.drawn.hosts import ActiveFault, FaultyHost
from testbed.drawn.result import DrawnResult
from testbed.drawn.system_calls import SystemCalls, compile_library
from testbed.hosts import Discovery

CROWD_CONNECTIONS = 700
AFTER_S = 1.0  # load after the last process has been replaced
LAG_TICK_S = 0.005
KNOWN_AFTER_OUTAGE_S = 6.0  # from discovery's return until its changes count as told
KNOWN_AFTER_RELOAD_S = 4.0
SYSTEM_CALL_CHANCE = (0.05, 0.5)
SLOW_CALL_S = 0.5
BUSY_LOOPS = 4
BUSY_PROGRAM = "import time; end = time.monotonic() + {seconds}\nwhile time.monotonic() < end: pass"


class SlowDiscovery(Discovery):
    """A discovery that can be slow to answer calls."""

    call_delay_s = 0.0

    async def _is_answered(self, writer: asyncio.StreamWriter) -> bool:
        if self.call_delay_s:
            await asyncio.sleep(self.call_delay_s)
        return True


class DrawnRun:
    """One run."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        deployment: Deployment,
        plan: FaultPlan,
        library: Path | None,
    ) -> None:
        self._draw = random.Random(seed)
        self._folder = folder
        self._seed = seed
        self._deployment = deployment
        self._plan = plan
        self._library = library
        self._hosts = [FaultyHost(drawn, self._draw) for drawn in deployment.hosts]
        self._discoveries: list[SlowDiscovery] = []
        self._lags = Lags()
        self._drains: list[ToldDrain] = []
        self._reloads: list[float] = []
        self._began_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> DrawnResult:
        """Run it."""
        for host in self._hosts:
            await host.start()
        for _ in range(2):
            discovery = SlowDiscovery(self._hosts)
            await discovery.start()
            self._discoveries.append(discovery)
        calls = None
        if self._library is not None and self._plan_preloads():
            calls = SystemCalls(self._folder, self._library)
        ports = [discovery.port for discovery in self._discoveries]
        environment = {} if calls is None else calls.environment
        gateways = Gateways(self._folder, self._deployment, ports, environment, self._draw)
        gateways.refuses_upgrades = self._plan.has(ProcessFault.SYSTEM_CALLS)
        clients = Clients(
            self._deployment,
            gateways.addresses,
            gateways.takes_new,
            self._client_fault_chance,
            self._draw,
        )
        try:
            await gateways.start()
            await self._play(gateways, clients, calls)
        finally:
            for task in self._tasks:
                task.cancel()
            log = await gateways.stop()
            for discovery in self._discoveries:
                discovery.stop()
            for host in self._hosts:
                host.go_away()
            if calls is not None:
                calls.close()
        return self._judge(gateways, clients, log)

    def _plan_preloads(self) -> bool:
        return self._plan.has(ProcessFault.SYSTEM_CALLS) or self._plan.has(ProcessFault.CLOCK_STEP)

    async def _play(self, gateways: Gateways, clients: Clients, calls: SystemCalls | None) -> None:
        self._began_at = time.monotonic()
        self._set_host_faults()
        background = [
            asyncio.ensure_future(self._measure_lag()),
            asyncio.ensure_future(gateways.sample_memory()),
        ]
        load = asyncio.ensure_future(clients.run())
        for fault in self._plan.faults:
            self._start(self._cause(fault, gateways, clients, calls))
        repeat_signals = self._plan.has(ProcessFault.REPEAT_SIGNALS)
        replaced = [
            asyncio.ensure_future(self._replace(gateways, number, at_s, repeat_signals))
            for number, at_s in enumerate(self._plan.signals_s)
            if at_s < float("inf")
        ]
        await asyncio.gather(*replaced)
        await asyncio.sleep(AFTER_S)
        load.cancel()
        longest_s = max(drawn.deadline_s for drawn in self._deployment.classes)
        await clients.settle(longest_s + ANSWER_WAIT_S + 0.5)
        for task in background:
            task.cancel()

    def _start(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _until(self, at_s: float) -> None:
        """Wait until a time of the run."""
        await asyncio.sleep(max(0.0, self._began_at + at_s - time.monotonic()))

    async def _replace(
        self, gateways: Gateways, number: int, at_s: float, repeat_signals: bool
    ) -> None:
        await self._until(at_s)
        await gateways.end_and_replace(number, repeat_signals)

    async def _measure_lag(self) -> None:
        while True:
            due = time.monotonic() + LAG_TICK_S
            await asyncio.sleep(LAG_TICK_S)
            now = time.monotonic()
            self._lags.add(now, now - due)

    def _client_fault_chance(self, kind: ClientFault) -> float:
        now_s = time.monotonic() - self._began_at
        for fault in self._plan.faults:
            if fault.kind is kind and fault.begin_s <= now_s < fault.end_s:
                return fault.value
        return 0.0

    def _set_host_faults(self) -> None:
        for fault in self._plan.of_group(HostFault):
            if fault.kind in (HostFault.DRAIN, HostFault.RETURN_COLD, HostFault.REFUSE):
                continue
            assert isinstance(fault.kind, HostFault)
            active = ActiveFault(
                fault.kind, self._began_at + fault.begin_s, self._began_at + fault.end_s
            )
            for index in fault.hosts:
                self._hosts[index].faults.append(active)

    # Causing the faults.

    async def _cause(
        self, fault: Fault, gateways: Gateways, clients: Clients, calls: SystemCalls | None
    ) -> None:
        await self._until(fault.begin_s)
        match fault.kind:
            case HostFault():
                await self._trouble_hosts(fault)
            case DiscoveryFault():
                await self._trouble_discovery(fault)
            case ClientFault.CROWD:
                await clients.crowd(CROWD_CONNECTIONS)
            case ProcessFault():
                await self._trouble_processes(fault, gateways, calls)

    async def _trouble_hosts(self, fault: Fault) -> None:
        hosts = [self._hosts[index] for index in fault.hosts]
        match fault.kind:
            case HostFault.STOP_READING:
                await self._stop_reading(fault, hosts)
            case HostFault.REFUSE:
                await self._refuse(fault, hosts)
            case HostFault.DRAIN:
                await self._drain(fault, hosts)
            case HostFault.RETURN_COLD:
                await self._return_cold(fault, hosts)

    async def _stop_reading(self, fault: Fault, hosts: Sequence[FaultyHost]) -> None:
        for host in hosts:
            host.pause_reading()
        await self._until(fault.end_s)
        for host in hosts:
            host.resume_reading()

    async def _refuse(self, fault: Fault, hosts: Sequence[FaultyHost]) -> None:
        for host in hosts:
            host.go_away()
        await self._until(fault.end_s)
        for host in hosts:
            await self._start_host(host)

    async def _drain(self, fault: Fault, hosts: Sequence[FaultyHost]) -> None:
        for host in hosts:
            self._tell(host, lifecycle="draining")
        told_at = time.monotonic()
        await self._until(fault.end_s)
        for host in hosts:
            self._drains.append(ToldDrain(host.name, self._known_at(told_at), time.monotonic()))
            self._tell(host, lifecycle="up")

    async def _return_cold(self, fault: Fault, hosts: Sequence[FaultyHost]) -> None:
        for host in hosts:
            host.go_away()
            self._tell(host, lifecycle="removed")
        await self._until(fault.end_s)
        for host in hosts:
            await self._start_host(host)
            host.started_at_ms = round(time.time() * 1000)
            self._tell(host, lifecycle="up", startedAtMs=host.started_at_ms)

    @staticmethod
    async def _start_host(host: FaultyHost) -> None:
        with contextlib.suppress(OSError):  # it listens again already, by another fault's end
            await host.start()

    def _tell(self, host: FaultyHost, **changes: Any) -> None:
        for discovery in self._discoveries:
            discovery.tell(host.name, **changes)

    def _known_at(self, told_at: float) -> float:
        """When a change that discovery told counts as told to all gateways at the latest."""
        known_at = told_at
        for fault in self._plan.of_group(DiscoveryFault):
            begin, end = self._began_at + fault.begin_s, self._began_at + fault.end_s
            if begin - KNOWN_AFTER_OUTAGE_S <= told_at + 0.5 and told_at <= end + (
                KNOWN_AFTER_OUTAGE_S
            ):
                known_at = max(known_at, max(told_at, end) + KNOWN_AFTER_OUTAGE_S)
        for reload_at in self._reloads:
            if told_at - KNOWN_AFTER_RELOAD_S <= reload_at:
                known_at = max(known_at, reload_at + KNOWN_AFTER_RELOAD_S)
        return known_at

    async def _trouble_discovery(self, fault: Fault) -> None:
        for discovery in self._discoveries:
            match fault.kind:
                case DiscoveryFault.SILENT:
                    discovery.fall_silent()
                case DiscoveryFault.DOWN:
                    discovery.go_down()
                case DiscoveryFault.SLOW:
                    discovery.call_delay_s = SLOW_CALL_S
                    discovery.fall_silent()
                case DiscoveryFault.PIECES:
                    host = self._hosts[0]
                    discovery.break_off(host.name, '"instances"', startedAtMs=host.started_at_ms)
        await self._until(fault.end_s)
        for discovery in self._discoveries:
            if fault.kind is DiscoveryFault.DOWN:
                discovery.come_back()
            elif fault.kind is DiscoveryFault.SLOW:
                discovery.call_delay_s = 0.0

    async def _trouble_processes(
        self, fault: Fault, gateways: Gateways, calls: SystemCalls | None
    ) -> None:
        number = int(fault.value * 1e6) % self._deployment.gateways
        seconds = fault.end_s - fault.begin_s
        match fault.kind:
            case ProcessFault.RELOAD:
                self._reloads.append(time.monotonic())
                gateways.reload(number, len(self._reloads) % 2)
            case ProcessFault.KILL:
                await gateways.kill(number)
            case ProcessFault.PAUSE:
                await gateways.pause(number)
            case ProcessFault.BUSY_MACHINE:
                await self._keep_busy(seconds + 1.0)
            case ProcessFault.SYSTEM_CALLS if calls is not None:
                calls.fail(seconds, self._draw.uniform(*SYSTEM_CALL_CHANCE))
            case ProcessFault.CLOCK_STEP if calls is not None:
                calls.step_clock(fault.value)

    @staticmethod
    async def _keep_busy(seconds: float) -> None:
        """Load the machine by some processes that end by themselves."""
        program = (
            f"import time\nend = time.monotonic() + {seconds}\nwhile time.monotonic() < end: pass"
        )
        loops = [
            await asyncio.create_subprocess_exec(sys.executable, "-c", program)
            for _ in range(BUSY_LOOPS)
        ]
        await asyncio.gather(*(loop.wait() for loop in loops))

    # Judging.

    def _judge(self, gateways: Gateways, clients: Clients, log: str) -> DrawnResult:
        records = Records(
            self._deployment,
            clients.requests,
            [receipt for host in self._hosts for receipt in host.receipts],
            gateways.endings,
            gateways.kills,
            self._drains,
            self._lags,
            crowded=self._plan.has(ClientFault.CROWD),
        )
        judge = Judge(records)
        violations = judge.violations()
        faults = list(gateways.faults)
        is_one_process = self._deployment.replacement is not Replacement.WORKER
        if is_one_process and gateways.peak_mb > self._deployment.memory_mb:
            faults.append(f"{gateways.peak_mb:.0f} MB of memory")
        return DrawnResult(
            self._seed,
            [kind.value for kind in self._plan.kinds()],
            dict(judge.counts()),
            violations,
            faults,
            self._deployment.describe(),
            judge.story(violations[0].request_id) if violations else [],
            round(gateways.peak_mb, 1),
            gateways.killed,
            round(max(self._lags.lag_s, default=0.0), 3),
            log=log,
        )


def draw_run(seed: int) -> tuple[Deployment, FaultPlan]:
    """Draw the deployment and the faults of a seed."""
    draw = random.Random(seed)
    deployment = draw_deployment(draw)
    return deployment, draw_faults(draw, deployment)


async def play(seed: int, without: Sequence[FaultKind] = ()) -> DrawnResult:
    """Play the run of a seed, without some kinds of faults."""
    deployment, plan = draw_run(seed)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        library = compile_library(folder)
        return await DrawnRun(folder, seed, deployment, plan.without(without), library).run()


async def play_and_shrink(seed: int) -> DrawnResult:
    """Play the run of a seed, and find which kinds of faults it needs if it breaks a rule."""
    result = await play(seed)
    if result.holds:
        return result
    left_out: list[FaultKind] = []
    _, plan = draw_run(seed)
    for kind in plan.kinds():
        if not (await play(seed, [*left_out, kind])).holds:
            left_out.append(kind)
    result.needed_kinds = [kind.value for kind in plan.kinds() if kind not in left_out]
    return result
