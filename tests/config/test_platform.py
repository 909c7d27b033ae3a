"""Settings that cannot work are named, and settings no known deployment uses do work."""

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
def test_bad_settings_name_the_field(field: str, values: dict[str, Any]) -> None:
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
def test_bad_routes_name_the_field(values: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match="route." + next(iter(values))):
        Route(**values)


def test_a_class_without_semantics_is_named() -> None:
    with pytest.raises(ValueError, match="semantics"):
        read_settings({"lanes": [{"deadline": 5}]})


@pytest.mark.parametrize(
    "told",
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
@pytest.mark.parametrize("servers", [1, 40])
def test_unusual_settings_serve(told: Settings, servers: int) -> None:
    stage = BalancerDriver(told, servers)
    for n in range(300):
        request = stage.arrive(
            work_estimate_us=12_000 if n % 2 else None, key=f"k{n % 7}", tenant=n % 3
        )
        stage.pass_time(8_000)
        for _ in range(12):
            for attempt in range(len(stage.sends.get(request, []))):
                failed = n % 10 == 0 and attempt == 0
                stage.done(request, Outcome.ERROR if failed else Outcome.SUCCESS, 8_000, attempt)
            stage.pass_time(40_000)
    assert len(stage.sends) >= 270


def test_a_stream_belongs_to_the_client_once_it_started() -> None:
    stage = BalancerDriver(settings(route(), hedging_allowed=True), 3)
    request = stage.arrive()
    stage.feed(StreamStarted(request, 0, 5_000))
    assert not any(isinstance(a, SendAttempt) for a in stage.pass_time(2_000_000))
    stage.done(request, Outcome.SUCCESS, 2_000_000)
    assert not stage.balancer.requests


def test_departed_servers_and_requests_leave_no_residue() -> None:
    stage = BalancerDriver(settings(), [Endpoint(i) for i in range(5)])
    for n in range(2000):
        request = stage.arrive(key=f"key{n}")
        stage.pass_time(3_000)
        if request in stage.sends:
            stage.done(request, Outcome.SUCCESS, 3_000)
    stage.pass_time(5_000_000)
    stage.done(stage.arrive(), Outcome.SUCCESS)
    balancer = stage.balancer
    assert len(balancer.hosts) == 5 and len(balancer.requests) == len(balancer.timers) == 0
    assert all(len(r.latency) <= 128 for r in balancer.routes)


def test_the_log_names_changed_fields_as_it_always_did() -> None:
    before = make_config(1)
    after = dataclasses.replace(
        before,
        known_hosts={"generation": 2},
        sockets=before.sockets + 1,
        machine_types=("m-1",),
        body_budget_bytes=before.body_budget_bytes - 1,
    )
    assert changed_fields(before, after) == ["sockets", "kinds", "buffers"]
