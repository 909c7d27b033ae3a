"""The state machine of a worker in an upgrade: its reactions to supervisor and sibling. No I/O.

`on_supervisor_message` handles messages of the supervisor, `on_sibling_message` those of the other
worker, and `link_lost` the loss of the link to the sibling. Each returns the commands to execute,
in order. A worker accepts connections from `GrantListener` to `YieldListener` and at no other time.

A hand-over over the link between two workers; the giver is the one that served so far. Messages in
parentheses come from the supervisor, and "sends" means to the supervisor:

    giver                                   taker
    State(final=False)  ->                  checks it on a copy
                                        <-  StateResult(final=False) both send Prepared
    (YieldListener) stops accepting
    State(final=True), AttemptsInFlight ->  adopts it
                                        <-  StateResult(final=True)  sends StateAdopted
                                            (GrantListener) accepts
                                        <-  ReadyForConnections
    Connections(batch) + descriptors  ->    holds them, reads nothing
                                        <-  BatchReceived(batch)
    Release(batch)  ->                      serves them

A connection between two requests has exactly one reader at any time: the giver does not read from
it after `Connections`, and the taker does not before `Release`. If the link breaks in between, the
giver resumes the connections that it has not released. The taker waits for the report that the
giver has ended, and serves them only then. Rolling back works in the same way from
`AttemptsInFlight` on with the roles exchanged, but without `State`: the process that takes over
again has kept its state.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from quillroad.upgrade.messages import (
    MAX_DESCRIPTORS_PER_MESSAGE,
    AttemptsInFlight,
    BatchReceived,
    Connections,
    DescriptorLimit,
    Ended,
    GrantListener,
    ListenerGranted,
    ListenerYielded,
    Message,
    Prepared,
    PrepareHandover,
    PrepareTakeover,
    RaiseDescriptorLimit,
    ReadyForConnections,
    Release,
    Retire,
    State,
    StateAdopted,
    StateResult,
    YieldListener,
)

MIN_LENT_DESCRIPTORS = 8  # fewer are not worth a message


class LinkRole(Enum):
    """The role of a worker on its link to the sibling."""

    NONE = 0
    GIVER = 1
    TAKER = 2


class Step(Enum):
    """Commands without parameters."""

    ACCEPT = "accept"
    STOP_ACCEPTING = "stop accepting"
    UPDATE_SIBLING = "update sibling"  # report attempts in flight, now and on each change
    # Offer idle connections to the sibling: those idle now and those that become idle.
    MIGRATE = "migrate"
    STOP_MIGRATING = "stop migrating"  # offer no more connections
    # Wait a limited time for the report that the sibling has ended, then call `waited`.
    AWAIT_SIBLING_END = "await sibling end"
    ALONE = "alone"  # there is no sibling: drop what it reported
    FINISH = "finish"  # end once all open requests have been answered


@dataclass(frozen=True, slots=True)
class ToSupervisor:
    """Send a message to the supervisor."""

    message: Message


@dataclass(frozen=True, slots=True)
class ToSibling:
    """Send a message to the sibling."""

    message: Message


@dataclass(frozen=True, slots=True)
class ExportState:
    """Send a `State` to the sibling.

    If `final`, it contains half of the retry budgets, and the sibling then owns slow start.
    """

    final: bool


@dataclass(frozen=True, slots=True)
class AdoptState:
    """Adopt a `State`, or check it on a copy if it is not final; then call `adopted`."""

    state: State


@dataclass(frozen=True, slots=True)
class LearnAttempts:
    """Apply the sibling's report of its attempts in flight and its open requests."""

    attempts: AttemptsInFlight


@dataclass(frozen=True, slots=True)
class LimitDescriptors:
    """Set the limit on descriptors; with `more`, change it by `descriptors`, which may be < 0."""

    descriptors: int
    more: bool


@dataclass(frozen=True, slots=True)
class HoldBatch:
    """Hold the descriptors received with a batch, without reading from them.

    `request_counts` is the number of requests that each connection has carried so far.
    """

    batch: int
    request_counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ServeBatch:
    """Serve the connections held of a batch."""

    batch: int


@dataclass(frozen=True, slots=True)
class DropBatches:
    """Close the descriptors held of all batches: the sibling keeps these connections."""


@dataclass(frozen=True, slots=True)
class ReleaseBatch:
    """Close this process's descriptors of a batch: the sibling has taken it over."""

    batch: int


@dataclass(frozen=True, slots=True)
class TakeBackBatch:
    """Resume serving the connections offered in a batch."""

    batch: int


WorkerCommand = (
    Step
    | ToSupervisor
    | ToSibling
    | ExportState
    | AdoptState
    | LearnAttempts
    | LimitDescriptors
    | HoldBatch
    | ServeBatch
    | DropBatches
    | ReleaseBatch
    | TakeBackBatch
)


@dataclass(slots=True)
class WorkerState:
    """The state of one worker.

    `window` is the maximum number of batches on offer at once, `batch` the maximum number of
    connections in one: each connection on offer uses a descriptor in both processes.
    """

    window: int = 1
    batch: int = MAX_DESCRIPTORS_PER_MESSAGE
    role: LinkRole = LinkRole.NONE
    accepts: bool = False
    yielded: bool = False  # has served, and does not accept any more
    migrating: bool = False  # connections are being offered
    lent: int = 0  # descriptors of this process's limit that the sibling may use
    sibling: int = 0  # the sibling's number
    sibling_has_ended: bool = False  # reported by the supervisor
    offered: dict[int, int] = field(
        default_factory=dict
    )  # batches not yet released, and their sizes
    received: set[int] = field(
        default_factory=set
    )  # batches of the sibling that it has not released
    _next_batch: int = 0

    # Messages of the supervisor.

    def on_supervisor_message(self, message: Message) -> list[WorkerCommand]:
        """Handle a message of the supervisor."""
        match message:
            case PrepareHandover():
                return self._give(message)
            case PrepareTakeover():
                self._link_to(LinkRole.TAKER, message.other)
            case Ended():
                return self._ended(message)
            case YieldListener():
                return self._yield(message.grant)
            case GrantListener():
                return self._own(message.grant)
            case Retire():
                return [*self._stop_accepting(), Step.FINISH]
            case DescriptorLimit():
                return [LimitDescriptors(message.descriptors, False)]
        return []

    def _link_to(self, role: LinkRole, sibling: int) -> None:
        self.role, self.sibling, self.sibling_has_ended = role, sibling, False

    def _give(self, message: PrepareHandover) -> list[WorkerCommand]:
        self._link_to(LinkRole.GIVER, message.other)
        self.lent = message.descriptors
        return [LimitDescriptors(-message.descriptors, True), ExportState(False)]

    def _ended(self, message: Ended) -> list[WorkerCommand]:
        if message.worker != self.sibling:
            return []
        self.sibling_has_ended = True
        return self._own_held_batches() if self.role is LinkRole.NONE else []

    def _stop_accepting(self) -> list[WorkerCommand]:
        if not self.accepts:
            return []
        self.accepts = False
        return [Step.STOP_ACCEPTING]

    def _yield(self, grant: int) -> list[WorkerCommand]:
        commands = self._stop_accepting()
        # Only the giver exports its state, and only once in a hand-over. In a roll-back the taker
        # yields, and the giver, which may have to take over again, has kept its own state.
        if self.role is LinkRole.GIVER and not self.yielded:
            commands.append(ExportState(True))
        self.yielded = True
        if self.role is not LinkRole.NONE:
            commands.append(Step.UPDATE_SIBLING)
        return [*commands, ToSupervisor(ListenerYielded(grant))]

    def _own(self, grant: int) -> list[WorkerCommand]:
        commands: list[WorkerCommand] = []
        if self.migrating:
            self.migrating = False
            commands.append(Step.STOP_MIGRATING)
        if not self.accepts:
            commands.append(Step.ACCEPT)
        self.accepts, self.yielded = True, False
        commands.append(ToSupervisor(ListenerGranted(grant)))
        if self.role is not LinkRole.NONE:
            commands += [Step.UPDATE_SIBLING, ToSibling(ReadyForConnections())]
        return commands

    # Messages of the sibling.

    def on_sibling_message(self, message: Message) -> list[WorkerCommand]:
        """Handle a message of the sibling."""
        match message:
            case State():
                takes = self.role is LinkRole.TAKER and not self.accepts
                return [AdoptState(message)] if takes else []
            case StateResult():
                is_trial = self.role is LinkRole.GIVER and not message.final
                return [ToSupervisor(Prepared(message.left))] if is_trial else []
            case AttemptsInFlight():
                return [LearnAttempts(message)]
            case RaiseDescriptorLimit():
                return [LimitDescriptors(message.descriptors, True)]
            case ReadyForConnections():
                return self._come()
            case Connections():
                self.received.add(message.batch)
                keep = HoldBatch(message.batch, tuple(message.requests_carried))
                return [keep, ToSibling(BatchReceived(message.batch))]
            case BatchReceived():
                return self._batch_received(message)
            case Release():
                return self._released(message)
        return []

    def _come(self) -> list[WorkerCommand]:
        """Start to migrate connections: the sibling accepts now."""
        if not self.yielded:
            return []
        self.migrating = True
        return [Step.MIGRATE]

    def _batch_received(self, message: BatchReceived) -> list[WorkerCommand]:
        """Release a batch that the sibling holds.

        The order of the commands matters: `Release` is sent before the descriptors are closed, so
        that a giver that ends in between leaves no connection closed without a new owner. If the
        link breaks while it is sent, the batch is still on offer and is taken back.
        """
        size = self.offered.get(message.batch)
        if size is None:
            return []
        return [
            ToSibling(Release(message.batch, size)),
            LimitDescriptors(-size, True),
            ReleaseBatch(message.batch),
        ]

    def _released(self, message: Release) -> list[WorkerCommand]:
        if message.batch not in self.received:
            return []
        self.received.discard(message.batch)
        return [LimitDescriptors(message.descriptors, True), ServeBatch(message.batch)]

    # Other events.

    def adopted(self, final: bool, left: list[str]) -> list[WorkerCommand]:
        """Report that a state was adopted, or only checked if not `final`.

        `left` has one line of text for each thing that could not be used.
        """
        result = StateAdopted() if final else Prepared(left)
        return [ToSibling(StateResult(final, left)), ToSupervisor(result)]

    def batch_released(self, batch: int) -> None:
        """Record that a batch was released to the sibling."""
        self.offered.pop(batch, None)

    def link_lost(self) -> list[WorkerCommand]:
        """Handle the loss of the link: it was closed, or the sibling sent malformed data."""
        if self.role is LinkRole.NONE:
            return []
        commands: list[WorkerCommand] = [TakeBackBatch(batch) for batch in self.offered]
        if self.received:
            commands += (
                self._own_held_batches() if self.sibling_has_ended else [Step.AWAIT_SIBLING_END]
            )
        if self.lent:
            commands.append(LimitDescriptors(self.lent, True))
        if self.migrating:
            commands.append(Step.STOP_MIGRATING)
        self.offered.clear()
        self.role, self.lent, self.migrating = LinkRole.NONE, 0, False
        return [*commands, Step.ALONE]

    def lend(self, spare: int) -> list[WorkerCommand]:
        """Lend `spare` descriptors, which this process no longer needs, to the sibling."""
        if not self.yielded or self.role is LinkRole.NONE or spare < MIN_LENT_DESCRIPTORS:
            return []
        self.lent += spare
        return [LimitDescriptors(-spare, True), ToSibling(RaiseDescriptorLimit(spare))]

    def waited(self) -> list[WorkerCommand]:
        """Drop the held batches: no end of the sibling was reported, so it still serves them."""
        if not self.received or self.role is not LinkRole.NONE:
            return []
        self.received.clear()
        return [DropBatches()]

    def _own_held_batches(self) -> list[WorkerCommand]:
        """Serve the batches that the sibling had offered, but not released, when it ended."""
        commands: list[WorkerCommand] = [ServeBatch(batch) for batch in sorted(self.received)]
        self.received.clear()
        return commands

    def offer(self, waiting: int) -> tuple[int, int] | None:
        """Return the number and the size of the next batch; None if none may be offered now.

        `waiting` is the number of connections that are ready to be offered.
        """
        if not self.migrating or not waiting or len(self.offered) >= self.window:
            return None
        batch = self._next_batch
        self._next_batch += 1
        size = min(waiting, self.batch)
        self.offered[batch] = size
        return batch, size
