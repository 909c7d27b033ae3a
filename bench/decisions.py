"""A digest of a balancer's actions on a stream of events: `python -m bench.decisions`.

The same seed gives the same stream, from a small world of hosts that answer, fail, hang, drain,
restart and leave. Two forms of the balancer (plain and compiled, before and after a change that
must not change decisions) are compared by their digests. These are taken of the actions' wire form,
which does not change with the names of classes and fields.
"""

from __future__ import annotations

import argparse
import hashlib
import heapq
import itertools
import json
import random
import sys
from collections import Counter
from typing import Any, NamedTuple

from quillroad.balancing.actions import Action, SendAttempt
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, Event, SiblingAttempts, UpdateKind
from quillroad.balancing.platform_settings import read_settings
from quillroad.balancing.simulator import ACTION_ENCODERS, EVENT_DECODERS

# Of the balancer, as the platform gives them; times in microseconds.
ROUTES: list[dict[str, Any]] = [
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
    "lanes": ROUTES,
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
START_US = 1_000_000
DEFAULT_HOSTS = 12
ZONES, MACHINE_TYPES = 2, 3

# Clients. All choices and chances of this module are part of the recorded stream: a change of any,
# or of their order, changes every digest.
MEAN_ARRIVAL_GAP_US = 2_500
ROUTE_WEIGHTS = (6, 3, 1, 1)  # how often requests of each route come, in the order of `ROUTES`
MOST_EARLIER_US = 200_000  # by which a client gives up before its route's deadline
RETRY_MARK = 2  # bit of an arrival on the wire: the client marked it as a retry
RETRY_PROBABILITY = 0.02  # that a request has this mark
DISCONNECT_PROBABILITY = 0.01  # that a client leaves
MOST_DISCONNECT_US = 50_000  # after which it leaves at the latest

# Hosts: in each period another group of them, every fifth one, is at fault.
FAULT_GROUPS = 5
FAULT_PERIOD_US = 4_000_000
FAULTY_FAILURE_PROBABILITY, FAILURE_PROBABILITY = 0.5, 0.02  # of a host at fault, of any other
MEAN_ANSWER_US = 30_000
LEAST_ANSWER_US = 500
MOST_FAILURE_US = 900_000  # that a failure takes longer than an answer
FAILURES = ("failure", "overloaded", "unreachable", "broken", "timed_out", "void")

# What else the gateway hears, with its probability at each arrival.
STATUS_CHANGE_PROBABILITY = 0.005
RESTART_PROBABILITY = 0.5  # that a changed endpoint has started anew
STATUSES = (EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED)
SIBLING_PROBABILITY = 0.002
SLOW_START_OWNER_PROBABILITY = 0.7
MOST_SIBLING_ATTEMPTS = 2


def wire_form(action: Action) -> list[Any]:
    """The action as the simulator's wire has it: its name, then its values."""
    return ACTION_ENCODERS[type(action)](action)


def hidden_deadline_us(action: Action) -> int:
    """When a send may no longer start, which the wire does not have; 0: any time, or no send."""
    return action.send_by_us if isinstance(action, SendAttempt) else 0


def encoded(*values: Any) -> bytes:
    """JSON values in the form that goes into a digest: one line."""
    return json.dumps(values, separators=(",", ":")).encode() + b"\n"


class _Due(NamedTuple):
    """An event that happens at a time; those of one time happen in the order of their making."""

    at_us: int
    order: int
    event: Event


class World:
    """Clients and hosts around one balancer, in simulated time; all random choices by one seed.

    `digest` is of all actions so far, `action_count` how many there were.
    """

    def __init__(self, seed: int, hosts: int) -> None:
        self.digest = hashlib.sha256()
        self.action_count = 0
        self._balancer = Balancer(read_settings(SETTINGS), seed)
        self._random = random.Random(seed)
        self._now_us = START_US
        self._due: list[_Due] = []
        self._order = itertools.count(1)
        self._attempts: Counter[int] = Counter()  # how many there were, by request
        self._endpoints = [
            Endpoint(n, zone=n % ZONES, machine_type=n % MACHINE_TYPES) for n in range(hosts)
        ]

    def play(self, requests: int) -> None:
        """Tell the balancer its endpoints, then play so many requests."""
        self._feed(EndpointUpdate(UpdateKind.FULL, tuple(self._endpoints)))
        for request in range(requests):
            self._advance(self._now_us + int(self._random.expovariate(1 / MEAN_ARRIVAL_GAP_US)))
            self._arrive(request)
            self._maybe_disconnect(request)
            self._maybe_change_status()
            self._maybe_hear_sibling()

    # Time.

    def _advance(self, until_us: int) -> None:
        """Let all happen that is due by then, and what follows from it."""
        while self._due and self._due[0].at_us <= until_us:
            due = heapq.heappop(self._due)
            self._now_us = max(self._now_us, due.at_us)
            self._feed(due.event)
        self._now_us = until_us

    def _schedule(self, delay_us: int, event: Event) -> None:
        heapq.heappush(self._due, _Due(self._now_us + delay_us, next(self._order), event))

    def _schedule_message(self, delay_us: int, *message: Any) -> None:
        """Schedule an event by its wire form: the protocol's word, then its values."""
        self._schedule(delay_us, EVENT_DECODERS[message[0]](list(message)))

    # The balancer.

    def _feed(self, event: Event) -> None:
        """Give the balancer an event, and carry out its actions."""
        for action in self._balancer.handle(self._now_us, [event]):
            self.action_count += 1
            wire = wire_form(action)
            self.digest.update(encoded(wire, hidden_deadline_us(action)))
            self._carry_out(wire)

    def _carry_out(self, wire: list[Any]) -> None:
        match wire:
            case ["sleep", delay_us, timer]:
                self._schedule_message(delay_us, "alarm", timer)
            case ["route", request, host, _]:
                self._answer(request, host)
            case ["revoke", request, attempt]:
                self._finish(request, attempt, "withdrawn", elapsed_us=1, answered=True)

    # The hosts.

    def _answer(self, request: int, host: int) -> None:
        """Let a host answer or fail an attempt, some time from now."""
        attempt = self._attempts[request]
        self._attempts[request] += 1
        at_fault = host % FAULT_GROUPS == (self._now_us // FAULT_PERIOD_US) % FAULT_GROUPS
        probability = FAULTY_FAILURE_PROBABILITY if at_fault else FAILURE_PROBABILITY
        fails = self._random.random() < probability
        elapsed_us = int(self._random.expovariate(1 / MEAN_ANSWER_US))
        elapsed_us += self._random.randrange(MOST_FAILURE_US) if fails else LEAST_ANSWER_US
        outcome = self._random.choice(FAILURES) if fails else "success"
        self._finish(request, attempt, outcome, elapsed_us, answered=not fails, after_us=elapsed_us)

    def _finish(
        self,
        request: int,
        attempt: int,
        outcome: str,
        elapsed_us: int,
        answered: bool,
        after_us: int = 0,
    ) -> None:
        """Schedule the end of an attempt; `answered`: the client has its final answer by it."""
        verdict = ("verdict", request, None, answered, outcome, attempt, elapsed_us)
        self._schedule_message(after_us, *verdict)

    # What happens at random.

    def _arrive(self, request: int) -> None:
        """A client sends a request."""
        route = self._random.choices(range(len(ROUTES)), ROUTE_WEIGHTS)[0]
        deadline_us = self._now_us + ROUTES[route]["deadline"]
        deadline_us -= self._random.randrange(MOST_EARLIER_US)
        tenant = self._random.randrange(-1, 3)
        marks = RETRY_MARK * (self._random.random() < RETRY_PROBABILITY)
        arrival = ["job_in", request, route, deadline_us, marks, None, None, tenant]
        self._feed(EVENT_DECODERS["job_in"](arrival))

    def _maybe_disconnect(self, request: int) -> None:
        """The client may leave before it has its answer, or just after."""
        if self._random.random() < DISCONNECT_PROBABILITY:
            delay_us = self._random.randrange(MOST_DISCONNECT_US)
            self._schedule_message(delay_us, "hangup", request)

    def _maybe_change_status(self) -> None:
        """Discovery may tell of an endpoint that has changed."""
        if self._random.random() >= STATUS_CHANGE_PROBABILITY:
            return
        number = self._random.randrange(len(self._endpoints))
        status = self._random.choice(STATUSES)
        old = self._endpoints[number]
        restarts = self._random.random() < RESTART_PROBABILITY
        started_us = self._now_us if restarts else old.started_us
        changed = old._replace(status=status, started_us=started_us)
        self._endpoints[number] = changed
        self._feed(EndpointUpdate(UpdateKind.INCREMENTAL, (changed,)))

    def _maybe_hear_sibling(self) -> None:
        """A sibling process may tell of its attempts at one host, and who owns the slow start."""
        if self._random.random() >= SIBLING_PROBABILITY:
            return
        host = self._random.randrange(len(self._endpoints))
        attempts = self._random.randrange(MOST_SIBLING_ATTEMPTS + 1)
        owns_slow_start = self._random.random() < SLOW_START_OWNER_PROBABILITY
        self._feed(SiblingAttempts({host: (attempts, 0)}, owns_slow_start))


def digest(seed: int, requests: int, hosts: int = DEFAULT_HOSTS) -> tuple[str, int]:
    """The digest of all actions (hexadecimal SHA-256), and how many there were."""
    world = World(seed, hosts)
    world.play(requests)
    return world.digest.hexdigest(), world.action_count


def main() -> int:
    """Print the digest and the number of actions; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=20_000)
    args = parser.parse_args()
    print(*digest(args.seed, args.requests))
    return 0


if __name__ == "__main__":
    sys.exit(main())
