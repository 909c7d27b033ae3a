"""What goes into the balancer.

Times are whole microseconds of one clock that the host program chooses; it only has to advance.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

from quillroad.balancing.endpoint import Endpoint


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SUCCESS = "success"
    ERROR = "error"  # the server answered with an error; it may have run
    REJECTED = "full"  # turned away unseen
    TIMEOUT = "timeout"  # no answer in time; it may have run or still run
    CONNECT_FAILED = "connect_failed"  # never reached the server
    RESET = "reset"  # the connection broke while the attempt was out
    CANCELLED = "cancelled"  # called off by us; it may have run
    NOT_SENT = "moot"  # not sent at all


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class UpdateKind(Enum):
    """How a server list relates to the one held."""

    FULL = 0
    CACHED = 1
    INCREMENTAL = 2
    FAILED = 3


class EndpointUpdate(NamedTuple):
    """Event: the list of servers, whole or in changes; or a failed call for it."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0


class RequestArrived(NamedTuple):
    """Event: a client's request. The balancer now owes one final answer before `give_up_us`."""

    request: int
    route: int
    deadline_us: int
    key: str | None = None
    work_estimate_us: int | None = None
    tenant: int = 0
    is_retry: bool = False
    long_body: bool = (
        False  # its body is: the time of an attempt tells how fast that is taken, not of load
    )


class StreamStarted(NamedTuple):
    """Event: a streamed answer has begun; the attempt belongs to the client from now on."""

    request: int
    attempt: int
    elapsed_us: int


class AttemptFinished(NamedTuple):
    """Event: what became of a send. `closed`: the client has its final answer already."""

    request: int
    attempt: int
    outcome: Outcome
    elapsed_us: int
    answered: bool = False
    load_report: Mapping[str, float] | None = None


class ClientDisconnected(NamedTuple):
    """Event: the client has gone; no answer is owed."""

    request: int


class TimerFired(NamedTuple):
    """Event: an alarm set by `SetAlarm` is due."""

    timer_id: int


class HealthCheckFinished(NamedTuple):
    """Event: the result of a probe."""

    endpoint: int
    outcome: Outcome
    elapsed_us: int
    load_report: Mapping[str, float] | None = None


class SiblingAttempts(NamedTuple):
    """Event: another process of this same gateway is at work, while one takes over from the other. `out`
    tells of each server it has attempts at how many are out, and how many of those are overdue; it replaces
    what was told before. `warms`: the turns at cold servers are ours and not the other's."""

    in_flight: Mapping[int, tuple[int, int]] = MappingProxyType({})
    owns_slow_start: bool = True


class GatewayCountChanged(NamedTuple):
    """Event: so many balancers share the servers now, and which of them this is, from 0. Windows and limits
    follow it; turns at cold servers and quotas stay by the told number."""

    gateway_index: int
    gateway_count: int


class CrossZoneBytes(NamedTuple):
    """Event: attempts at other zones carried so many bytes, both ways."""

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
