"""What a connection to a host can be doing, and the table of its transitions. No I/O."""

from __future__ import annotations

from enum import IntEnum


class HostConnectionState(IntEnum):
    """What a connection is doing."""

    CONNECTING = 0
    IDLE = 1  # open, carries no request
    ACTIVE = 2  # carries an attempt whose answer is awaited
    STREAMING = 3  # the attempt is over; the rest of its long answer passes through
    CLOSING = 4  # given up by this side; its descriptor is in use until it is CLOSED
    CLOSED = 5


class HostConnectionEvent(IntEnum):
    """What can happen to a connection."""

    CONNECTED = 0
    REQUEST_SENT = 1
    ANSWER_COMPLETE = 2
    STREAM_STARTED = 3
    STREAM_ENDED = 4
    DROPPED = 5
    LOST = 6


# By event, the state that follows each state in which the event is allowed; any other is an error
# in this program and raises KeyError, so that no request is ever written to a connection that is
# not idle.
#
# A connection carries one request at a time: only an idle one takes a request, and it is idle again
# when the answer is complete. A long answer is first ACTIVE, then STREAMING until its end. DROPPED,
# by this side, is allowed in each state in which there is a transport, and LOST, told by the event
# loop, in all. CLOSED is final; the event loop may still tell CONNECTED then (a connect that was
# cancelled in the turn in which it came up), and the end of a stream is told after the loss that
# ended it.
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
