"""The states of a connection to a host, and its state transition table. No I/O."""

from __future__ import annotations

from enum import IntEnum


class HostConnectionState(IntEnum):
    """The state of a connection."""

    CONNECTING = 0
    IDLE = 1  # open, no request in flight
    ACTIVE = 2  # an attempt is in flight, its answer is awaited
    STREAMING = 3  # the attempt is over, the rest of its long answer is streamed
    CLOSING = 4  # closed by this side; its descriptor is in use until CLOSED
    CLOSED = 5


class HostConnectionEvent(IntEnum):
    """An event that changes the state of a connection."""

    CONNECTED = 0
    REQUEST_SENT = 1
    ANSWER_COMPLETE = 2
    STREAM_STARTED = 3
    STREAM_ENDED = 4
    DROPPED = 5
    LOST = 6


# Maps each event to the allowed transitions: current state -> next state. Any other combination is
# a bug in this program and raises KeyError, so that a request is never written to a connection that
# is not idle.
#
# A connection carries one request at a time: only an idle connection takes a request, and it is
# idle again when the answer is complete. A long answer is first ACTIVE, then STREAMING until it
# ends. DROPPED (closed by this side) is allowed in each state that has a transport. LOST (reported
# by the event loop) is allowed in every state. CLOSED is final, but two events can still follow it:
# CONNECTED, if a connect was cancelled in the event loop turn in which it succeeded, and
# STREAM_ENDED, because the stream is ended after the loss of its connection.
TRANSITIONS: dict[HostConnectionEvent, dict[HostConnectionState, HostConnectionState]] = {
    HostConnectionEvent.CONNECTED: {
        HostConnectionState.CONNECTING: HostConnectionState.IDLE,
        HostConnectionState.CLOSED: HostConnectionState.CLOSED,
    },
    HostConnectionEvent.REQUEST_SENT: {
        HostConnectionState.IDLE: HostConnectionState.ACTIVE,
    },
    HostConnectionEvent.ANSWER_COMPLETE: {
        HostConnectionState.ACTIVE: HostConnectionState.IDLE,
    },
    HostConnectionEvent.STREAM_STARTED: {
        HostConnectionState.ACTIVE: HostConnectionState.STREAMING,
    },
    HostConnectionEvent.STREAM_ENDED: {
        HostConnectionState.STREAMING: HostConnectionState.IDLE,
        HostConnectionState.CLOSED: HostConnectionState.CLOSED,
    },
    HostConnectionEvent.DROPPED: {
        HostConnectionState.IDLE: HostConnectionState.CLOSING,
        HostConnectionState.ACTIVE: HostConnectionState.CLOSING,
        HostConnectionState.STREAMING: HostConnectionState.CLOSING,
        HostConnectionState.CLOSING: HostConnectionState.CLOSING,
        HostConnectionState.CLOSED: HostConnectionState.CLOSED,
    },
    HostConnectionEvent.LOST: dict.fromkeys(HostConnectionState, HostConnectionState.CLOSED),
}
