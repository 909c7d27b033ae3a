"""What the balancer is told before its first event.

Times are whole microseconds. `platform_settings` reads these values from the platform's object.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


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
