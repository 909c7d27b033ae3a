"""Faults of a run, drawn from a seed: at hosts, discovery, clients and the gateways' processes.

No I/O. A plan can be made smaller by leaving out kinds of faults.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from testbed.drawn.deployment import Deployment


class HostFault(StrEnum):
    """What a host does with the requests that it receives."""

    HANG = "hang"  # reads them and stays silent
    STOP_READING = "stop reading"
    STOP_IN_HEAD = "stop within the head"
    STOP_IN_BODY = "stop within the body"
    STOP_IN_CHUNK = "stop within a chunk"
    RESET_BEFORE = "reset before the answer"
    RESET_WITHIN = "reset within the answer"
    RESET_AFTER = "reset after the answer"
    CLOSE_BEFORE = "close before the answer"
    CLOSE_WITHIN = "close within the answer"
    LATE = "answer late"
    TWICE = "answer twice"
    NONSENSE = "answer nonsense"
    ERROR = "answer 500"
    TURN_AWAY = "turn away"
    REFUSE = "refuse connections"
    DRAIN = "drain"  # in the list of hosts
    RETURN_COLD = "be away, and come back cold"


class DiscoveryFault(StrEnum):
    """What discovery does."""

    SILENT = "open watches fall silent"
    DOWN = "no call is answered"
    SLOW = "calls are answered late"
    PIECES = "messages come in pieces"


class ClientFault(StrEnum):
    """What some clients do."""

    LEAVE = "leave"
    COME_AGAIN = "leave, and send the same id again"
    PIPELINE = "pipeline"
    WRITE_SLOWLY = "write slowly"
    STOP = "stop within a request"
    READ_NOTHING = "read nothing"
    CROWD = "crowd"  # many idle connections


class ProcessFault(StrEnum):
    """What happens to processes of gateways, beside their planned end."""

    RELOAD = "SIGHUP with other settings"
    REPEAT_SIGNALS = "signals in series"
    KILL = "SIGKILL"
    PAUSE = "held up for 0.15 s"
    BUSY_MACHINE = "load on the machine"
    SYSTEM_CALLS = "system calls fail"
    CLOCK_STEP = "the clock is stepped"


FaultKind = HostFault | DiscoveryFault | ClientFault | ProcessFault

# Chance of each kind of fault to be in a run, by group.
HOST_FAULT_KINDS = 4  # at most, in one run
CLIENT_FAULT_CHANCE = 0.4
CROWD_CHANCE = 0.2
DISCOVERY_FAULT_CHANCE = 0.25
PROCESS_FAULT_CHANCE = 0.3
WHOLE_SHUTDOWN_CHANCE = 0.4
# Seconds of a run: the load begins at 0.
FAULTS_FROM_S = 1.0
FIRST_SIGNAL_S = (1.5, 3.0)
# Clock steps, in seconds.
CLOCK_STEPS_S = (-3600.0, -5.0, -1.0, 1.0, 5.0, 3600.0)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault from `begin_s` to `end_s` of the run.

    `hosts` are the indexes of the hosts concerned; empty for other kinds.
    """

    kind: FaultKind
    begin_s: float
    end_s: float
    hosts: tuple[int, ...] = ()
    value: float = 0.0


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """The faults of a run, and when each gateway is told to end; infinity: it is not."""

    faults: tuple[Fault, ...]
    signals_s: tuple[float, ...]

    def kinds(self) -> list[FaultKind]:
        """The kinds of faults in it, each once, in order."""
        return list(dict.fromkeys(fault.kind for fault in self.faults))

    def of_group(self, group: type[StrEnum]) -> list[Fault]:
        """The faults of one group of kinds."""
        return [fault for fault in self.faults if isinstance(fault.kind, group)]

    def has(self, kind: FaultKind) -> bool:
        """Whether the plan has faults of this kind."""
        return any(fault.kind is kind for fault in self.faults)

    def without(self, kinds: Sequence[FaultKind]) -> FaultPlan:
        """The same plan without these kinds of faults."""
        return replace(self, faults=tuple(f for f in self.faults if f.kind not in kinds))


def draw_faults(draw: random.Random, deployment: Deployment) -> FaultPlan:
    """Draw the faults of a run of this deployment."""
    signals_s = _draw_signals(draw, deployment)
    end_s = max(at for at in signals_s if at < float("inf")) + deployment.kill_s + 1.0
    faults = [
        *_draw_host_faults(draw, deployment, min(signals_s), end_s),
        *_draw_discovery_faults(draw, end_s),
        *_draw_client_faults(draw, end_s),
        *_draw_process_faults(draw, end_s),
    ]
    return FaultPlan(tuple(faults), signals_s)


def _draw_signals(draw: random.Random, deployment: Deployment) -> tuple[float, ...]:
    """One gateway is told to end at least; others follow after it, or at once."""
    first_s = draw.uniform(*FIRST_SIGNAL_S)
    apart_s = draw.choice((0.0, 0.3, deployment.kill_s + 0.5))
    count = draw.randint(1, min(2 if apart_s > 1.0 else deployment.gateways, deployment.gateways))
    return tuple(
        first_s + number * apart_s if number < count else float("inf")
        for number in range(deployment.gateways)
    )


def _draw_host_faults(
    draw: random.Random, deployment: Deployment, signal_s: float, end_s: float
) -> list[Fault]:
    host_count = len(deployment.hosts)
    faults = []
    for kind in draw.sample(list(HostFault), draw.randint(0, HOST_FAULT_KINDS)):
        hosts = _draw_hosts(draw, kind, host_count)
        if draw.random() < WHOLE_SHUTDOWN_CHANCE:
            span = (max(FAULTS_FROM_S, signal_s - draw.uniform(0.0, 0.6)), end_s)
        else:
            begin_s = draw.uniform(FAULTS_FROM_S, end_s - 0.5)
            span = (begin_s, min(end_s, begin_s + draw.uniform(0.3, 3.0)))
        faults.append(Fault(kind, *span, hosts))
    return faults


def _draw_hosts(draw: random.Random, kind: HostFault, count: int) -> tuple[int, ...]:
    """Some hosts, or all; at least one host stays in the list, and is not cold."""
    most = count - 1 if kind in (HostFault.DRAIN, HostFault.RETURN_COLD) else count
    fraction = draw.choice((0.1, 0.25, 0.5, 1.0))
    return tuple(draw.sample(range(count), max(1, min(most, round(fraction * count)))))


def _draw_discovery_faults(draw: random.Random, end_s: float) -> list[Fault]:
    faults = []
    for kind in DiscoveryFault:
        if draw.random() < DISCOVERY_FAULT_CHANCE:
            begin_s = draw.uniform(FAULTS_FROM_S, end_s)
            faults.append(Fault(kind, begin_s, begin_s + draw.uniform(0.3, 5.0)))
    return faults


def _draw_client_faults(draw: random.Random, end_s: float) -> list[Fault]:
    faults = []
    for kind in ClientFault:
        chance = CROWD_CHANCE if kind is ClientFault.CROWD else CLIENT_FAULT_CHANCE
        if draw.random() < chance:
            faults.append(Fault(kind, 0.5, end_s, value=draw.uniform(0.02, 0.12)))
    return faults


def _draw_process_faults(draw: random.Random, end_s: float) -> list[Fault]:
    faults = []
    for kind in ProcessFault:
        if draw.random() >= PROCESS_FAULT_CHANCE:
            continue
        for _ in range(draw.randint(1, 3)):
            begin_s = draw.uniform(FAULTS_FROM_S, end_s)
            value = draw.choice(CLOCK_STEPS_S) if kind is ProcessFault.CLOCK_STEP else draw.random()
            faults.append(Fault(kind, begin_s, begin_s + draw.uniform(0.05, 0.5), value=value))
    return faults
