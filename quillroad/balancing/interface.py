"""What goes into the balancer and what comes out: settings, events, actions. Types only, no decisions.

All times are whole microseconds of one clock that the host program chooses; it only has to advance.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple


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


class Idempotency(Enum):
    """What a second run of the same request would do."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"  # repeats are dropped by a group of servers, for a time
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The servers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointStatus(Enum):
    """What discovery says of a server."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(Enum):
    """How a server list relates to the one held."""

    FULL = 0
    CACHED = 1
    INCREMENTAL = 2
    FAILED = 3


def _need(condition: bool, field: str, why: str) -> None:
    if not condition:
        raise ValueError(f"{field}: {why}")


@dataclass(frozen=True, slots=True)
class Route:
    """One class of request. With no aim told, `aim_us` is None."""

    name: str = ""
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    latency_objective_us: int | None = None
    deadline_us: int = 30_000_000
    priority_weight: float = 1.0
    late_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    stream: bool = False
    objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        _need(
            self.latency_objective_us is None or self.latency_objective_us > 0,
            "route.latency_objective_us",
            "must be above 0",
        )
        _need(self.deadline_us > 0, "route.deadline_us", "must be above 0")
        _need(self.priority_weight >= 0, "route.priority_weight", "must not be negative")
        _need(0 <= self.late_weight <= 1, "route.late_weight", "must lie between 0 and 1")
        _need(
            self.deduplication_window_us >= 0,
            "route.deduplication_window_us",
            "must not be negative",
        )
        _need(self.objective_stretch >= 0, "route.objective_stretch", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """All a balancer is told before its first event. No routes: one route, all of it unsafe."""

    routes: tuple[Route, ...] = ()
    gateway_count: int = 1
    gateway_index: int = 0  # which of them this is, from 0
    zone: int = 0
    discovery_is_polled: bool = False
    tenant_quotas_per_s: tuple[float, ...] = ()
    over_quota_weight: float = 1.0
    max_attempts: int = 3
    hedging_allowed: bool = False
    cancellation_allowed: bool = False
    probing: bool = False
    retry_after_allowed: bool = False
    max_retry_after_us: int = 0
    poll_interval_us: int = 10_000_000
    drain_grace_us: int = 0
    warm_up_us: int = 0
    initial_capacity: float = 1.0
    overload_multiple: float = 1.0
    overload_window_us: int = 1_000_000
    answer_slack_us: int = 0
    cross_zone_cost: float = 0.0
    warm_keys: bool = False
    hints_are_sizes: bool = False
    clients_mark_retries: bool = False
    weight_whole: float = 1.0
    weight_worst_class: float = 0.0

    def __post_init__(self) -> None:
        _need(self.gateway_count >= 1, "gateway_count", "must be at least 1")
        _need(
            0 <= self.gateway_index < self.gateway_count,
            "gateway_index",
            "must lie from 0 to below balancers",
        )
        _need(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _need(
            0 < self.initial_capacity <= 1, "initial_capacity", "must lie above 0, and be 1 at most"
        )
        _need(self.overload_multiple > 0, "overload_multiple", "must be above 0")
        _need(self.overload_window_us > 0, "overload_window_us", "must be above 0")
        _need(self.poll_interval_us > 0, "poll_interval_us", "must be above 0")
        for field in (
            "zone",
            "over_quota_weight",
            "max_retry_after_us",
            "drain_grace_us",
            "warm_up_us",
        ):
            _need(getattr(self, field) >= 0, field, "must not be negative")
        _need(
            all(q >= 0 for q in self.tenant_quotas_per_s),
            "tenant_quotas_per_s",
            "must not be negative",
        )


class Endpoint(NamedTuple):
    """One line of a server list. `started_us` None or 0: long ago."""

    id: int
    status: EndpointStatus = EndpointStatus.READY
    zone: int = 0
    cell: int = 0
    machine_type: int = 0
    weight: float = 1.0
    started_us: int | None = None


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
