"""Invalid settings are rejected by name; valid but unusual settings serve requests."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from quillroad.balancing.actions import SendAttempt
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import Outcome, StreamStarted
from quillroad.balancing.platform_settings import read_settings
from quillroad.balancing.settings import DeduplicationScope, Idempotency, Route, Settings
from quillroad.config import changed_fields
from quillroad.config.platform import CONNECTION_ALLOWANCE_BYTES, PROCESS_MB
from tests.balancing.helpers import BalancerDriver, route, settings
from tests.net import make_config


@pytest.mark.parametrize(
    ("field", "values"),
    [
        ("gateway_count", {"gateway_count": 0}),
        ("max_attempts", {"max_attempts": 0}),
        ("initial_capacity", {"initial_capacity": 0.0}),
        ("overload_multiple", {"overload_multiple": -1.0}),
        ("drain_grace_us", {"drain_grace_us": -5}),
        ("tenant_quotas_per_s", {"tenant_quotas_per_s": (3.0, -1.0)}),
    ],
)
def test_invalid_setting_raises_error_that_names_the_field(
    field: str, values: dict[str, Any]
) -> None:
    """Guards against a setting that is out of range and makes the balancer fail later."""
    with pytest.raises(ValueError, match=field):
        Settings(**values)


@pytest.mark.parametrize(
    "values",
    [
        {"latency_objective_us": 0},
        {"deadline_us": -1},
        {"priority_weight": -1.0},
        {"late_weight": 2.0},
    ],
)
def test_invalid_route_raises_error_that_names_the_field(values: dict[str, Any]) -> None:
    """Guards against a route value that is out of range and makes the balancer fail later."""
    with pytest.raises(ValueError, match="route." + next(iter(values))):
        Route(**values)


def test_platform_route_without_semantics_is_rejected() -> None:
    """Guards against a route whose idempotency is guessed because the platform left it out."""
    with pytest.raises(ValueError, match="semantics"):
        read_settings({"lanes": [{"deadline": 5}]})


@pytest.mark.parametrize(
    "balancer_settings",
    [
        settings(route(latency_objective_us=None)),
        settings(route(objective_stretch=2.0)),
        settings(route(late_weight=0.5)),
        settings(route(Idempotency.KEYED, deduplication_scope=DeduplicationScope.ZONE)),
        settings(route(priority_weight=0.0), gateway_count=9),
        settings(tenant_quotas_per_s=(1.0,), over_quota_weight=0.0),
        settings(hedging_allowed=True),
    ],
)
@pytest.mark.parametrize("host_count", [1, 40])
def test_unusual_settings_serve_at_least_90_percent(
    balancer_settings: Settings, host_count: int
) -> None:
    """Guards against valid settings that no known deployment uses and that stop the balancer.

    One in ten first attempts fails; at least 270 of 300 requests must still be sent to a host.
    """
    driver = BalancerDriver(balancer_settings, host_count)
    for n in range(300):
        request = driver.arrive(
            work_estimate_us=12_000 if n % 2 else None, key=f"k{n % 7}", tenant=n % 3
        )
        driver.pass_time(8_000)
        for _ in range(12):
            for attempt in range(len(driver.sends.get(request, []))):
                failed = n % 10 == 0 and attempt == 0
                driver.done(request, Outcome.ERROR if failed else Outcome.SUCCESS, 8_000, attempt)
            driver.pass_time(40_000)
    assert len(driver.sends) >= 270


def test_no_further_attempt_after_the_stream_to_the_client_started() -> None:
    """Guards against a hedge or retry of a request whose response the client already receives."""
    driver = BalancerDriver(settings(route(), hedging_allowed=True), 3)
    request = driver.arrive()
    driver.feed(StreamStarted(request, 0, 5_000))
    assert not any(isinstance(a, SendAttempt) for a in driver.pass_time(2_000_000))
    driver.done(request, Outcome.SUCCESS, 2_000_000)
    assert not driver.balancer.requests


def test_finished_requests_leave_no_state() -> None:
    """Guards against memory growth: requests, timers and samples that are kept after their end."""
    driver = BalancerDriver(settings(), [Endpoint(i) for i in range(5)])
    for n in range(2000):
        request = driver.arrive(key=f"key{n}")
        driver.pass_time(3_000)
        if request in driver.sends:
            driver.done(request, Outcome.SUCCESS, 3_000)
    driver.pass_time(5_000_000)
    driver.done(driver.arrive(), Outcome.SUCCESS)
    balancer = driver.balancer
    assert len(balancer.hosts) == 5 and len(balancer.requests) == len(balancer.timers) == 0
    assert all(len(r.latency) <= 128 for r in balancer.routes)


def test_changed_fields_keep_their_log_names() -> None:
    """Guards against a renamed `Config` field that changes the names which operators see."""
    before = make_config(1)
    after = dataclasses.replace(
        before,
        known_hosts={"generation": 2},
        sockets=before.sockets + 1,
        machine_types=("m-1",),
        peer_memory_bytes=before.peer_memory_bytes - 1,
    )
    assert changed_fields(before, after) == ["sockets", "kinds", "buffers"]


@pytest.mark.parametrize("memory_mb", [96, 192])
@pytest.mark.parametrize("sockets", [512, 1024])
def test_all_memory_together_stays_under_the_limit(memory_mb: int, sockets: int) -> None:
    """Two processes during an upgrade, the allowance of all descriptors, and the account."""
    limits = {"memory_mb": memory_mb, "sockets": sockets}
    config = make_config(1, limits=limits, admin_addr="127.0.0.1:0")
    fixed = 2 * PROCESS_MB * 2**20 + sockets * CONNECTION_ALLOWANCE_BYTES
    assert 5 * 2**20 < config.peer_memory_bytes <= 0.6 * (memory_mb * 2**20 - fixed)
