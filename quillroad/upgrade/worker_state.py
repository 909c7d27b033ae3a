"""A worker's part of an upgrade: its answers to the supervisor and to the sibling. No I/O.

`supervisor_said` takes what the supervisor says, `sibling_said` what the other worker says,
`link_lost` that the sibling cannot be heard any more; each returns what is to be done, in order. A
worker accepts from `Own` to `Yield` and at no other time.

A hand-over over the link between two workers, where the giver is the one that served. What a worker
"says" in the table goes to the supervisor:

    giver                                   taker
    State(final=False)  ->                  tries it on a copy
                                        <-  StateResult(final=False) both say Prepared
    (Yield) accepts nothing
    State(final=True), Out  ->              takes it over
                                        <-  StateResult(final=True)  says StateAdopted
                                            (Own) accepts
                                        <-  Come
    Connections(batch) + descriptors  ->    holds them, reads nothing
                                        <-  BatchReceived(batch)
    Release(batch)  ->                      they are its own

A connection between two requests has one reader at every moment: the giver reads nothing from
`Connections` on, and the taker nothing before `Release`. Where the link breaks in between, the
giver goes on with what it has not released, and the taker waits for word of the giver's end: only
then is it the taker's. Going back is the same from `Out` on with the roles changed, without
`State`: the process that takes over again never stopped knowing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from quillroad.upgrade.messages import (
    BATCH,
    AttemptsInFlight,
    BatchReceived,
    Come,
    Connections,
    DescriptorLimit,
    Ended,
    Give,
    Lend,
    Message,
    Own,
    Owning,
    Prepared,
    Release,
    Retire,
    State,
    StateAdopted,
    StateResult,
    Take,
    Yield,
    Yielded,
)

LEAST_LENT = 8  # descriptors for which a message is worthwhile


class LinkRole(Enum):
    """What a worker is on its link to the sibling."""

    NONE = 0
    GIVER = 1
    TAKER = 2


class Step(Enum):
    """Commands without parameters."""

    ACCEPT = "accept"
    STOP_ACCEPTING = "stop accepting"
    UPDATE_SIBLING = "update sibling"  # with what is in flight, now and whenever that changes
    # Offer connections that are between two requests, now and as they get there.
    MIGRATE = "migrate"
    STOP_MIGRATING = "stop migrating"  # offer no more
    # For a while, for word of whether the sibling has ended; then `waited`.
    AWAIT_SIBLING_END = "await sibling end"
    ALONE = "alone"  # no sibling is at work: what it told counts no more
    FINISH = "finish"  # end once all that is open has been answered


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
    """Send a `State`.

    Where `final`, with half of the retry budgets, and leave slow start to the sibling.
    """

    final: bool


@dataclass(frozen=True, slots=True)
class AdoptState:
    """Take a `State` over, or try it on a copy if it is not final; the answer goes to `adopted`."""

    state: State


@dataclass(frozen=True, slots=True)
class LearnAttempts:
    """What the sibling has in flight, and which request ids it has open."""

    out: AttemptsInFlight


@dataclass(frozen=True, slots=True)
class LimitDescriptors:
    """Hold so many descriptors in all, or so many more where `more`."""

    descriptors: int
    more: bool


@dataclass(frozen=True, slots=True)
class KeepBatch:
    """Hold the descriptors that came with a batch.

    `brought` is how many requests each connection has brought so far.
    """

    batch: int
    brought: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class OwnBatch:
    """Serve what is held of a batch."""

    batch: int


@dataclass(frozen=True, slots=True)
class DropBatches:
    """Close the descriptors held of all batches: they are the sibling's."""


@dataclass(frozen=True, slots=True)
class ReleaseBatch:
    """Close this process's descriptors of a batch: they are the sibling's."""

    batch: int


@dataclass(frozen=True, slots=True)
class TakeBackBatch:
    """Serve on what was offered in a batch."""

    batch: int


WorkerCommand = (
    Step
    | ToSupervisor
    | ToSibling
    | ExportState
    | AdoptState
    | LearnAttempts
    | LimitDescriptors
    | KeepBatch
    | OwnBatch
    | DropBatches
    | ReleaseBatch
    | TakeBackBatch
)


@dataclass(slots=True)
class WorkerState:
    """One worker.

    `window` is how many batches may be offered at once, `batch` how many connections one has: each
    costs descriptors of both processes.
    """

    window: int = 1
    batch: int = BATCH
    role: LinkRole = LinkRole.NONE
    accepts: bool = False
    yielded: bool = False  # has served, and accepts nothing now
    migrating: bool = False  # connections are being offered
    lent: int = 0  # descriptors that the sibling may hold of ours
    sibling: int = 0  # the sibling's number
    sibling_has_ended: bool = False  # the sibling's end was seen
    offered: dict[int, int] = field(default_factory=dict)  # batches not released, and their sizes
    received: set[int] = field(default_factory=set)  # batches of the sibling
    _next_batch: int = 0

    # What the supervisor says.

    def supervisor_said(self, message: Message) -> list[WorkerCommand]:
        """Take a message of the supervisor."""
        match message:
            case Give():
                return self._give(message)
            case Take():
                self._link_to(LinkRole.TAKER, message.other)
            case Ended():
                return self._ended(message)
            case Yield():
                return self._yield(message.grant)
            case Own():
                return self._own(message.grant)
            case Retire():
                return [*self._stop_accepting(), Step.FINISH]
            case DescriptorLimit():
                return [LimitDescriptors(message.descriptors, False)]
        return []

    def _link_to(self, role: LinkRole, sibling: int) -> None:
        self.role, self.sibling, self.sibling_has_ended = role, sibling, False

    def _give(self, message: Give) -> list[WorkerCommand]:
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
        # What this process gave before, it may have to take again: only the first giver exports.
        if self.role is LinkRole.GIVER and not self.yielded:
            commands.append(ExportState(True))
        self.yielded = True
        if self.role is not LinkRole.NONE:
            commands.append(Step.UPDATE_SIBLING)
        return [*commands, ToSupervisor(Yielded(grant))]

    def _own(self, grant: int) -> list[WorkerCommand]:
        commands: list[WorkerCommand] = []
        if self.migrating:
            self.migrating = False
            commands.append(Step.STOP_MIGRATING)
        if not self.accepts:
            commands.append(Step.ACCEPT)
        self.accepts, self.yielded = True, False
        commands.append(ToSupervisor(Owning(grant)))
        if self.role is not LinkRole.NONE:
            commands += [Step.UPDATE_SIBLING, ToSibling(Come())]
        return commands

    # What the sibling says.

    def sibling_said(self, message: Message) -> list[WorkerCommand]:
        """Take a message of the sibling."""
        match message:
            case State():
                takes = self.role is LinkRole.TAKER and not self.accepts
                return [AdoptState(message)] if takes else []
            case StateResult():
                is_rehearsed = self.role is LinkRole.GIVER and not message.final
                return [ToSupervisor(Prepared(message.left))] if is_rehearsed else []
            case AttemptsInFlight():
                return [LearnAttempts(message)]
            case Lend():
                return [LimitDescriptors(message.descriptors, True)]
            case Come():
                return self._come()
            case Connections():
                self.received.add(message.batch)
                keep = KeepBatch(message.batch, tuple(message.brought))
                return [keep, ToSibling(BatchReceived(message.batch))]
            case BatchReceived():
                return self._batch_received(message)
            case Release():
                return self._released(message)
        return []

    def _come(self) -> list[WorkerCommand]:
        """The sibling accepts: connections may go there."""
        if not self.yielded:
            return []
        self.migrating = True
        return [Step.MIGRATE]

    def _batch_received(self, message: BatchReceived) -> list[WorkerCommand]:
        """The sibling holds a batch.

        The order counts: a giver that ends in between has not closed what nobody owns yet. A giver
        whose link breaks at the first command still offers the batch, and takes it back.
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
        return [LimitDescriptors(message.descriptors, True), OwnBatch(message.batch)]

    # What else happens.

    def adopted(self, final: bool, left: list[str]) -> list[WorkerCommand]:
        """Note that a state was taken over, or tried where not `final`.

        `left` are plain lines for what could not be used.
        """
        result = StateAdopted() if final else Prepared(left)
        return [ToSibling(StateResult(final, left)), ToSupervisor(result)]

    def batch_released(self, batch: int) -> None:
        """Note that a batch was released and is closed here."""
        self.offered.pop(batch, None)

    def link_lost(self) -> list[WorkerCommand]:
        """The sibling cannot be heard any more, or makes no sense."""
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
        """Leave descriptors that this process has no use for any more to the sibling."""
        if not self.yielded or self.role is LinkRole.NONE or spare < LEAST_LENT:
            return []
        self.lent += spare
        return [LimitDescriptors(-spare, True), ToSibling(Lend(spare))]

    def waited(self) -> list[WorkerCommand]:
        """The sibling was not heard to end, so it goes on with what was held here."""
        if not self.received or self.role is not LinkRole.NONE:
            return []
        self.received.clear()
        return [DropBatches()]

    def _own_held_batches(self) -> list[WorkerCommand]:
        """What a dead process had offered and not released is nobody else's."""
        commands: list[WorkerCommand] = [OwnBatch(batch) for batch in sorted(self.received)]
        self.received.clear()
        return commands

    def offer(self, waiting: int) -> tuple[int, int] | None:
        """The next batch and how many connections go into it; None: not now.

        `waiting` connections are ready to be offered.
        """
        if not self.migrating or not waiting or len(self.offered) >= self.window:
            return None
        batch = self._next_batch
        self._next_batch += 1
        size = min(waiting, self.batch)
        self.offered[batch] = size
        return batch, size
