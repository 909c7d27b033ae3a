"""The work that warming hosts get, with one gateway and with many."""

from __future__ import annotations

from collections import Counter

import pytest

from quillroad.balancing.actions import (
    SendAttempt,
)
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.concurrency_limit import (
    MANY_GATEWAYS_LIMIT,
)
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Outcome,
    RequestArrived,
    UpdateKind,
)
from tests.balancing.helpers import (
    DEADLINE_US,
    STARTED,
    BalancerDriver,
    gateway_of_40,
    route,
    settings,
)


def test_work_at_a_warming_host_stays_within_the_budget_in_any_window() -> None:
    gateway_settings = settings(
        gateway_count=2,
        warm_up_us=10_000_000,
        initial_capacity=0.2,
        overload_multiple=2.0,
        overload_window_us=1_000_000,
    )
    driver = BalancerDriver(gateway_settings, 0)
    driver.now = 50_000_000
    started = driver.now - 200_000
    driver.feed(EndpointUpdate(UpdateKind.CACHED, (Endpoint(1, started_us=started), Endpoint(2))))
    times: list[int] = []
    for _ in range(1500):
        request = driver.arrive()
        if driver.sends.get(request) == [1]:
            times.append(driver.now)
        driver.pass_time(4000)
        if request in driver.sends:
            driver.done(request, Outcome.SUCCESS, 4000)
    assert times
    for sent_us in times:
        capacity_now = 0.2 + 0.8 * (sent_us - started) / 10_000_000
        # 4 ms requests for the host's current capacity, of which half are this gateway's
        assert (
            sum(1 for other_us in times if sent_us - 1_000_000 < other_us <= sent_us)
            <= 2.0 * capacity_now * 1_000_000 / 4000 / 2
        )


@pytest.mark.parametrize("gateway_total", [1, 7, 400])
def test_all_gateways_together_keep_a_warming_host_within_its_budget(gateway_total: int) -> None:
    """The worst case: every gateway knows a single warming host and has unlimited requests."""
    window_us, ramp_us, work_us = 1_000_000, 10_000_000, 20_000
    gateway_settings = {
        "gateway_count": gateway_total,
        "warm_up_us": ramp_us,
        "initial_capacity": 0.2,
        "overload_multiple": 2.5,
    }
    start = 50_000_000
    warming = [Endpoint(7, started_us=start)]
    gateway_balancers = [
        Balancer(
            settings(route(), gateway_index=n, overload_window_us=window_us, **gateway_settings), n
        )
        for n in range(gateway_total)
    ]
    for balancer in gateway_balancers:
        balancer.handle(start, [EndpointUpdate(UpdateKind.CACHED, tuple(warming))])
        balancer.routes[0].uncrowded_latency_us = float(work_us)
    sent: list[int] = []
    number = 0
    for now in range(start, start + 4_000_000, 50_000):
        for balancer in gateway_balancers:
            for _ in range(3):
                number += 1
                actions = balancer.handle(now, [RequestArrived(number, 0, now + DEADLINE_US)])
                if any(isinstance(action, SendAttempt) for action in actions):
                    sent.append(now)
                    balancer.handle(
                        now, [AttemptFinished(number, 0, Outcome.SUCCESS, work_us, True)]
                    )
                else:
                    balancer.handle(now, [ClientDisconnected(number)])
    assert len(sent) > 20  # the budget is also used
    for first in sent:
        capacity_now = 0.2 + 0.8 * (first - start) / ramp_us
        work = work_us * sum(1 for later_us in sent if first <= later_us < first + window_us)
        assert work <= 2.5 * capacity_now * window_us


def test_owner_of_a_slot_uses_all_permits_of_the_warming_host_in_a_subset() -> None:
    """If the slot's owner sent one request at a time, the other hosts would be overloaded while
    warming ones idle (seen with 15 of 55 hosts warming up).
    """
    hosts = (Endpoint(7, started_us=STARTED), *(Endpoint(100 + i) for i in range(59)))
    gateway_balancers = [gateway_of_40(number, hosts) for number in range(40)]
    for balancer in gateway_balancers:
        balancer.handle(
            STARTED, [RequestArrived(request, 0, STARTED + DEADLINE_US) for request in range(6)]
        )
    assert max(balancer.hosts[7].in_flight for balancer in gateway_balancers) == int(
        MANY_GATEWAYS_LIMIT
    )


def test_few_gateways_use_the_whole_budget_of_a_warming_host() -> None:
    """The owner of a slot must use the whole safe budget. The work of one core per slot, as it was
    before, is less than the rule allows, even with half of the budget kept as a margin."""
    work_us, start = 2_000, 50_000_000
    gateway_settings = settings(
        gateway_count=2, warm_up_us=10_000_000, initial_capacity=0.5, overload_multiple=3.0
    )
    balancer = Balancer(gateway_settings, 7)
    balancer.handle(start, [EndpointUpdate(UpdateKind.CACHED, (Endpoint(7, started_us=start),))])
    balancer.routes[0].uncrowded_latency_us = float(work_us)
    sent: Counter[int] = Counter()
    for number in range(100_000):
        now = start + number * 20
        if any(
            isinstance(action, SendAttempt)
            for action in balancer.handle(now, [RequestArrived(number, 0, now + DEADLINE_US)])
        ):
            sent[(now - start) // balancer.slow_start_slot_us] += work_us
            balancer.handle(now, [AttemptFinished(number, 0, Outcome.SUCCESS, work_us, True)])
        else:
            balancer.handle(now, [ClientDisconnected(number)])
    max_load = max(sent.values()) / balancer.slow_start_slot_us
    assert 1.0 * 0.6 < max_load <= 0.5 * 3.0 * 0.6  # capacity 0.5 at the start, 0.6 after 2 s
