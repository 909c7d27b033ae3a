"""A worker's part of an upgrade: what it answers to the keeper and to the other worker, and when it accepts.
No I/O.

`told` takes what the keeper says, `heard` what the other worker says, `cut` that the other worker can't be
heard any more; each returns what is to be done, in order. A worker accepts from `Own` to `Yield` and at no
other time.

A hand-over over the link between two workers, where the giver is the one that served:

    giver                                   taker
    State(final=False)  ->                  tries it on a copy
                                        <-  Taken(final=False)       both say Prepared to the keeper
    (Yield) accepts nothing
    State(final=True), Out  ->              takes it over
                                        <-  Taken(final=True)        says Held to the keeper
                                            (Own) accepts
                                        <-  Come
    Connections(batch) + descriptors  ->    holds them, reads nothing
                                        <-  Kept(batch)
    Release(batch)  ->                      they are its own

A connection between two requests has one reader at every moment: the giver reads nothing from `Connections`
on, and the taker nothing before `Release`. Where the link breaks in between, the giver goes on with what it
has not released, and the taker waits for word of the giver's end: only then is it the taker's.
Going back is the same from `Out` on with the parts changed, without `State`: who takes
over again never stopped knowing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from quillroad.upgrade.messages import (
    BATCH,
    Come,
    Connections,
    Ended,
    Give,
    Held,
    Kept,
    Lend,
    Message,
    Out,
    Own,
    Owning,
    Prepared,
    Release,
    Retire,
    Room,
    State,
    Take,
    Taken,
    Yield,
    Yielded,
)

LEAST_LENT = 8  # descriptors for which a message is worth while


class Part(Enum):
    """What a worker is on its link."""

    NONE = 0
    GIVER = 1
    TAKER = 2


class Do(Enum):
    """What needs no more than a word."""

    ACCEPT = "accept"
    PAUSE = "pause"  # accept nothing
    SHARE = "share"  # tell the other what is out, now and whenever that changes
    MOVE = "move"  # offer connections that are between two requests, now and as they get there
    STAY = "stay"  # offer no more
    WAIT = "wait"  # for a while, for word of whether the other worker has ended; then `waited`
    ALONE = "alone"  # nobody else is at work: what was told of another counts no more
    FINISH = "finish"  # end once all that is open has been answered


@dataclass(frozen=True, slots=True)
class ToKeeper:
    message: Message


@dataclass(frozen=True, slots=True)
class ToOther:
    message: Message


@dataclass(frozen=True, slots=True)
class Export:
    """Send a `State`; where `final`, with half of the budgets, and leave cold hosts to the other."""

    final: bool


@dataclass(frozen=True, slots=True)
class Adopt:
    """Take a `State` over, or on a copy where it is not final; the answer goes to `adopted`."""

    state: State


@dataclass(frozen=True, slots=True)
class Learn:
    """What the other has out, and which ids it has open."""

    out: Out


@dataclass(frozen=True, slots=True)
class Limit:
    """Hold so many descriptors in all, or so many more where `more`."""

    descriptors: int
    more: bool


@dataclass(frozen=True, slots=True)
class Keep:
    """Hold the descriptors that came with a batch."""

    batch: int
    brought: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Own_:
    """Serve what is held of a batch."""

    batch: int


@dataclass(frozen=True, slots=True)
class Drop:
    """Close the descriptors held of all batches: they are the other's."""


@dataclass(frozen=True, slots=True)
class Gone:
    """Close this process's descriptors of a batch: they are the other's."""

    batch: int


@dataclass(frozen=True, slots=True)
class Back:
    """Serve on what was offered in a batch."""

    batch: int


Act = Do | ToKeeper | ToOther | Export | Adopt | Learn | Limit | Keep | Own_ | Drop | Gone | Back


@dataclass(slots=True)
class Seat:
    """One worker. `window` is how many batches may be offered at once, `batch` how many connections one has:
    each costs descriptors of both."""

    window: int = 1
    batch: int = BATCH
    part: Part = Part.NONE
    accepts: bool = False
    yielded: bool = False  # has served, and accepts nothing now
    moving: bool = False
    lent: int = 0  # descriptors that the other may hold of ours
    other: int = 0  # the other worker's number
    dead: bool = False  # its end was seen
    offered: dict[int, int] = field(
        default_factory=dict
    )  # batches not released yet, and their sizes
    held: set[int] = field(default_factory=set)
    _next: int = 0

    def told(self, message: Message) -> list[Act]:
        """The keeper says something."""
        match message:
            case Give():
                self.part, self.lent = Part.GIVER, message.descriptors
                self.other, self.dead = message.other, False
                return [Limit(-message.descriptors, True), Export(False)]
            case Take():
                self.part, self.other, self.dead = Part.TAKER, message.other, False
                return []
            case Ended():
                if message.worker == self.other:
                    self.dead = True
                    return self._left() if self.part is Part.NONE else []
            case Yield():
                return self._yield(message.grant)
            case Own():
                return self._own(message.grant)
            case Retire():
                acts: list[Act] = [Do.PAUSE] if self.accepts else []
                self.accepts = False
                return [*acts, Do.FINISH]
            case Room():
                return [Limit(message.descriptors, False)]
        return []

    def heard(self, message: Message) -> list[Act]:
        """The other worker says something."""
        match message:
            case State():
                return [Adopt(message)] if self.part is Part.TAKER and not self.accepts else []
            case Taken():
                if self.part is Part.GIVER and not message.final:
                    return [ToKeeper(Prepared(message.left))]
            case Out():
                return [Learn(message)]
            case Lend():
                return [Limit(message.descriptors, True)]
            case Come():
                if self.yielded:
                    self.moving = True
                    return [Do.MOVE]
            case Connections():
                self.held.add(message.batch)
                return [Keep(message.batch, tuple(message.brought)), ToOther(Kept(message.batch))]
            case Kept():
                if (size := self.offered.get(message.batch)) is not None:
                    # In this order: a giver that ends in between has not closed what nobody owns yet. One
                    # whose link is cut by the first act still offers the batch, and takes it back.
                    return [
                        ToOther(Release(message.batch, size)),
                        Limit(-size, True),
                        Gone(message.batch),
                    ]
            case Release():
                if message.batch in self.held:
                    self.held.discard(message.batch)
                    return [Limit(message.descriptors, True), Own_(message.batch)]
        return []

    def adopted(self, final: bool, left: list[str]) -> list[Act]:
        """A state was taken over, or tried where not `final`."""
        answer: list[Act] = [ToOther(Taken(final, left))]
        return [*answer, ToKeeper(Held() if final else Prepared(left))]

    def gone(self, batch: int) -> None:
        """A batch was released and is closed here."""
        self.offered.pop(batch, None)

    def cut(self) -> list[Act]:
        """The other worker is gone, or makes no sense any more."""
        if self.part is Part.NONE:
            return []
        acts: list[Act] = [Back(batch) for batch in self.offered]
        if self.held:
            acts += self._left() if self.dead else [Do.WAIT]
        if self.lent:
            acts.append(Limit(self.lent, True))
        if self.moving:
            acts.append(Do.STAY)
        self.offered.clear()
        self.part, self.lent, self.moving = Part.NONE, 0, False
        return [*acts, Do.ALONE]

    def lend(self, spare: int) -> list[Act]:
        """Leave descriptors that this process has no use for any more to the other."""
        if not self.yielded or self.part is Part.NONE or spare < LEAST_LENT:
            return []
        self.lent += spare
        return [Limit(-spare, True), ToOther(Lend(spare))]

    def waited(self) -> list[Act]:
        """The other worker was not heard to end, so it goes on with what was held here."""
        if not self.held or self.part is not Part.NONE:
            return []
        self.held.clear()
        return [Drop()]

    def _left(self) -> list[Act]:
        """What a dead process had offered and not released is nobody else's."""
        acts: list[Act] = [Own_(batch) for batch in sorted(self.held)]
        self.held.clear()
        return acts

    def offer(self, waiting: int) -> tuple[int, int] | None:
        """The next batch and how many connections go into it, with so many `waiting`; None: not now."""
        if not self.moving or not waiting or len(self.offered) >= self.window:
            return None
        batch, self._next = self._next, self._next + 1
        size = min(waiting, self.batch)
        self.offered[batch] = size
        return batch, size

    def _yield(self, grant: int) -> list[Act]:
        acts: list[Act] = [Do.PAUSE] if self.accepts else []
        # What this process gave before, it may have to take again: only the first giver tells what it knows.
        if self.part is Part.GIVER and not self.yielded:
            acts.append(Export(True))
        self.accepts, self.yielded = False, True
        if self.part is not Part.NONE:
            acts.append(Do.SHARE)
        return [*acts, ToKeeper(Yielded(grant))]

    def _own(self, grant: int) -> list[Act]:
        acts: list[Act] = []
        if self.moving:
            self.moving = False
            acts.append(Do.STAY)
        if not self.accepts:
            acts.append(Do.ACCEPT)
        self.accepts, self.yielded = True, False
        acts.append(ToKeeper(Owning(grant)))
        if self.part is not Part.NONE:
            acts += [Do.SHARE, ToOther(Come())]
        return acts
