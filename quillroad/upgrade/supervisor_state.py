"""What the supervisor knows of its workers and of the upgrade, and the small steps on it. No I/O.

All decisions follow from the phase and from two sets: who was granted leave to accept and may still
have it (`granted`), and who is on the way out (`leaving`).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from quillroad.upgrade.canary import Canary
from quillroad.upgrade.messages import DescriptorLimit, Message, Own, Retire, batch_of
from quillroad.upgrade.supervisor_commands import (
    Command,
    KillWorker,
    LogEvent,
    SendMessage,
    StartWorker,
    UpgradeEnded,
)


class Phase(StrEnum):
    """Where an upgrade stands; `supervisor` explains each phase."""

    STARTING = "starting"
    SERVING = "serving"
    PROBING = "probing"
    PREPARING = "preparing"
    SWITCHING = "switching"
    CANARY = "canary"
    RETURNING = "returning"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Limits:
    """Times in seconds. `docs/operators/upgrades.md` says when to change which."""

    start_s: float = 10.0  # for a new process to be ready
    prepare_s: float = 5.0  # for the rehearsal
    switch_s: float = 2.0  # for each step while nobody accepts
    canary_s: float = 30.0  # in which the process before stands by
    retire_s: float = 10.0  # for a process to finish
    silence_s: float = 2.0  # without a report, after which the new owner counts as hung
    memory_mb: float = 0.0  # for all processes together; 0: no limit
    descriptors: int = 1024  # for all workers together
    base: int = 64  # of them, for one that does not serve yet
    again_s: float = 0.1  # before the next start after a crash; it doubles
    again_most_s: float = 5.0
    calm_s: float = 10.0  # of service after which a crash counts as the first again

    @property
    def left(self) -> int:
        """Descriptors of the process that serves while another starts beside it."""
        return self.descriptors - self.base - 2 * batch_of(self.descriptors)


@dataclass(slots=True)
class WorkerInfo:
    """What the supervisor knows of a process. `heard` is when it sent something last."""

    number: int
    heard: float
    welcomed: bool = False
    ready: bool = False
    prepared: bool = False
    has_state: bool = False  # all that the owner knew
    memory_mb: float = 0.0
    open: int = 0
    connections: int = 0
    moved: int = 0


@dataclass(slots=True)
class SupervisorState:
    """One gateway's processes.

    `owner` is the worker that serves or did last, `candidate` the one that is to, `standby` the one
    that did before; 0 is nobody.
    """

    limits: Limits = field(default_factory=Limits)
    canary: Canary = field(default_factory=Canary)
    phase: Phase = Phase.STARTING
    workers: dict[int, WorkerInfo] = field(default_factory=dict)
    owner: int = 0
    candidate: int = 0
    standby: int = 0
    granted: set[int] = field(default_factory=set)
    leaving: dict[int, float] = field(default_factory=dict)  # and when they are killed
    due: float | None = None  # end of the phase
    last: str = ""  # what became of the last upgrade
    # There was a reload: workers that start read their configuration as it read it.
    reloaded: bool = False
    _commands: list[Command] = field(default_factory=list)
    _last_worker: int = 0
    _grant: int = 0  # number of the newest grant
    _crashes: int = 0  # in a row
    _serves_since: float = 0.0  # the owner
    _anyone_served: bool = False
    _operator_waits: bool = False  # to hear of the upgrade
    _only_checking: bool = False  # the candidate is to prove itself, and no more
    _killed: set[int] = field(default_factory=set)

    # Small steps, each of which may add commands.

    def _enter(self, phase: Phase, due: float | None) -> None:
        """Enter a phase that may last until `due` (None: for as long as it will)."""
        if phase is not self.phase:
            self.phase = phase
            self._log(phase.value)
        # While another worker than the owner may accept, the time for its answer stays.
        other_may_accept = phase is Phase.SERVING and bool(self.granted - {self.owner})
        if due is not None or not other_may_accept:
            self.due = due

    def _start_worker(self, now: float) -> None:
        self._last_worker += 1
        self.candidate = self._last_worker
        self.workers[self.candidate] = WorkerInfo(self.candidate, now)
        self._commands.append(StartWorker(self.candidate))

    def _send(self, number: int, message: Message) -> None:
        if number in self.workers:
            self._commands.append(SendMessage(number, message))

    def _kill(self, number: int) -> None:
        if number in self.workers and number not in self._killed:
            self._killed.add(number)
            self._commands.append(KillWorker(number))

    def _retire(self, now: float, number: int) -> None:
        self.leaving[number] = now + self.limits.retire_s
        self._send(number, Retire())

    def _grant_listener(self, now: float, number: int) -> None:
        """Grant a worker leave to accept; nobody else may still have it."""
        assert not self.granted - {number}, "two would accept"
        self._grant += 1
        self.granted.add(number)
        self._send(number, Own(self._grant))
        self.due = now + self.limits.switch_s

    def _grant_all_descriptors(self) -> None:
        """A worker that serves alone may hold all descriptors."""
        if self.phase is Phase.SERVING and not self.leaving:
            self._send(self.owner, DescriptorLimit(self.limits.descriptors))

    def _end_upgrade(self, why: str) -> None:
        """Tell who waits what became of the upgrade; `why` is empty where it holds."""
        self.last = why
        if self._operator_waits:
            self._operator_waits = False
            self._commands.append(UpgradeEnded(why))

    def _log(self, event: str, worker: int = 0, why: str = "") -> None:
        self._commands.append(LogEvent(event, worker, why))

    def _take_commands(self) -> list[Command]:
        commands, self._commands = self._commands, []
        return commands

    def status(self) -> Iterator[str]:
        """Lines for an operator."""
        yield f"phase {self.phase}" + (f", last upgrade: {self.last}" if self.last else "")
        for number, worker in self.workers.items():
            yield (
                f"worker {number}: {', '.join(self._roles(number)) or 'none'}, {worker.open} open, "
                f"{worker.connections} connections, {worker.memory_mb:.0f} MB"
            )

    def _roles(self, number: int) -> list[str]:
        roles = {
            "serves": number in self.granted,
            "candidate": number == self.candidate,
            "stands by": number == self.standby,
            "leaves": number in self.leaving,
        }
        return [name for name, has_role in roles.items() if has_role]
