"""Two processes of one gateway without a supervisor: who asks, who gives, who serves. No I/O.

Each process plays the supervisor for its own worker state (`worker_state`), by what it hears from
the other:

    newcomer                                   the one that serves
    Hello  ->                                  one newcomer at a time
                                           <-  Welcome(descriptors) + the listening socket
    reads its configuration, tests its path
    Ready  ->                                  tells its worker Give
    tells its worker Take          <- State(final=False) ..., as in `worker_state`
                                               Prepared: tells its worker Yield
    StateAdopted: tells its worker Own, and is found by the next newcomer from then on

Whoever stops hearing the other goes on alone: the one that gave takes the listener again, which it
never closed; the newcomer serves by the listener that it was given, or by one of its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quillroad.config import RESERVED
from quillroad.upgrade.messages import (
    VERSION,
    DescriptorLimit,
    Give,
    Hello,
    Message,
    Own,
    Prepared,
    Ready,
    StateAdopted,
    Take,
    Welcome,
    Yield,
    batch_of,
)

SIBLING = 1  # the number by which each knows the other
# For the one that serves to answer a newcomer: it answers in one iteration of its event loop.
ANSWER_TIMEOUT_S = 1.5
# From a newcomer's start to its serving, if need be alone: operators want its yes within 6 s.
HANDOVER_TIMEOUT_S = 4.0
BUSY_TIMEOUT_S = 2.0  # for which a newcomer asks again where another is being served
# That a newcomer has from its start on, while it tests its path: twice what is no connection.
NEWCOMER_DESCRIPTORS = 2 * RESERVED


class HandoverPhase(Enum):
    """Where a process is."""

    LOOKS = "looks"  # for one that serves
    AWAITS_WELCOME = "awaits welcome"  # was heard by one, and waits for its answer
    PREPARES = "prepares"
    TAKES = "takes"
    SERVES = "serves"
    GIVES = "gives"  # serves, and a newcomer is about to
    STANDS_BY = "stands by"  # another serves; takes the listener again if that one fails


class HandoverStep(Enum):
    """Commands without parameters."""

    PREPARE = "prepare"  # read the configuration, test the path
    OPEN = "open"  # a listener of its own, where none was given
    PUBLISH = "publish"  # be found by newcomers
    CUT = "cut"  # hear nothing more of the sibling


@dataclass(frozen=True, slots=True)
class SendToSibling:
    """Send a message to the sibling; with the listening socket where `listener`."""

    message: Message
    listener: bool = False


@dataclass(frozen=True, slots=True)
class TellWorker:
    """Give a message to the own worker state, as a supervisor would."""

    message: Message


HandoverCommand = HandoverStep | SendToSibling | TellWorker


@dataclass(slots=True)
class SiblingHandover:
    """One process's view.

    `descriptors` are what both processes may hold together, without what the operators' address
    keeps.
    """

    descriptors: int
    phase: HandoverPhase = HandoverPhase.LOOKS
    build: str = ""
    ending: bool = False
    _grant: int = 0

    @property
    def _for_newcomer(self) -> int:
        return min(NEWCOMER_DESCRIPTORS, self.descriptors // 2)

    def _own(self) -> list[HandoverCommand]:
        self._grant += 1
        self.phase = HandoverPhase.SERVES
        return [TellWorker(Own(self._grant)), HandoverStep.PUBLISH]

    # As a newcomer.

    def found(self) -> list[HandoverCommand]:
        """A process that serves was reached."""
        self.phase = HandoverPhase.AWAITS_WELCOME
        return [SendToSibling(Hello(VERSION, self.build))]

    def nobody(self) -> list[HandoverCommand]:
        """No process that serves was reached, or it does not answer in time."""
        self.phase = HandoverPhase.PREPARES
        return [HandoverStep.CUT, HandoverStep.PREPARE]

    def prepared(self, linked: bool) -> list[HandoverCommand]:
        """The configuration is read and the path works; `linked` to the one that serves."""
        if linked:
            self.phase = HandoverPhase.TAKES
            return [TellWorker(Take(SIBLING)), SendToSibling(Ready())]
        return self._serve_alone()

    def late(self) -> list[HandoverCommand]:
        """The sibling did not bring this process to serving in time."""
        if self.phase is not HandoverPhase.TAKES:
            return []
        return [HandoverStep.CUT, *self._serve_alone()]

    def _serve_alone(self) -> list[HandoverCommand]:
        return [HandoverStep.OPEN, TellWorker(DescriptorLimit(self.descriptors)), *self._own()]

    # As the one that serves.

    def may_come(self) -> bool:
        """Whether a newcomer is served now; else it asks again, or serves alone."""
        return self.phase is HandoverPhase.SERVES and not self.ending

    def _welcome(self, hello: Hello) -> list[HandoverCommand]:
        if hello.version != VERSION:
            return [HandoverStep.CUT]
        self.phase = HandoverPhase.GIVES
        left = self.descriptors - self._for_newcomer - 2 * batch_of(self.descriptors)
        welcome = Welcome(self.descriptors // 2)
        return [TellWorker(DescriptorLimit(left)), SendToSibling(welcome, listener=True)]

    # Either.

    def sibling_said(self, message: Message) -> list[HandoverCommand]:
        """Take a message of the sibling that is not for the worker state."""
        match message:
            case Hello() if self.may_come():
                return self._welcome(message)
            case Ready() if self.phase is HandoverPhase.GIVES:
                lent = self.descriptors // 2 - self._for_newcomer
                return [TellWorker(Give(lent, SIBLING))]
            case Welcome() if self.phase is HandoverPhase.AWAITS_WELCOME:
                self.phase = HandoverPhase.PREPARES
                return [HandoverStep.PREPARE]
        return []

    def worker_said(self, message: Message) -> list[HandoverCommand]:
        """Take a message that the own worker state has for its supervisor."""
        match message:
            case Prepared() if self.phase is HandoverPhase.GIVES:
                self.phase = HandoverPhase.STANDS_BY
                self._grant += 1
                return [TellWorker(Yield(self._grant))]
            case StateAdopted() if self.phase is HandoverPhase.TAKES:
                return self._own()
        return []

    def link_lost(self) -> list[HandoverCommand]:
        """The sibling cannot be heard any more; the own worker state knows."""
        if self.ending:
            return []  # a process that ends takes nothing over
        match self.phase:
            case HandoverPhase.AWAITS_WELCOME:
                # The sibling is busy with another newcomer, or has just ended.
                self.phase = HandoverPhase.LOOKS
            case HandoverPhase.TAKES:
                return self._serve_alone()
            case HandoverPhase.STANDS_BY:
                return [TellWorker(DescriptorLimit(self.descriptors)), *self._own()]
            case HandoverPhase.GIVES | HandoverPhase.SERVES:
                self.phase = HandoverPhase.SERVES
                return [TellWorker(DescriptorLimit(self.descriptors))]
        return []
