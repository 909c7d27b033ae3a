"""Commands by which the supervisor's state machine drives `SupervisorProcess`. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from quillroad.upgrade.messages import Message, PrepareHandover


@dataclass(frozen=True, slots=True)
class StartWorker:
    """Start a process as the worker with this number."""

    worker: int


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a worker."""

    worker: int
    message: Message


@dataclass(frozen=True, slots=True)
class ConnectWorkers:
    """Connect two workers by a socket pair.

    `PrepareHandover` is sent to the giver and `PrepareTakeover` to the taker, each with its end of
    the pair.
    """

    giver: int
    taker: int
    message: PrepareHandover


@dataclass(frozen=True, slots=True)
class StopWorker:
    """Ask a worker to drain and exit (SIGTERM)."""

    worker: int


@dataclass(frozen=True, slots=True)
class KillWorker:
    """Kill a worker at once (SIGKILL)."""

    worker: int


@dataclass(frozen=True, slots=True)
class CloseListener:
    """Close the supervisor's own copy of the listening socket."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a line to the log; `why` is the reason of a failure."""

    event: str
    worker: int = 0
    why: str = ""


@dataclass(frozen=True, slots=True)
class UpgradeEnded:
    """Report the result of the upgrade to the operator; `why` is empty if it succeeded."""

    why: str


@dataclass(frozen=True, slots=True)
class ExitSupervisor:
    """Exit the supervisor with this status."""

    status: int


Command = (
    StartWorker
    | SendMessage
    | ConnectWorkers
    | StopWorker
    | KillWorker
    | CloseListener
    | LogEvent
    | UpgradeEnded
    | ExitSupervisor
)
