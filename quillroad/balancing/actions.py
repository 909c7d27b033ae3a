"""What comes out of the balancer: commands for the program that runs it.

Times are whole microseconds of the balancer's clock, durations microseconds.
"""

from __future__ import annotations

from typing import NamedTuple


class SendAttempt(NamedTuple):
    """Start an attempt of a request at an endpoint; attempts of a request count from 0.

    `timeout_us` 0: until the client gives up. After the time `send_by_us` no byte of this attempt
    may go out, however late its connection came up; 0: at any time.
    """

    request: int
    endpoint: int
    timeout_us: int = 0
    send_by_us: int = 0


class Reject(NamedTuple):
    """Give a final answer that promises that a retry is harmless.

    `retry_after_us`: the wait that the client is told; 0: none is.
    """

    request: int
    retry_after_us: int = 0


class Fail(NamedTuple):
    """Give a final answer that promises nothing."""

    request: int


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt, and close its connection."""

    request: int
    attempt: int


class StartHealthCheck(NamedTuple):
    """Check a host. No rule asks for it today; the simulator's protocol has it."""

    endpoint: int


class SetTimer(NamedTuple):
    """Ask for `TimerFired` with this id after a delay."""

    delay_us: int
    timer_id: int


class WatchEndpoints(NamedTuple):
    """Ask discovery for the endpoint list and its changes, or end that."""

    enabled: bool = True


class LogMessage(NamedTuple):
    """Write a line for the people on call."""

    text: str


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | StartHealthCheck
    | SetTimer
    | WatchEndpoints
    | LogMessage
)
