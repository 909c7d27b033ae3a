"""A recorded stream of events, and a digest of every action that the module answers it with:
`python -m bench.decisions`.

The same stream for the same seed, from a small world of servers that answer, fail, hang, drain,
restart and leave. Two forms of the module (plain and compiled, before and after a change that
must not change decisions) are compared by their digests. These are taken of the actions' wire
form, which does not change with the names of classes and fields.
"""

from __future__ import annotations

import argparse
import hashlib
import heapq
import json
import random
import sys
from typing import Any

from quillroad.balancing.actions import Action, SendAttempt
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import EndpointUpdate, Event, SiblingAttempts
from quillroad.balancing.platform_settings import read_settings
from quillroad.balancing.simulator import LIST_KINDS, READERS, STATES, WRITERS

LANES: list[dict[str, Any]] = [
    {
        "name": "status",
        "semantics": "safe",
        "goal_time": 580_000,
        "deadline": 1_400_000,
        "importance": 2.0,
    },
    {
        "name": "seat",
        "semantics": "keyed",
        "goal_time": 750_000,
        "deadline": 1_900_000,
        "importance": 8.0,
        "group": "all",
        "memory_span": 6_000_000,
    },
    {
        "name": "local",
        "semantics": "keyed",
        "goal_time": 400_000,
        "deadline": 900_000,
        "importance": 1.0,
        "group": "zone",
        "memory_span": 2_000_000,
    },
    {"name": "once", "semantics": "unsafe", "deadline": 3_000_000, "importance": 1.0},
]
SETTINGS: dict[str, Any] = {
    "lanes": LANES,
    "balancers": 2,
    "my_number": 1,
    "over_share_worth": 0.05,
    "orgs": [{"quota_per_s": 300.0}, {"quota_per_s": 40.0}],
    "limits": {
        "attempts_cap": 4,
        "parallel_tries": True,
        "cancelling": True,
        "retry_after": True,
        "max_retry_after": 600_000,
    },
    "guarantees": {"cold": 3_000_000, "cold_from": 0.2, "fall_multiple": 3.0},
    "prices": {"cross_zone": 0.02},
}
BAD = ("failure", "overloaded", "unreachable", "broken", "timed_out", "void")
FULL_LIST, CHANGES = 0, 2
GONE, READY, DRAINING = 0, 1, 2


def wire_form(action: Action) -> list[Any]:
    """The action as the simulator's wire has it: its name, then its values."""
    return WRITERS[type(action)](action)


def hidden_deadline_us(action: Action) -> int:
    """When a send may no longer start, which the wire does not have; 0: any time, or no send."""
    return action.send_by_us if isinstance(action, SendAttempt) else 0


def encoded(*values: Any) -> bytes:
    """What goes into a digest."""
    return json.dumps(values, separators=(",", ":")).encode() + b"\n"


def verdict(request: int, attempt: int, outcome: str, elapsed_us: int, closed: bool) -> Event:
    return READERS["verdict"](["verdict", request, None, closed, outcome, attempt, elapsed_us])


def server_list(kind: int, lines: list[Endpoint]) -> Event:
    return EndpointUpdate(LIST_KINDS[kind], tuple(lines))


def digest(seed: int, requests: int, servers: int = 12) -> tuple[str, int]:
    """The digest (hexadecimal) and how many actions there were."""
    module = Balancer(read_settings(SETTINGS), seed)
    chance, told = random.Random(seed), hashlib.sha256()
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
            wire = wire_form(action)
            told.update(encoded(wire, hidden_deadline_us(action)))
            match wire:
                case ["sleep", delay_us, tag]:
                    later(now + delay_us, READERS["alarm"](["alarm", tag]))
                case ["route", request, server, _]:
                    attempt = tries.get(request, 0)
                    tries[request] = attempt + 1
                    failing = server % 5 == (now // 4_000_000) % 5
                    wrong = chance.random() < (0.5 if failing else 0.02)
                    took = int(chance.expovariate(1 / 30_000))
                    took += chance.randrange(900_000) if wrong else 500
                    outcome = chance.choice(BAD) if wrong else "success"
                    later(now + took, verdict(request, attempt, outcome, took, not wrong))
                case ["revoke", request, attempt]:
                    later(now, verdict(request, attempt, "withdrawn", 1, True))

    feed(server_list(FULL_LIST, list(lines.values())))
    for request in range(requests):
        arrives = now + int(chance.expovariate(1 / 2_500))
        while pending and pending[0][0] <= arrives:
            at, _, event = heapq.heappop(pending)
            now = max(now, at)
            feed(event)
        now = arrives
        route = chance.choices(range(4), (6, 3, 1, 1))[0]
        give_up = now + LANES[route]["deadline"] - chance.randrange(200_000)
        tenant, repeat = chance.randrange(-1, 3), chance.random() < 0.02
        feed(READERS["job_in"](["job_in", request, route, give_up, 2 * repeat, None, None, tenant]))
        if chance.random() < 0.01:
            later(now + chance.randrange(50_000), READERS["hangup"](["hangup", request]))
        if chance.random() < 0.005:
            some = chance.randrange(servers)
            state = STATES[chance.choice((READY, DRAINING, GONE))]
            started = now if chance.random() < 0.5 else lines[some].started_us
            lines[some] = lines[some]._replace(status=state, started_us=started)
            feed(server_list(CHANGES, [lines[some]]))
        if chance.random() < 0.002:
            out = {chance.randrange(servers): (chance.randrange(3), 0)}
            feed(SiblingAttempts(out, chance.random() < 0.7))
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
