"""What the balancer is told before its first event.

Durations are whole microseconds. `platform_settings` reads these values from the platform's object,
`quillroad.config.file` from the file that people write.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a second run of the same request would do. The values are the platform's words."""

    IDEMPOTENT = "safe"
    """Nothing."""
    KEYED = "keyed"
    """Nothing at the hosts of a deduplication scope, for a time; harm elsewhere and later."""
    NON_IDEMPOTENT = "unsafe"
    """Harm."""


class DeduplicationScope(Enum):
    """The hosts that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _need(condition: bool, field: str, why: str) -> None:
    if not condition:
        raise ValueError(f"{field}: {why}")


@dataclass(frozen=True, slots=True)
class Route:
    """One class of requests.

    `latency_objective_us`: from arrival, within it an answer has its full value; None: any answer
    before the deadline has it. It is longer by `objective_stretch` times the request's expected
    work. `deadline_us`: how long clients wait at most. `priority_weight` (0 or more): value of one
    answer against those of other routes. `late_weight` (0 to 1): part of it that an answer after
    the objective keeps. `deduplication_scope`, `deduplication_window_us`: of keyed routes, which
    hosts drop repeats, and for how long. Raises `ValueError` that names a field out of its bounds.
    """

    name: str = ""
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    latency_objective_us: int | None = None
    deadline_us: int = 30_000_000
    priority_weight: float = 1.0
    late_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
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
    """All a balancer is told before its first event. No routes: one, non-idempotent.

    `gateway_index` counts from 0 to below `gateway_count`. `discovery_is_polled`: lists must be
    asked for; `poll_interval_us`: how old they get. `tenant_quotas_per_s`: requests a second for
    all gateways, by tenant; beyond it a request's priority counts `over_quota_weight`.
    `max_attempts` counts hedged ones too. `max_retry_after_us`: the wait that a rejected client is
    told, where `retry_after_allowed`. `drain_grace_us`: promised time from a drain's news to its
    end; attempts stop with the news, well within it. `warm_up_us`: a host that starts does
    `initial_capacity` (0 to 1) of its work, and more until this time; it tips over at
    `overload_multiple` times what it can do, over `overload_window_us`. `cross_zone_cost`: part of
    an answer's value. Raises `ValueError` that names a field out of its bounds.
    """

    routes: tuple[Route, ...] = ()
    gateway_count: int = 1
    gateway_index: int = 0
    zone: int = 0
    discovery_is_polled: bool = False
    tenant_quotas_per_s: tuple[float, ...] = ()
    over_quota_weight: float = 1.0
    max_attempts: int = 3
    hedging_allowed: bool = False
    cancellation_allowed: bool = False
    retry_after_allowed: bool = False
    max_retry_after_us: int = 0
    poll_interval_us: int = 10_000_000
    drain_grace_us: int = 0
    warm_up_us: int = 0
    initial_capacity: float = 1.0
    overload_multiple: float = 1.0
    overload_window_us: int = 1_000_000
    cross_zone_cost: float = 0.0
    clients_mark_retries: bool = False

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
