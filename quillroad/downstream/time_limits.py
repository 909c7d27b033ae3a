"""Time limits for clients: to send a request, to read a response, to stay idle. No I/O."""

from __future__ import annotations

from quillroad.config import SHORT_BODY
from quillroad.downstream.state import ReadState

# Time from the first byte of a request to its last, and from the accept to the first byte: clients
# that send nothing or a partial request must not hold a descriptor for longer.
RECEIVE_S = 2.0
# The same for a head alone if long bodies are allowed: clients may take 2 s for it, plus a margin.
HEAD_S = 2.4
# Lowest rate of a long body, half of what slow clients send.
MIN_BODY_BYTES_PER_S = 32 * 1024
# Time in which a client must read some bytes of its response: unread ones are held in memory.
OUTPUT_STALL_S = 5.0
# Idle timeout between two requests: long, as connections are reused, and the longest idle ones are
# closed when room is needed.
IDLE_S = 60.0
# Idle timeout after the first request: most clients that send one request never send another.
IDLE_AFTER_ONE_REQUEST_S = 2.0
# Time after the last response, for a client that is still sending to read it: a close with unread
# bytes would reset the connection.
LINGER_S = 1.0
# Input discarded during that time at most; with more the connection is closed at once.
MAX_LINGER_BYTES = 1024 * 1024


def receive_limit_s(longest_body: int, state: ReadState, size: int) -> float:
    """Return the seconds that the part of a request received so far may have taken.

    In state BODY, `size` is the number of body bytes received.
    """
    if longest_body == SHORT_BODY:
        return RECEIVE_S
    return HEAD_S if state is ReadState.HEAD else HEAD_S + size / MIN_BODY_BYTES_PER_S


def idle_limit_s(completed: int) -> float:
    """Return the idle timeout in seconds after `completed` requests."""
    if completed == 0:
        return RECEIVE_S
    return IDLE_AFTER_ONE_REQUEST_S if completed == 1 else IDLE_S
