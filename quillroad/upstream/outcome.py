"""Maps each end of an attempt to its `Outcome`, and to whether the host may have run the request.

This is the only module that classifies a 503 of a host, a reset, a timeout or an invalid answer.
No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from quillroad.balancing.events import Outcome

STATUS_OK = 200
REJECTION_STATUSES = (503, 504)
# With `Not-Started: 1` a host promises that it did not execute the request.
NOT_STARTED_HEADER = b"not-started"


class AttemptEnd(Enum):
    """How an attempt ended, as observed from the socket and the timers."""

    ANSWER_200 = "a complete, readable answer of status 200, or the first bytes of a long one"
    ANSWER_NOT_STARTED = "status 503 or 504 with `Not-Started: 1`"
    ANSWER_OTHER = "any other status, also 503 and 504 without that header"
    ANSWER_UNREADABLE = "an answer that is not valid HTTP, too long, or not completed in time"
    LOST_BEFORE_LAST_BYTE = "the connection closed while a part of the request was still unsent"
    LOST_AFTER_LAST_BYTE = "the connection closed after the kernel had taken the whole request"
    TIMED_OUT_CONNECTING = "the attempt timed out while the connection was being established"
    TIMED_OUT = "the attempt timed out after the connection had been established"
    CANCELLED_CONNECTING = "cancelled while the connection was being established"
    CANCELLED = "cancelled after the connection had been established"
    CONNECT_FAILED = "the host refused the connection or did not accept it in time"
    CONNECT_TIMEOUT_IN_STALL = "the connect timed out, but this process itself was late"
    WITHDRAWN = "withdrawn unsent: the host or client left, or no descriptor was free"
    CONNECTED_TOO_LATE = "the connection was established too late to send the request"


class AttemptResult(NamedTuple):
    """What an end of an attempt means to the balancer."""

    outcome: Outcome
    may_have_run: bool  # a retry could then execute the request twice


# Only two facts prove that a host did not execute a request: the host sent `Not-Started: 1`, or it
# never received the last byte of the request. A 503 without that header may come from a proxy
# behind which the request is still running, so it counts as an error that may have run. So does any
# other end after the last byte was sent. An unreadable answer is an error of the host, not a lost
# connection, because the host did answer.
#
# A connect that is cancelled says nothing about the host (NOT_SENT). A connect that times out does
# (CONNECT_FAILED), unless this process was late in the meantime and could not have seen that the
# connection was established.
ATTEMPT_RESULTS: dict[AttemptEnd, AttemptResult] = {
    AttemptEnd.ANSWER_200: AttemptResult(Outcome.SUCCESS, may_have_run=True),
    AttemptEnd.ANSWER_NOT_STARTED: AttemptResult(Outcome.REJECTED, may_have_run=False),
    AttemptEnd.ANSWER_OTHER: AttemptResult(Outcome.ERROR, may_have_run=True),
    AttemptEnd.ANSWER_UNREADABLE: AttemptResult(Outcome.ERROR, may_have_run=True),
    AttemptEnd.LOST_BEFORE_LAST_BYTE: AttemptResult(Outcome.CONNECT_FAILED, may_have_run=False),
    AttemptEnd.LOST_AFTER_LAST_BYTE: AttemptResult(Outcome.RESET, may_have_run=True),
    AttemptEnd.TIMED_OUT_CONNECTING: AttemptResult(Outcome.CONNECT_FAILED, may_have_run=False),
    AttemptEnd.TIMED_OUT: AttemptResult(Outcome.TIMEOUT, may_have_run=True),
    AttemptEnd.CANCELLED_CONNECTING: AttemptResult(Outcome.NOT_SENT, may_have_run=False),
    AttemptEnd.CANCELLED: AttemptResult(Outcome.CANCELLED, may_have_run=True),
    AttemptEnd.CONNECT_FAILED: AttemptResult(Outcome.CONNECT_FAILED, may_have_run=False),
    AttemptEnd.CONNECT_TIMEOUT_IN_STALL: AttemptResult(Outcome.NOT_SENT, may_have_run=False),
    AttemptEnd.WITHDRAWN: AttemptResult(Outcome.NOT_SENT, may_have_run=False),
    AttemptEnd.CONNECTED_TOO_LATE: AttemptResult(Outcome.NOT_SENT, may_have_run=False),
}


_SERVED = ATTEMPT_RESULTS[AttemptEnd.ANSWER_200].outcome
_REJECTED = ATTEMPT_RESULTS[AttemptEnd.ANSWER_NOT_STARTED].outcome
_FAILED = ATTEMPT_RESULTS[AttemptEnd.ANSWER_OTHER].outcome


def outcome_of_answer(status: int, headers: Mapping[bytes, bytes]) -> Outcome:
    """Return the outcome of a complete, valid answer; names in `headers` are in lower case."""
    if status == STATUS_OK:
        return _SERVED
    if status in REJECTION_STATUSES and headers.get(NOT_STARTED_HEADER) == b"1":
        return _REJECTED
    return _FAILED
