"""What the end of an attempt means: its `Outcome`, and whether the host may have run the request.

This is the one place that says what a host's 503, a reset, a timeout or an unreadable answer counts
as. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from quillroad.balancing.events import Outcome

STATUS_OK = 200
REJECTING_STATUSES = (503, 504)
# `Not-Started: 1` is the host's promise that it did not run the request.
NOT_STARTED_HEADER = b"not-started"


class AttemptEnd(Enum):
    """How an attempt can end, as the socket and the timers show it."""

    ANSWER_200 = "a complete, readable answer of status 200, or the first bytes of a long one"
    ANSWER_NOT_STARTED = "status 503 or 504 with `Not-Started: 1`"
    ANSWER_OTHER = "any other status, also 503 and 504 without that header"
    ANSWER_UNREADABLE = "an answer that is no HTTP, too long, or stalls half-way"
    LOST_BEFORE_LAST_BYTE = "the connection ended with a part of the request still in this process"
    LOST_AFTER_LAST_BYTE = "the connection ended after the kernel had taken the whole request"
    TIMED_OUT_CONNECTING = "the attempt's time was over while the connection was coming up"
    TIMED_OUT = "the attempt's time was over after the request had been sent"
    CANCELLED_CONNECTING = "called off while the connection was coming up"
    CANCELLED = "called off after the request had been sent"
    CONNECT_FAILED = "the host refused the connection or did not accept it in time"
    CONNECT_UNCLEAR = "no connection in time, in a process that had itself stood still"
    WITHDRAWN = "called off unsent: the host or the client has gone, or no descriptor is free"
    CONNECTED_TOO_LATE = "the connection came up after the last moment at which bytes might go out"


class AttemptResult(NamedTuple):
    """What an end counts as in the balancing decisions."""

    outcome: Outcome
    may_have_run: bool  # a repeat can then have a second effect


# Only two things prove that a host did not run a request: its own word (`Not-Started: 1`), or that
# it never had the request's last byte. A 503 without that word may come from a proxy behind which
# the request runs on, so it is an error that may have run; so is whatever ends an attempt after its
# last byte went out. An unreadable answer is the host's error, not a lost connection: the host did
# answer.
#
# A connect that is called off says nothing about the host (NOT_SENT). One that runs out of time
# does (CONNECT_FAILED), unless this process stood still meanwhile and could not have seen it come
# up.
RESULTS: dict[AttemptEnd, AttemptResult] = {
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
    AttemptEnd.CONNECT_UNCLEAR: AttemptResult(Outcome.NOT_SENT, may_have_run=False),
    AttemptEnd.WITHDRAWN: AttemptResult(Outcome.NOT_SENT, may_have_run=False),
    AttemptEnd.CONNECTED_TOO_LATE: AttemptResult(Outcome.NOT_SENT, may_have_run=False),
}


_SERVED = RESULTS[AttemptEnd.ANSWER_200].outcome
_REJECTED = RESULTS[AttemptEnd.ANSWER_NOT_STARTED].outcome
_FAILED = RESULTS[AttemptEnd.ANSWER_OTHER].outcome


def outcome_of_answer(status: int, headers: Mapping[bytes, bytes]) -> Outcome:
    """What a complete, readable answer counts as. Names in `headers` are in lower case."""
    if status == STATUS_OK:
        return _SERVED
    if status in REJECTING_STATUSES and headers.get(NOT_STARTED_HEADER) == b"1":
        return _REJECTED
    return _FAILED
