"""What a cross-zone budget costs the balancer a request: the part `--cost` of `bench.zones`."""

from __future__ import annotations

import time

from bench.tables import header, row
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    AttemptFinished,
    EndpointUpdate,
    Outcome,
    RequestArrived,
    UpdateKind,
)
from quillroad.balancing.settings import Idempotency, Route, Settings
from quillroad.balancing.zone_routing import CrossZoneBudget, CrossZoneLimits, RouteAllowance

HOSTS = (8, 100, 1000)
REQUESTS = 20_000
REPEATS = 5  # the least of which counts: what else runs on the machine only adds
ARRIVAL_GAP_US = 500
ATTEMPT_US = 400
ROUTE = Route(
    name="r",
    idempotency=Idempotency.IDEMPOTENT,
    latency_objective_us=580_000,
    deadline_us=1_400_000,
)
SETTINGS = Settings(
    routes=(ROUTE,), max_attempts=4, hedging_allowed=True, cancellation_allowed=True
)


def cost_us(hosts: int, has_budget: bool) -> float:
    """CPU time of the balancer for a request, in microseconds; half of the hosts are remote."""
    limits = CrossZoneLimits(0.05, (RouteAllowance(),))
    balancer = Balancer(SETTINGS, 1, CrossZoneBudget(limits) if has_budget else None)
    endpoints = tuple(Endpoint(number, zone=number % 2) for number in range(hosts))
    balancer.handle(1, [EndpointUpdate(UpdateKind.FULL, endpoints)])
    began_s = time.process_time()
    for request in range(REQUESTS):
        now_us = 1_000 + ARRIVAL_GAP_US * request
        balancer.handle(now_us, [RequestArrived(request, 0, now_us + ROUTE.deadline_us)])
        finished = AttemptFinished(request, 0, Outcome.SUCCESS, ATTEMPT_US, True)
        balancer.handle(now_us + ATTEMPT_US, [finished])
        balancer.timers.clear()
    return (time.process_time() - began_s) / REQUESTS * 1e6


def print_costs() -> None:
    """Print what a request costs the balancer, without and with a budget."""
    print(header("hosts", "us a request, off", "on"))
    for hosts in HOSTS:
        off_us, on_us = (
            min(cost_us(hosts, has_budget) for _ in range(REPEATS)) for has_budget in (False, True)
        )
        print(row(hosts, f"{off_us:.1f}", f"{on_us:.1f}"))
