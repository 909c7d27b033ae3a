"""Settings of a balancer and of its routes.

Durations are whole microseconds. `platform_settings` reads these values from the platform's JSON
object, `quillroad.config.file` from the configuration file that operators write.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Effect of executing the same request twice. The values are the platform's names."""

    IDEMPOTENT = "safe"
    """A second execution has no effect."""
    KEYED = "keyed"
    """Hosts of the deduplication scope drop a repeat within the deduplication window; a second
    execution elsewhere or later does harm."""
    NON_IDEMPOTENT = "unsafe"
    """A second execution does harm."""


class DeduplicationScope(Enum):
    """The group of hosts within which a repeat of a keyed request is dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require(condition: bool, field: str, reason: str) -> None:
    """Raise `ValueError` that names the field unless the condition holds."""
    if not condition:
        raise ValueError(f"{field}: {reason}")


@dataclass(frozen=True, slots=True)
class Route:
    """Settings of one route, a class of requests.

    `latency_objective_us`: time from arrival within which an answer has its full value; None: any
    answer before the deadline has it. The objective is extended by `objective_stretch` times the
    request's expected work. `deadline_us`: maximum time that clients wait. `priority_weight` (0 or
    more): value of one answer relative to other routes. `late_weight` (0 to 1): fraction of this
    value that an answer after the objective keeps. `deduplication_scope` and
    `deduplication_window_us`: for keyed routes, which hosts drop repeats, and for how long.

    Raises `ValueError` that names the field if a value is out of bounds.
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
        _require(
            self.latency_objective_us is None or self.latency_objective_us > 0,
            "route.latency_objective_us",
            "must be above 0",
        )
        _require(self.deadline_us > 0, "route.deadline_us", "must be above 0")
        _require(self.priority_weight >= 0, "route.priority_weight", "must not be negative")
        _require(0 <= self.late_weight <= 1, "route.late_weight", "must lie between 0 and 1")
        _require(
            self.deduplication_window_us >= 0,
            "route.deduplication_window_us",
            "must not be negative",
        )
        _require(self.objective_stretch >= 0, "route.objective_stretch", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a balancer. Without `routes` it has one non-idempotent route.

    `gateway_index` is at least 0 and below `gateway_count`. `discovery_is_polled`: endpoint lists
    must be polled; `poll_interval_us`: maximum age of a list. `tenant_quotas_per_s`: requests per
    second over all gateways, by tenant; the priority of requests beyond the quota is multiplied by
    `over_quota_weight`. `max_attempts` includes hedges. `max_retry_after_us`: maximum wait that
    Retry-After tells a rejected client, if `retry_after_allowed`. `drain_grace_us`: guaranteed time
    between the report that a host drains and its end; attempts stop with the report, well within
    it.

    `warm_up_us`: a starting host has the fraction `initial_capacity` (above 0, up to 1) of its full
    capacity, rising until this time. It is overloaded at `overload_multiple` times its current
    capacity over `overload_window_us`. `cross_zone_cost`: cost of an attempt in another zone, as a
    fraction of an answer's value.

    Raises `ValueError` that names the field if a value is out of bounds.
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
        _require(self.gateway_count >= 1, "gateway_count", "must be at least 1")
        _require(
            0 <= self.gateway_index < self.gateway_count,
            "gateway_index",
            "must lie from 0 to below balancers",
        )
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _require(
            0 < self.initial_capacity <= 1, "initial_capacity", "must lie above 0, and be 1 at most"
        )
        _require(self.overload_multiple > 0, "overload_multiple", "must be above 0")
        _require(self.overload_window_us > 0, "overload_window_us", "must be above 0")
        _require(self.poll_interval_us > 0, "poll_interval_us", "must be above 0")
        for field in (
            "zone",
            "over_quota_weight",
            "max_retry_after_us",
            "drain_grace_us",
            "warm_up_us",
        ):
            _require(getattr(self, field) >= 0, field, "must not be negative")
        _require(
            all(quota >= 0 for quota in self.tenant_quotas_per_s),
            "tenant_quotas_per_s",
            "must not be negative",
        )
