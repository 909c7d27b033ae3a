"""What the supervisor's decisions ask of the process that carries them out, in order. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from quillroad.upgrade.messages import Give, Message


@dataclass(frozen=True, slots=True)
class StartWorker:
    """Start a process as this worker."""

    worker: int


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a worker."""

    worker: int
    message: Message


@dataclass(frozen=True, slots=True)
class ConnectWorkers:
    """Connect two workers by a pair of sockets.

    `Give` goes to the first and `Take` to the second, each with its end of the pair.
    """

    giver: int
    taker: int
    message: Give


@dataclass(frozen=True, slots=True)
class StopWorker:
    """Ask a process to drain and end (SIGTERM)."""

    worker: int


@dataclass(frozen=True, slots=True)
class KillWorker:
    """End a process at once (SIGKILL)."""

    worker: int


@dataclass(frozen=True, slots=True)
class CloseListener:
    """Close the supervisor's own copy of the listening socket."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line for the log; `why` for what failed."""

    event: str
    worker: int = 0
    why: str = ""


@dataclass(frozen=True, slots=True)
class UpgradeEnded:
    """What became of the upgrade that an operator asked for: `why` is empty where it holds."""

    why: str


@dataclass(frozen=True, slots=True)
class ExitSupervisor:
    """End the supervisor with this exit status."""

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
