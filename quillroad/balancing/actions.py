"""What comes out of the balancer: commands for the program that hosts it.

Times are whole microseconds.
"""

from __future__ import annotations

from typing import NamedTuple


class SendAttempt(NamedTuple):
    """Action: start an attempt. Attempts of a request count from 0. Time-out 0: until the client gives up.
    `latest_us`, on the balancer's clock: after it no byte of this attempt may go out, however late its
    connection came up; 0: any time will do."""

    request: int
    endpoint: int
    timeout_us: int = 0
    send_by_us: int = 0


class Reject(NamedTuple):
    """Action: final answer; tells the client that trying again is harmless."""

    request: int
    retry_after_us: int = 0


class Fail(NamedTuple):
    """Action: final answer that promises nothing."""

    request: int


class CancelAttempt(NamedTuple):
    """Action: stop waiting for an attempt."""

    request: int
    attempt: int


class StartHealthCheck(NamedTuple):
    """Action: check a server."""

    endpoint: int


class SetTimer(NamedTuple):
    """Action: ask for an `Alarm` after a delay."""

    delay_us: int
    timer_id: int


class WatchEndpoints(NamedTuple):
    """Action: subscribe to changes of the server list (or end that)."""

    enabled: bool = True


class LogMessage(NamedTuple):
    """Action: a line for the people on call."""

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
