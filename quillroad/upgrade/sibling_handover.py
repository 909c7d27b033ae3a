"""Hand-over between two processes of one gateway without a supervisor. No I/O.

Each process acts as the supervisor of its own worker state (`worker_state`), according to the
messages of the other process:

    new process                                serving process
    Hello  ->                                  accepts one new process at a time
                                           <-  Welcome(descriptors) + the listening socket
    reads its configuration, runs its self-test
    Ready  ->                                  sends PrepareHandover to its worker state
    sends PrepareTakeover to its worker    <-  State(final=False) ..., as in `worker_state`
    state                                      on Prepared: sends YieldListener to its worker state
    on StateAdopted: sends GrantListener to its worker state, and waits for the next new process

A process that loses the link continues alone: the one that handed over accepts again on its
listener, which it never closed; the new one serves with the listener that it received, or opens
one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quillroad.config import RESERVED
from quillroad.upgrade.messages import (
    VERSION,
    DescriptorLimit,
    GrantListener,
    Hello,
    Message,
    Prepared,
    PrepareHandover,
    PrepareTakeover,
    Ready,
    StateAdopted,
    Welcome,
    YieldListener,
    migration_batch_size,
)

SIBLING = 1  # the worker number that each process uses for the other
# For the answer of the serving process to `Hello`, which takes one iteration of its event loop.
ANSWER_TIMEOUT_S = 1.5
# From the start of a new process until it serves, alone if necessary. Operators expect its health
# check to succeed within 6 s.
HANDOVER_TIMEOUT_S = 4.0
BUSY_TIMEOUT_S = 2.0  # how long a new process retries while the serving one is busy with another
# Of a new process from its start on, while it runs its self-test: twice those that are reserved for
# other uses than connections.
NEWCOMER_DESCRIPTORS = 2 * RESERVED


class HandoverPhase(Enum):
    """The phase of a process in the hand-over."""

    SEARCHING = "looks"  # for a process that serves
    AWAITING_WELCOME = "awaits welcome"  # has sent `Hello` to the serving process
    PREPARING = "prepares"  # reads its configuration and runs its self-test
    TAKING_OVER = "takes"
    SERVING = "serves"
    HANDING_OVER = "gives"  # still serves, and a new process prepares to take over
    STANDING_BY = "stands by"  # has handed over; accepts again if the link is lost


class HandoverStep(Enum):
    """Commands without parameters."""

    PREPARE = "prepare"  # read the configuration, run the self-test
    OPEN_LISTENER = "open"  # if none was received from the sibling
    PUBLISH = "publish"  # listen for new processes at the rendezvous
    CLOSE_LINK = "cut"  # to the sibling


@dataclass(frozen=True, slots=True)
class SendToSibling:
    """Send a message to the sibling; if `listener`, with the listening socket."""

    message: Message
    listener: bool = False


@dataclass(frozen=True, slots=True)
class TellWorker:
    """Pass a message to this process's worker state, as a supervisor would."""

    message: Message


HandoverCommand = HandoverStep | SendToSibling | TellWorker


@dataclass(slots=True)
class SiblingHandover:
    """The state machine of one process in the hand-over.

    `descriptors` is the limit for both processes together, without those that the admin listener
    reserves.
    """

    descriptors: int
    phase: HandoverPhase = HandoverPhase.SEARCHING
    build: str = ""
    ending: bool = False
    _grant: int = 0

    @property
    def _newcomer_limit(self) -> int:
        return min(NEWCOMER_DESCRIPTORS, self.descriptors // 2)

    def _serve(self) -> list[HandoverCommand]:
        self._grant += 1
        self.phase = HandoverPhase.SERVING
        return [TellWorker(GrantListener(self._grant)), HandoverStep.PUBLISH]

    # As the new process.

    def sibling_found(self) -> list[HandoverCommand]:
        """Send `Hello`: the link to a serving process is open."""
        self.phase = HandoverPhase.AWAITING_WELCOME
        return [SendToSibling(Hello(VERSION, self.build))]

    def no_sibling_found(self) -> list[HandoverCommand]:
        """Prepare to serve alone: no serving process was found, or it did not answer in time."""
        self.phase = HandoverPhase.PREPARING
        return [HandoverStep.CLOSE_LINK, HandoverStep.PREPARE]

    def preparation_done(self, linked: bool) -> list[HandoverCommand]:
        """Take over, or serve alone if not `linked`: the gateway of this process is built.

        `linked`: the link to the serving process is open.
        """
        if linked:
            self.phase = HandoverPhase.TAKING_OVER
            return [TellWorker(PrepareTakeover(SIBLING)), SendToSibling(Ready())]
        return self._serve_alone()

    def handover_timed_out(self) -> list[HandoverCommand]:
        """Serve alone if the sibling has not handed over within `HANDOVER_TIMEOUT_S`."""
        if self.phase is not HandoverPhase.TAKING_OVER:
            return []
        return [HandoverStep.CLOSE_LINK, *self._serve_alone()]

    def _serve_alone(self) -> list[HandoverCommand]:
        return [
            HandoverStep.OPEN_LISTENER,
            TellWorker(DescriptorLimit(self.descriptors)),
            *self._serve(),
        ]

    # As the serving process.

    def accepts_newcomer(self) -> bool:
        """Return whether a hand-over may start now; if not, the new process retries for a while."""
        return self.phase is HandoverPhase.SERVING and not self.ending

    def _welcome(self, hello: Hello) -> list[HandoverCommand]:
        if hello.version != VERSION:
            return [HandoverStep.CLOSE_LINK]
        self.phase = HandoverPhase.HANDING_OVER
        left = self.descriptors - self._newcomer_limit - 2 * migration_batch_size(self.descriptors)
        welcome = Welcome(self.descriptors // 2)
        return [TellWorker(DescriptorLimit(left)), SendToSibling(welcome, listener=True)]

    # As either process.

    def on_sibling_message(self, message: Message) -> list[HandoverCommand]:
        """Handle a message of the sibling that is not for the worker state."""
        match message:
            case Hello() if self.accepts_newcomer():
                return self._welcome(message)
            case Ready() if self.phase is HandoverPhase.HANDING_OVER:
                lent = self.descriptors // 2 - self._newcomer_limit
                return [TellWorker(PrepareHandover(lent, SIBLING))]
            case Welcome() if self.phase is HandoverPhase.AWAITING_WELCOME:
                self.phase = HandoverPhase.PREPARING
                return [HandoverStep.PREPARE]
        return []

    def on_worker_message(self, message: Message) -> list[HandoverCommand]:
        """Handle a message of this process's worker state to its supervisor."""
        match message:
            case Prepared() if self.phase is HandoverPhase.HANDING_OVER:
                self.phase = HandoverPhase.STANDING_BY
                self._grant += 1
                return [TellWorker(YieldListener(self._grant))]
            case StateAdopted() if self.phase is HandoverPhase.TAKING_OVER:
                return self._serve()
        return []

    def link_lost(self) -> list[HandoverCommand]:
        """Handle the loss of the link, of which the worker state has been informed already."""
        if self.ending:
            return []  # a process that ends does not take over
        match self.phase:
            case HandoverPhase.AWAITING_WELCOME:
                # The sibling is busy with another new process, or has just ended.
                self.phase = HandoverPhase.SEARCHING
            case HandoverPhase.TAKING_OVER:
                return self._serve_alone()
            case HandoverPhase.STANDING_BY:
                return [TellWorker(DescriptorLimit(self.descriptors)), *self._serve()]
            case HandoverPhase.HANDING_OVER | HandoverPhase.SERVING:
                self.phase = HandoverPhase.SERVING
                return [TellWorker(DescriptorLimit(self.descriptors))]
        return []
