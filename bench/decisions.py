"""A recorded stream of events, and a digest of every action that the module answers it with:
`python -m bench.decisions`.

The same stream for the same seed, from a small world of servers that answer, fail, hang, drain, restart and
leave. Two forms of the module (plain and compiled, before and after a change that must not change decisions)
are compared by their digests.
"""

from __future__ import annotations

import argparse
import hashlib
import heapq
import random
import sys

from quillroad.balancing.balancer import Balancer
from quillroad.balancing.interface import (
    AttemptFinished,
    CancelAttempt,
    ClientDisconnected,
    DeduplicationScope,
    Endpoint,
    EndpointStatus,
    EndpointUpdate,
    Event,
    Idempotency,
    Outcome,
    RequestArrived,
    Route,
    SendAttempt,
    SetTimer,
    Settings,
    SiblingAttempts,
    TimerFired,
    UpdateKind,
)

ROUTES = (
    Route("status", Idempotency.IDEMPOTENT, 580_000, 1_400_000, 2.0),
    Route(
        "seat",
        Idempotency.KEYED,
        750_000,
        1_900_000,
        8.0,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=6_000_000,
    ),
    Route(
        "local",
        Idempotency.KEYED,
        400_000,
        900_000,
        1.0,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_us=2_000_000,
    ),
    Route("once", Idempotency.NON_IDEMPOTENT, None, 3_000_000, 1.0),
)
TOLD = Settings(
    routes=ROUTES,
    gateway_count=2,
    gateway_index=1,
    tenant_quotas_per_s=(300.0, 40.0),
    over_quota_weight=0.05,
    max_attempts=4,
    hedging_allowed=True,
    cancellation_allowed=True,
    retry_after_allowed=True,
    max_retry_after_us=600_000,
    warm_up_us=3_000_000,
    initial_capacity=0.2,
    overload_multiple=3.0,
    cross_zone_cost=0.02,
)
BAD = (
    Outcome.ERROR,
    Outcome.REJECTED,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.TIMEOUT,
    Outcome.NOT_SENT,
)


def digest(seed: int, requests: int, servers: int = 12) -> tuple[str, int]:
    """The digest (hexadecimal) and how many actions there were."""
    chance, module, told = random.Random(seed), Balancer(TOLD, seed), hashlib.sha256()
    now, count, pending = 1_000_000, 0, list[tuple[int, int, Event]]()
    tries: dict[int, int] = {}
    number = 0
    lines = {i: Endpoint(i, zone=i % 2, machine_type=i % 3) for i in range(servers)}

    def later(at: int, event: Event) -> None:
        nonlocal number
        number += 1
        heapq.heappush(pending, (at, number, event))

    def feed(event: Event) -> None:
        nonlocal count
        for action in module.handle(now, [event]):
            count += 1
            told.update(repr(action).encode())
            if isinstance(action, SetTimer):
                later(now + action.delay_us, TimerFired(action.timer_id))
            elif isinstance(action, SendAttempt):
                attempt = tries.get(action.request, 0)
                tries[action.request] = attempt + 1
                wrong = chance.random() < (
                    0.5 if action.endpoint % 5 == (now // 4_000_000) % 5 else 0.02
                )
                took = int(chance.expovariate(1 / 30_000)) + (
                    chance.randrange(900_000) if wrong else 500
                )
                outcome = chance.choice(BAD) if wrong else Outcome.SUCCESS
                later(
                    now + took, AttemptFinished(action.request, attempt, outcome, took, not wrong)
                )
            elif isinstance(action, CancelAttempt):
                later(
                    now, AttemptFinished(action.request, action.attempt, Outcome.CANCELLED, 1, True)
                )

    feed(EndpointUpdate(UpdateKind.FULL, tuple(lines.values())))
    for request in range(requests):
        arrives = now + int(chance.expovariate(1 / 2_500))
        while pending and pending[0][0] <= arrives:
            at, _, event = heapq.heappop(pending)
            now = max(now, at)
            feed(event)
        now = arrives
        route = chance.choices(range(4), (6, 3, 1, 1))[0]
        wait = ROUTES[route].deadline_us - chance.randrange(200_000)
        feed(
            RequestArrived(
                request,
                route,
                now + wait,
                None,
                None,
                chance.randrange(-1, 3),
                chance.random() < 0.02,
            )
        )
        if chance.random() < 0.01:
            later(now + chance.randrange(50_000), ClientDisconnected(request))
        if chance.random() < 0.005:
            some = chance.randrange(servers)
            state = chance.choice(
                (EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED)
            )
            started = now if chance.random() < 0.5 else lines[some].started_us
            lines[some] = lines[some]._replace(status=state, started_us=started)
            feed(EndpointUpdate(UpdateKind.INCREMENTAL, (lines[some],)))
        if chance.random() < 0.002:
            feed(
                SiblingAttempts(
                    {chance.randrange(servers): (chance.randrange(3), 0)}, chance.random() < 0.7
                )
            )
    return told.hexdigest(), count


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=20_000)
    args = parser.parse_args()
    print(*digest(args.seed, args.requests))
    return 0


if __name__ == "__main__":
    sys.exit(main())
