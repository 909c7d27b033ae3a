"""Two processes of one gateway with no keeper: who asks, who gives, and who serves when the other fails. No
I/O.

Each process plays the keeper for its own seat (`seat.py`), by what it hears from the other:

    newcomer                                   the one that serves
    Hello  ->                                  one newcomer at a time
                                           <-  Welcome(descriptors) + the listening socket
    reads its configuration, tests its path
    Ready  ->                                  tells its seat Give
    tells its seat Take            <- State(final=False) ..., as in `seat.py`
                                               Prepared: tells its seat Yield
    Held: tells its seat Own, and is found by the next newcomer from then on

Whoever stops hearing the other goes on alone: the one that gave takes the listener again, which it never
closed; the newcomer serves by the listener that it was given, or by one of its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quillroad.config import RESERVED
from quillroad.upgrade.messages import (
    VERSION,
    Give,
    Held,
    Hello,
    Message,
    Own,
    Prepared,
    Ready,
    Room,
    Take,
    Welcome,
    Yield,
    batch_of,
)

SIBLING = 1  # the number by which each knows the other
ANSWER_TIMEOUT_S = (
    1.5  # for the one that serves to answer a newcomer: it answers in one turn of its loop
)
HANDOVER_TIMEOUT_S = 4.0  # from a newcomer's start to its serving, if need be alone: operators want its yes within 6 s
BUSY_TIMEOUT_S = 2.0  # for which a newcomer asks again where another is being served
NEWCOMER_DESCRIPTORS = (
    2 * RESERVED
)  # descriptors that it has from its start on, while it tests its path


class HandoverStage(Enum):
    """Where a process is."""

    LOOKS = "looks"  # for one that serves
    ASKS = "asks"  # was heard by one, and waits for its word
    PREPARES = "prepares"
    TAKES = "takes"
    SERVES = "serves"
    GIVES = "gives"  # serves, and a newcomer is about to
    STANDS_BY = "stands by"  # another serves; takes the listener again if that one fails


class HandoverStep(Enum):
    """What needs no more than a word."""

    PREPARE = "prepare"  # read the configuration, test the path
    OPEN = "open"  # a listener of its own, where none was given
    PUBLISH = "publish"  # be found by newcomers
    CUT = "cut"  # hear nothing more of the other


@dataclass(frozen=True, slots=True)
class SendToSibling:
    """To the other process; with the listening socket where `listener`."""

    message: Message
    listener: bool = False


@dataclass(frozen=True, slots=True)
class TellWorker:
    """To the own seat."""

    message: Message


HandoverCommand = HandoverStep | SendToSibling | TellWorker


@dataclass(slots=True)
class SiblingHandover:
    """`descriptors` are what both processes may hold together, without what the operators' address keeps."""

    descriptors: int
    stage: HandoverStage = HandoverStage.LOOKS
    build: str = ""
    ending: bool = False
    _grant: int = 0

    @property
    def _newcomers(self) -> int:
        return min(NEWCOMER_DESCRIPTORS, self.descriptors // 2)

    def _own(self) -> list[HandoverCommand]:
        self._grant += 1
        self.stage = HandoverStage.SERVES
        return [TellWorker(Own(self._grant)), HandoverStep.PUBLISH]

    # As a newcomer.

    def found(self) -> list[HandoverCommand]:
        """One that serves was reached."""
        self.stage = HandoverStage.ASKS
        return [SendToSibling(Hello(VERSION, self.build))]

    def nobody(self) -> list[HandoverCommand]:
        """None was, or it does not answer in time."""
        self.stage = HandoverStage.PREPARES
        return [HandoverStep.CUT, HandoverStep.PREPARE]

    def prepared(self, linked: bool) -> list[HandoverCommand]:
        """The configuration is read and the path works."""
        if linked:
            self.stage = HandoverStage.TAKES
            return [TellWorker(Take(SIBLING)), SendToSibling(Ready())]
        return self._alone()

    def late(self) -> list[HandoverCommand]:
        """The other did not bring this process to serving in time."""
        return [HandoverStep.CUT, *self._alone()] if self.stage is HandoverStage.TAKES else []

    def _alone(self) -> list[HandoverCommand]:
        return [HandoverStep.OPEN, TellWorker(Room(self.descriptors)), *self._own()]

    # As the one that serves.

    def may_come(self) -> bool:
        """Whether a newcomer is served now; else it asks again, or serves alone."""
        return self.stage is HandoverStage.SERVES and not self.ending

    # Either.

    def heard(self, message: Message) -> list[HandoverCommand]:
        """The other says something that is not for the seat."""
        match message:
            case Hello() if self.may_come():
                if message.version != VERSION:
                    return [HandoverStep.CUT]
                self.stage = HandoverStage.GIVES
                left = self.descriptors - self._newcomers - 2 * batch_of(self.descriptors)
                return [TellWorker(Room(left)), SendToSibling(Welcome(self.descriptors // 2), True)]
            case Ready() if self.stage is HandoverStage.GIVES:
                return [TellWorker(Give(self.descriptors // 2 - self._newcomers, SIBLING))]
            case Welcome() if self.stage is HandoverStage.ASKS:
                self.stage = HandoverStage.PREPARES
                return [HandoverStep.PREPARE]
        return []

    def seat(self, message: Message) -> list[HandoverCommand]:
        """The own seat says something."""
        match message:
            case Prepared() if self.stage is HandoverStage.GIVES:
                self.stage = HandoverStage.STANDS_BY
                self._grant += 1
                return [TellWorker(Yield(self._grant))]
            case Held() if self.stage is HandoverStage.TAKES:
                return self._own()
        return []

    def cut(self) -> list[HandoverCommand]:
        """The other can't be heard any more; the own seat knows."""
        if self.ending:
            return []  # whoever ends takes nothing over
        match self.stage:
            case HandoverStage.ASKS:
                self.stage = (
                    HandoverStage.LOOKS
                )  # it is busy with another newcomer, or has just ended
            case HandoverStage.TAKES:
                return self._alone()
            case HandoverStage.STANDS_BY:
                return [TellWorker(Room(self.descriptors)), *self._own()]
            case HandoverStage.GIVES | HandoverStage.SERVES:
                self.stage = HandoverStage.SERVES
                return [TellWorker(Room(self.descriptors))]
        return []
