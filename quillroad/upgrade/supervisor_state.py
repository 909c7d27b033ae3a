"""The supervisor's state: its workers, the phase of the upgrade, and basic operations. No I/O.

All decisions follow from the phase and two collections: `granted` has the workers that may accept
connections, `retiring` those that finish their requests and exit.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from quillroad.upgrade.canary import Canary
from quillroad.upgrade.messages import (
    DescriptorLimit,
    GrantListener,
    Message,
    Retire,
    migration_batch_size,
)
from quillroad.upgrade.supervisor_commands import (
    Command,
    KillWorker,
    LogEvent,
    SendMessage,
    StartWorker,
    UpgradeEnded,
)


class Phase(StrEnum):
    """Phase of a gateway's supervisor; module `supervisor` explains each."""

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
    """Timeouts and limits. `docs/operators/upgrades.md` says when to change which."""

    start_s: float = 10.0  # until a new worker is ready
    prepare_s: float = 5.0  # for the rehearsal of the hand-over
    switch_s: float = 2.0  # for each step during which no worker accepts
    canary_s: float = 30.0  # duration of the canary phase, during which the standby is kept
    retire_s: float = 10.0  # for a retiring worker to finish
    silence_s: float = 2.0  # without a message, after which the new owner counts as hung
    memory_mb: float = 0.0  # of all workers together; 0: no limit
    descriptors: int = 1024  # of all workers together
    candidate_descriptors: int = 64  # of them, for a worker that does not serve yet
    restart_backoff_s: float = 0.1  # doubles with each crash; the first restart is immediate
    max_restart_backoff_s: float = 5.0
    stable_after_s: float = 10.0  # of service, after which the backoff starts again

    @property
    def owner_descriptors(self) -> int:
        """Descriptor limit of the owner while a candidate runs beside it."""
        return (
            self.descriptors
            - self.candidate_descriptors
            - 2 * migration_batch_size(self.descriptors)
        )


@dataclass(slots=True)
class WorkerInfo:
    """What the supervisor knows of a worker, mostly from its reports."""

    number: int
    last_message_at: float
    welcomed: bool = False
    ready: bool = False
    prepared: bool = False
    has_state: bool = False  # has adopted the owner's final state
    memory_mb: float = 0.0
    open: int = 0
    connections: int = 0
    moved: int = 0


@dataclass(slots=True)
class SupervisorState:
    """State of one gateway's supervisor.

    `owner` is the number of the worker that serves or served last, `candidate` of the one that is
    to take over, `standby` of the previous owner during a canary phase; 0 means none.
    """

    limits: Limits = field(default_factory=Limits)
    canary: Canary = field(default_factory=Canary)
    phase: Phase = Phase.STARTING
    workers: dict[int, WorkerInfo] = field(default_factory=dict)
    owner: int = 0
    candidate: int = 0
    standby: int = 0
    granted: set[int] = field(default_factory=set)
    # Retiring workers, each with the time at which it is killed unless it has exited.
    retiring: dict[int, float] = field(default_factory=dict)
    phase_deadline: float | None = None  # when the current phase times out
    last: str = ""  # why the last upgrade failed; empty after a success
    # A reload has happened: new workers read their configuration as the reload did.
    reloaded: bool = False
    _commands: list[Command] = field(default_factory=list)
    _newest_worker: int = 0
    _newest_grant: int = 0  # number of the newest grant
    _consecutive_crashes: int = 0  # without `Limits.stable_after_s` of service between them
    _serving_since: float = 0.0  # of the owner
    _any_worker_served: bool = False
    _operator_is_waiting: bool = False  # for the result of the upgrade
    _check_only: bool = False  # end the candidate after its self-test
    _killed: set[int] = field(default_factory=set)

    # Basic operations, each of which may add commands.

    def _enter_phase(self, phase: Phase, deadline: float | None) -> None:
        """Enter a phase that times out at `deadline` (None: never)."""
        if phase is not self.phase:
            self.phase = phase
            self._log(phase.value)
        # While a worker other than the owner may accept, the timeout for its answer stays.
        other_may_accept = phase is Phase.SERVING and bool(self.granted - {self.owner})
        if deadline is not None or not other_may_accept:
            self.phase_deadline = deadline

    def _start_worker(self, now: float) -> None:
        self._newest_worker += 1
        self.candidate = self._newest_worker
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
        self.retiring[number] = now + self.limits.retire_s
        self._send(number, Retire())

    def _grant_listener(self, now: float, number: int) -> None:
        """Grant a worker the listener; no other worker may still have it."""
        assert not self.granted - {number}, "two workers would accept connections"
        self._newest_grant += 1
        self.granted.add(number)
        self._send(number, GrantListener(self._newest_grant))
        self.phase_deadline = now + self.limits.switch_s

    def _restore_descriptor_limit(self) -> None:
        """Let the owner hold all descriptors again, if no other worker is left."""
        if self.phase is Phase.SERVING and not self.retiring:
            self._send(self.owner, DescriptorLimit(self.limits.descriptors))

    def _end_upgrade(self, why: str) -> None:
        """Record the result of the upgrade and report it to an operator who waits for it."""
        self.last = why
        if self._operator_is_waiting:
            self._operator_is_waiting = False
            self._commands.append(UpgradeEnded(why))

    def _log(self, event: str, worker: int = 0, why: str = "") -> None:
        self._commands.append(LogEvent(event, worker, why))

    def _take_commands(self) -> list[Command]:
        commands, self._commands = self._commands, []
        return commands

    def status(self) -> Iterator[str]:
        """Yield the lines of the `status` command."""
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
            "leaves": number in self.retiring,
        }
        return [name for name, has_role in roles.items() if has_role]
