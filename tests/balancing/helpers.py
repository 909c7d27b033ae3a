"""A driver that runs one balancer in tests, with a simulated clock and without a network."""

from __future__ import annotations

from typing import Any

from quillroad.balancing.actions import Action, SendAttempt, SetTimer
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    AttemptFinished,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from quillroad.balancing.settings import Idempotency, Route, Settings
from quillroad.balancing.zone_routing import CrossZoneBudget

OBJECTIVE_US = 200_000
DEADLINE_US = 1_000_000


def route(route_idempotency: Idempotency = Idempotency.IDEMPOTENT, **changes: Any) -> Route:
    values: dict[str, Any] = {
        "latency_objective_us": OBJECTIVE_US,
        "deadline_us": DEADLINE_US,
        "deduplication_window_us": 2_000_000,
    }
    values.update(changes)
    return Route(name="r", idempotency=route_idempotency, **values)


def settings(*routes: Route, **changes: Any) -> Settings:
    values: dict[str, Any] = {"cancellation_allowed": True, "max_attempts": 4}
    values.update(changes)
    return Settings(routes=routes or (route(),), **values)


class BalancerDriver:
    """Passes events to one balancer, fires its timers and records its actions."""

    def __init__(
        self,
        told: Settings,
        hosts: int | list[Endpoint] = 4,
        seed: int = 7,
        crossing: CrossZoneBudget | None = None,
    ) -> None:
        self.now = 1_000_000
        self.balancer = Balancer(told, seed, crossing)
        self.told = told
        self.log: list[Action] = []
        self.timers: list[tuple[int, int]] = []
        self.sends: dict[int, list[int]] = {}
        self.last_request = 0
        endpoints = [Endpoint(100 + i) for i in range(hosts)] if isinstance(hosts, int) else hosts
        self.feed(EndpointUpdate(UpdateKind.CACHED, tuple(endpoints)))

    def feed(self, *events: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, list(events))
        self.log += actions
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_us, action.timer_id))
            elif isinstance(action, SendAttempt):
                self.sends.setdefault(action.request, []).append(action.endpoint)
        return actions

    def pass_time(self, us: int) -> list[Action]:
        """Advance the clock and fire each timer when it is due."""
        end, log_length = self.now + us, len(self.log)
        while True:
            due = min((t for t in self.timers if t[0] <= end), default=None)
            if due is None:
                break
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.feed(TimerFired(due[1]))
        self.now = end
        return self.log[log_length:]

    def arrive(self, route: int = 0, give_up_us: int = DEADLINE_US, **more: Any) -> int:
        self.last_request += 1
        self.feed(RequestArrived(self.last_request, route, self.now + give_up_us, **more))
        return self.last_request

    def done(
        self, request: int, outcome: Outcome, elapsed_us: int = 10_000, attempt: int | None = None
    ) -> list[Action]:
        number = len(self.sends[request]) - 1 if attempt is None else attempt
        closed = outcome is Outcome.SUCCESS
        return self.feed(AttemptFinished(request, number, outcome, elapsed_us, closed))

    def warm_up(self, count: int = 200, elapsed_us: int = 10_000, route: int = 0) -> None:
        """Send and answer requests, so that the balancer learns latencies and payoffs."""
        for _ in range(count):
            request = self.arrive(route)
            self.pass_time(elapsed_us)
            if request in self.sends:
                self.done(request, Outcome.SUCCESS, elapsed_us)


STARTED = 50_000_000


def one_of_many(**changes: Any) -> Settings:
    """Return the settings of one of 400 gateways, which has a small share of the traffic."""
    return settings(**{"gateway_count": 400, "gateway_index": 100, **changes})


def three_zones(count: int = 60, **changes: Any) -> list[Endpoint]:
    return [Endpoint(100 + i, zone=i % 3, cell=i // 4, **changes) for i in range(count)]


def warm_gateway_of_200(hosts: int = 100) -> BalancerDriver:
    """Return a warmed-up gateway, one of 200 that share these hosts: 2.5 / 200 permits per host."""
    driver = BalancerDriver(one_of_many(gateway_count=200, gateway_index=0), three_zones(hosts))
    driver.warm_up(60)
    driver.pass_time(3_000_000)
    return driver


def burst_in_flight(driver: BalancerDriver) -> int:
    """Return how many requests of a burst are sent at once, then end them."""
    before = len(driver.sends)
    burst = [driver.arrive() for _ in range(8)]
    count = len(driver.sends) - before
    driver.pass_time(20_000)
    for request in burst:
        if request in driver.sends:
            driver.done(request, Outcome.SUCCESS)
    driver.pass_time(2_000_000)
    return count


def gateway_of_40(number: int, hosts: tuple[Endpoint, ...]) -> Balancer:
    """Return one of 40 balancers at the time at which its warming hosts start."""
    warming = {"warm_up_us": 10_000_000, "initial_capacity": 0.5, "overload_multiple": 3.0}
    balancer = Balancer(settings(gateway_count=40, gateway_index=number, **warming), number)
    balancer.routes[0].uncrowded_latency_us = 10_000.0
    balancer.handle(STARTED, [EndpointUpdate(UpdateKind.CACHED, hosts)])
    return balancer
