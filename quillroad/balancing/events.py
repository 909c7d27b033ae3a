"""What goes into the balancer.

Times are whole microseconds of one clock that the program chooses which runs it; it only has to
advance. Durations are microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

from quillroad.balancing.endpoint import Endpoint


class Outcome(Enum):
    """How an attempt or a health check ended. The values are those of logs and stored documents."""

    SUCCESS = "success"
    ERROR = "error"  # the host answered with an error; it may have run
    REJECTED = "full"  # the host answered that it has not started the request
    TIMEOUT = "timeout"  # no answer in time; it may have run or still run
    CONNECT_FAILED = (
        "connect_failed"  # no connection, or lost before the last byte left: has not run
    )
    RESET = "reset"  # the connection broke while the attempt was in flight
    CANCELLED = "cancelled"  # by the gateway; it may have run
    NOT_SENT = "moot"  # never reached a socket


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""Outcomes that prove that no host has started the request."""


class UpdateKind(Enum):
    """How an endpoint list relates to the one held. The values are the platform's numbers."""

    FULL = 0
    CACHED = 1
    INCREMENTAL = 2
    FAILED = 3


class EndpointUpdate(NamedTuple):
    """The endpoint list, whole or its changes; or the news that a poll for it failed."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0


class RequestArrived(NamedTuple):
    """A client's request has arrived: one final answer is owed before `deadline_us`.

    `route` and `tenant` are places in the settings. `work_estimate_us`: what it will cost a host,
    where that is told. `is_retry`: its client marked it as a repeat. `long_body`: the time of an
    attempt tells how fast its body is taken, not of load.
    """

    request: int
    route: int
    deadline_us: int
    key: str | None = None
    work_estimate_us: int | None = None
    tenant: int = 0
    is_retry: bool = False
    long_body: bool = False


class StreamStarted(NamedTuple):
    """A streamed answer has begun: the attempt belongs to the client from now on.

    Only the simulator tells this; the engine reports a streamed answer as a success at once.
    """

    request: int
    attempt: int
    elapsed_us: int


class AttemptFinished(NamedTuple):
    """An attempt has ended, `elapsed_us` after its start.

    `answered`: the client has its final answer already.
    """

    request: int
    attempt: int
    outcome: Outcome
    elapsed_us: int
    answered: bool = False
    load_report: Mapping[str, float] | None = None


class ClientDisconnected(NamedTuple):
    """The client has gone: no answer is owed."""

    request: int


class TimerFired(NamedTuple):
    """A timer set by `SetTimer` is due."""

    timer_id: int


class HealthCheckFinished(NamedTuple):
    """A health check has ended. No rule reads it today; the simulator's protocol has it."""

    endpoint: int
    outcome: Outcome
    elapsed_us: int
    load_report: Mapping[str, float] | None = None


class SiblingAttempts(NamedTuple):
    """What another process of this gateway has in flight, while one takes over from the other.

    `in_flight` has for each endpoint its attempts in flight, and how many of those are overdue; it
    replaces what was told before. `owns_slow_start`: the slow-start slots are this process's.
    """

    in_flight: Mapping[int, tuple[int, int]] = MappingProxyType({})
    owns_slow_start: bool = True


class GatewayCountChanged(NamedTuple):
    """So many gateways share the hosts now, and this is one of them, from 0.

    Subsets and limits follow it; slow-start slots and tenant quotas stay by the number in the
    settings.
    """

    gateway_index: int
    gateway_count: int


class CrossZoneBytes(NamedTuple):
    """Attempts at remote zones carried so many bytes, both ways together."""

    size: int


Event = (
    CrossZoneBytes
    | GatewayCountChanged
    | EndpointUpdate
    | RequestArrived
    | StreamStarted
    | AttemptFinished
    | ClientDisconnected
    | TimerFired
    | HealthCheckFinished
    | SiblingAttempts
)
