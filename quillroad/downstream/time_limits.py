"""How long a client may take: to send a request, to read an answer, to say nothing. No I/O."""

from __future__ import annotations

from quillroad.config import SHORT_BODY
from quillroad.downstream.state import ReadState

# For a request to come in whole from its first byte, and for a first one to begin at all: a
# descriptor is not held by clients that say nothing, or half of something.
RECEIVE_S = 2.0
# In place of it for a head where bodies may be long: clients may take 2 s for one, and a margin.
HEAD_S = 2.4
# Bytes of a long body a second at the least, half of what slow clients send.
BODY_BYTES_PER_S = 32 * 1024
# For a client to take some bytes of its answer: those unread are held in memory.
UNREAD_S = 5.0
# A connection between two requests is worth keeping; the longest idle make room when it is needed.
IDLE_S = 60.0
# For one that has asked once only: most such clients never come back.
IDLE_ONCE_S = 2.0
# After an error, for a client that is still sending to read why: a close on unread bytes would
# reset it.
LINGER_S = 1.0
# Of what such a client sends, thrown away at the most.
LINGER_BYTES = 1024 * 1024


def receive_limit_s(longest_body: int, state: ReadState, size: int) -> float:
    """Seconds for what has come of a request to have come.

    `size` bytes of its body where that has begun.
    """
    if longest_body == SHORT_BODY:
        return RECEIVE_S
    return HEAD_S if state is ReadState.HEAD else HEAD_S + size / BODY_BYTES_PER_S


def idle_limit_s(completed: int) -> float:
    """Seconds that a connection may be between two requests, after so many."""
    if completed == 0:
        return RECEIVE_S
    return IDLE_ONCE_S if completed == 1 else IDLE_S
