"""Output of the balancer: commands that the program which runs it carries out.

Times are whole microseconds of the balancer's clock; durations are in microseconds.
"""

from __future__ import annotations

from typing import NamedTuple


class SendAttempt(NamedTuple):
    """Start an attempt of a request at an endpoint; attempts of a request are numbered from 0.

    `timeout_us`: how long to wait for the answer; 0: until the client's deadline. `send_by_us`:
    latest time at which the first byte of this attempt may be sent, even if its connection was
    established late; 0: no limit.
    """

    request: int
    endpoint: int
    timeout_us: int = 0
    send_by_us: int = 0


class Reject(NamedTuple):
    """Answer the client with a rejection, which states that a retry is harmless.

    `retry_after_us`: the delay to announce to the client before its retry; 0: announce none.
    """

    request: int
    retry_after_us: int = 0


class Fail(NamedTuple):
    """Answer the client with a failure, which does not state that a retry is harmless."""

    request: int


class CancelAttempt(NamedTuple):
    """Cancel an attempt and close its connection."""

    request: int
    attempt: int


class LimitAttempt(NamedTuple):
    """Let an attempt in flight time out after `timeout_us` from now, unless it does so earlier."""

    request: int
    attempt: int
    timeout_us: int


class StartHealthCheck(NamedTuple):
    """Start a health check of a host.

    No rule emits this action; it exists because the simulator's protocol defines it.
    """

    endpoint: int


class SetTimer(NamedTuple):
    """Request a `TimerFired` event with this id after `delay_us`."""

    delay_us: int
    timer_id: int


class WatchEndpoints(NamedTuple):
    """Subscribe to the endpoint list and its changes in discovery, or unsubscribe."""

    enabled: bool = True


class LogMessage(NamedTuple):
    """Write a line to the operators' log."""

    text: str


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | LimitAttempt
    | StartHealthCheck
    | SetTimer
    | WatchEndpoints
    | LogMessage
)
