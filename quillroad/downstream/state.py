"""State machines of a client connection.

A connection has two independent state machines, as in h11: clients may pipeline requests, so input
and output are not in step.

`ReadState` is the progress of the parser through the client's input:

    BETWEEN --BEGIN---------> HEAD
    HEAD    --HEAD_COMPLETE-> BODY
    BODY    --COMPLETE------> BETWEEN
    any     --END-----------> ENDED    the input cannot be parsed, or the last response was written

`AnswerState` is the progress of the current request and its response:

    IDLE      --QUEUE------> QUEUED     a request waits in the admission queue
    QUEUED    --DISPATCH---> IDLE       the scheduler begins it
    IDLE      --SERVE------> SERVING    the engine has it, or it is answered at once
    SERVING   --FINISH-----> IDLE
    SERVING   --STREAM-----> STREAMING  a long response is passed on as it is received
    STREAMING --FINISH-----> IDLE
    IDLE      --HOLD-------> MIGRATING  another process of this gateway may take it over
    MIGRATING --RELEASE----> IDLE
    any       --DISCONNECT-> CLOSED     the transport is closed

Requests received before the input ended are still answered: ENDED with SERVING is usual.

Conditions that are independent of both state machines are separate attributes:

- `ClientConnection.reading_paused`: reading from the transport is paused, because the backlog of
  parsed requests is full, a request is queued, or the connection is being migrated.
- `ClientConnection.may_have_disconnected`: nothing was read since reading paused, so a disconnect
  of the client may not have been noticed.
- `ClientConnection.output_pending`: response bytes are buffered in this process.
- `ClientConnection._advancing`: `_advance`, or the parsing in `begin`, runs and `_advance` must not
  be entered again.
- `ClientConnection._has_read`: data was read; the first data may have waited in the kernel.
- `RequestParser.continue_sent`: `100 Continue` was sent for the current request.

Both tables raise `TransitionError` for an event that is not allowed in a state.
`tests/downstream/test_state.py` checks every combination.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Generic, TypeVar


class ReadState(IntEnum):
    """Progress of the parser through the client's input."""

    BETWEEN = 0  # no request has begun since the last complete one
    HEAD = 1
    BODY = 2  # the head is complete; a request without body completes with the next callback
    ENDED = 3  # no more requests are parsed


class ReadEvent(IntEnum):
    """Event of the parser, or the end of the input."""

    BEGIN = 0
    HEAD_COMPLETE = 1
    COMPLETE = 2
    END = 3


class AnswerState(IntEnum):
    """Progress of the current request and its response."""

    IDLE = 0  # no request was begun whose answer is due
    QUEUED = 1  # a request waits in the admission queue
    SERVING = 2  # a request was begun, its response is due
    STREAMING = 3  # the head of a long response was written, its body follows
    MIGRATING = 4  # offered to another process of this gateway
    CLOSED = 5  # the transport is closed


class AnswerEvent(IntEnum):
    """Event of a request, its response or the connection."""

    QUEUE = 0
    DISPATCH = 1  # the scheduler begins the queued request
    SERVE = 2
    STREAM = 3
    FINISH = 4
    HOLD = 5
    RELEASE = 6  # the migration was cancelled or completed
    DISCONNECT = 7


class TransitionError(Exception):
    """An event occurred in a state that does not allow it.

    This is a bug in the gateway; no input of a client may cause it.
    """

    def __init__(self, state: IntEnum, event: IntEnum) -> None:
        super().__init__(f"{event.name} in state {state.name}")
        self.state = state
        self.event = event


# A request was received in part.
PARTIAL = frozenset((ReadState.HEAD, ReadState.BODY))
# No request was begun; one may wait in the admission queue.
NOT_BEGUN = frozenset((AnswerState.IDLE, AnswerState.QUEUED))

State = TypeVar("State", bound=IntEnum)
Event = TypeVar("Event", bound=IntEnum)


class Transitions(dict[Event, State], Generic[Event, State]):
    """Allowed events of one state, with the state that each leads to.

    A lookup of another event raises `TransitionError`. A dictionary, so that a transition on the
    path of each request costs one lookup and no call.
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
    # The end of the input and the close after the last response both send END, in either order.
    Transitions(ReadState.ENDED, {ReadEvent.END: ReadState.ENDED}),
)

ANSWER_AFTER: tuple[Transitions[AnswerEvent, AnswerState], ...] = (
    Transitions(
        AnswerState.IDLE,
        {
            AnswerEvent.QUEUE: AnswerState.QUEUED,
            AnswerEvent.SERVE: AnswerState.SERVING,
            # If beginning a request raised an exception, the scheduler answers it with 500.
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
            # The engine and the other process learn of a disconnect with a delay.
            AnswerEvent.FINISH: AnswerState.CLOSED,
            AnswerEvent.RELEASE: AnswerState.CLOSED,
        },
    ),
)
