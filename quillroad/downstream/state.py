"""The states of one client connection, and which event leads from which to which.

A connection has two machines that run side by side, as in h11: clients may send requests ahead, so
what comes in is not in step with what goes out.

`ReadState` is how far the parser has come with what the client sends:

    BETWEEN --BEGIN---------> HEAD
    HEAD    --HEAD_COMPLETE-> BODY
    BODY    --COMPLETE------> BETWEEN
    any     --END-----------> ENDED    nothing more can be read, or the last answer is out

`AnswerState` is what the connection owes its client:

    IDLE      --QUEUE------> QUEUED     a request waits for the gateway's core
    QUEUED    --DISPATCH---> IDLE       the core has time for it
    IDLE      --SERVE------> SERVING    it is with the engine, or is answered at once
    SERVING   --FINISH-----> IDLE
    SERVING   --STREAM-----> STREAMING  a long answer goes on as it comes
    STREAMING --FINISH-----> IDLE
    IDLE      --HOLD-------> MIGRATING  another process of this gateway may take it over
    MIGRATING --RELEASE----> IDLE
    any       --DISCONNECT-> CLOSED     its transport is gone

A connection whose input has ended still owes the answers to what came before: ENDED with SERVING is
usual.

Beside the two machines there are conditions that are true or not in any of these states, and
therefore are attributes of their own:

- `ClientConnection.reading_paused`: the transport reads nothing, as more was read than may be
  parsed now.
- `ClientConnection.may_have_disconnected`: nothing was read since reading paused, not even that the
  client has closed.
- `ClientConnection.output_pending`: bytes of an answer have not left this process.
- `ClientConnection._advancing`: the step to the next request runs and must not be entered again.
- `ClientConnection._read_before`: some bytes have come; before that the kernel may have held them.
- `RequestParser.continue_sent`: the client that asked whether to send its body was told so.

Both tables raise `TransitionError` for an event that does not belong to a state.
`tests/downstream/test_state.py` walks them whole.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Generic, TypeVar


class ReadState(IntEnum):
    """How far the client's bytes are parsed."""

    BETWEEN = 0  # behind the last whole request; nothing of another has come
    HEAD = 1
    BODY = 2  # the head is whole; the request may be, too, with the parser's next callback
    ENDED = 3  # nothing more is taken as a request


class ReadEvent(IntEnum):
    """What the parser finds, or the connection decides, about the input."""

    BEGIN = 0
    HEAD_COMPLETE = 1
    COMPLETE = 2
    END = 3


class AnswerState(IntEnum):
    """What the connection owes its client."""

    IDLE = 0  # no answer to a request that was begun
    QUEUED = 1  # a request waits for the gateway's core
    SERVING = 2  # a request was begun and is owed its answer
    STREAMING = 3  # the head of a long answer is out, its rest follows
    MIGRATING = 4  # held for another process of this gateway, which may take the connection over
    CLOSED = 5  # the transport is gone


class AnswerEvent(IntEnum):
    """What happens to a request and its answer."""

    QUEUE = 0
    DISPATCH = 1  # the core has time for what was queued
    SERVE = 2
    STREAM = 3
    FINISH = 4
    HOLD = 5
    RELEASE = 6  # the connection stays here after all, or is another process's now
    DISCONNECT = 7


class TransitionError(Exception):
    """An event came in a state that it does not belong to.

    A fault of the gateway, never of a client.
    """

    def __init__(self, state: IntEnum, event: IntEnum) -> None:
        super().__init__(f"{event.name} in state {state.name}")
        self.state = state
        self.event = event


# Part of a request has come, and not all of it.
PARTIAL = frozenset((ReadState.HEAD, ReadState.BODY))
# No request was begun; one may wait for the core.
NOT_BEGUN = frozenset((AnswerState.IDLE, AnswerState.QUEUED))

State = TypeVar("State", bound=IntEnum)
Event = TypeVar("Event", bound=IntEnum)


class Transitions(dict[Event, State], Generic[Event, State]):
    """The events allowed in one state, with the state that each leads to.

    Others raise `TransitionError`.

    A dictionary, so that a step on the path of each request is one lookup and no call.
    """

    def __init__(self, state: State, following: dict[Event, State]) -> None:
        super().__init__(following)
        self.state = state

    def __missing__(self, event: Event) -> State:
        raise TransitionError(self.state, event)


READ_AFTER: tuple[Transitions[ReadEvent, ReadState], ...] = (
    Transitions(
        ReadState.BETWEEN,
        {ReadEvent.BEGIN: ReadState.HEAD, ReadEvent.END: ReadState.ENDED},
    ),
    Transitions(
        ReadState.HEAD,
        {ReadEvent.HEAD_COMPLETE: ReadState.BODY, ReadEvent.END: ReadState.ENDED},
    ),
    Transitions(
        ReadState.BODY,
        {ReadEvent.COMPLETE: ReadState.BETWEEN, ReadEvent.END: ReadState.ENDED},
    ),
    # The end of the input and the close after the last answer both come, in either order.
    Transitions(ReadState.ENDED, {ReadEvent.END: ReadState.ENDED}),
)

ANSWER_AFTER: tuple[Transitions[AnswerEvent, AnswerState], ...] = (
    Transitions(
        AnswerState.IDLE,
        {
            AnswerEvent.QUEUE: AnswerState.QUEUED,
            AnswerEvent.SERVE: AnswerState.SERVING,
            # A request whose beginning raised is answered with 500 by whoever called for it.
            AnswerEvent.FINISH: AnswerState.IDLE,
            AnswerEvent.HOLD: AnswerState.MIGRATING,
            AnswerEvent.DISCONNECT: AnswerState.CLOSED,
        },
    ),
    Transitions(
        AnswerState.QUEUED,
        {
            AnswerEvent.DISPATCH: AnswerState.IDLE,
            AnswerEvent.DISCONNECT: AnswerState.CLOSED,
        },
    ),
    Transitions(
        AnswerState.SERVING,
        {
            AnswerEvent.STREAM: AnswerState.STREAMING,
            AnswerEvent.FINISH: AnswerState.IDLE,
            AnswerEvent.DISCONNECT: AnswerState.CLOSED,
        },
    ),
    Transitions(
        AnswerState.STREAMING,
        {
            AnswerEvent.FINISH: AnswerState.IDLE,
            AnswerEvent.DISCONNECT: AnswerState.CLOSED,
        },
    ),
    Transitions(
        AnswerState.MIGRATING,
        {
            AnswerEvent.RELEASE: AnswerState.IDLE,
            AnswerEvent.DISCONNECT: AnswerState.CLOSED,
        },
    ),
    Transitions(
        AnswerState.CLOSED,
        {
            # The engine and the other process hear of the departure a little later than it happens.
            AnswerEvent.FINISH: AnswerState.CLOSED,
            AnswerEvent.RELEASE: AnswerState.CLOSED,
        },
    ),
)
