"""A deterministic world around some balancers: clients, servers and faults in simulated time.

The same scenario and seed bring the same events. Every action is hashed in its wire form; what
happens is counted, so that a scenario can show that it does what it is named for. Times are
microseconds.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from bench.decisions import encoded
from tests.recordings import adapter

START_US = 1_000_000
GONE, READY, DRAINING = 0, 1, 2
FULL_LIST, CACHED_LIST, CHANGES, FAILED_LIST = 0, 1, 2, 3
CLOSING = ("success", "timed_out", "withdrawn")  # outcomes after which the client has its answer
QUICK_US = 1_000  # what a server that refuses takes to say so
LATE_CONNECTIONS = 0.05  # part of the connections that come up late
LATEST_US = 250_000  # by how much at most
RANDOM_FAULTS = ("failure", "overloaded", "unreachable", "broken", "silent")
SPEEDS = (1.0, 0.6, 2.0)  # factor on the time that a server of each kind takes


@dataclass(frozen=True)
class Fault:
    """`kind` is a failed outcome, or "silent" (no answer) or "slow" (ten times the time). It hits
    `part` of the attempts at `servers` that start from `from_us` to `until_us` after the
    start."""

    kind: str
    servers: tuple[int, ...]
    from_us: int
    until_us: int
    part: float = 1.0


@dataclass(frozen=True)
class Scenario:
    """`lanes` of the settings get requests by `weights`, `per_s` of them in the whole. `least`
    says how often each thing must at least happen. `script` sets up what is particular to the
    scenario."""

    name: str
    settings: Mapping[str, Any]
    weights: tuple[int, ...]
    least: Mapping[str, int]
    gateways: int = 2
    servers: int = 8
    zones: int = 1
    kinds: int = 1
    requests: int = 2_000
    per_s: float = 250.0
    service_us: tuple[int, ...] = (20_000,)  # mean for each lane, or one for all
    places: int = 4  # requests that a server runs side by side; it turns away at twice that
    errors: float = 0.01
    slow_tail: float = 0.0  # part of the attempts that take ten times as long
    faults: tuple[Fault, ...] = ()
    listed: bool = True  # every gateway starts with the whole list
    warm_start: bool = True
    budget: Mapping[str, Any] | None = None
    long: float = 0.0
    tenants: tuple[int, ...] = ()  # weights; none: all of tenant 0
    sized: bool = False  # requests tell their work
    clients_retry: float = 0.0  # part of the refused requests that come again
    hangups: float = 0.01
    hangup_us: int = 50_000  # a client that hangs up does so within this
    script: Callable[[World], None] = lambda world: None


@dataclass
class Line:
    """A server, as discovery tells of it, and what it has in work."""

    number: int
    zone: int
    cell: int
    kind: int
    state: int = READY
    started_us: int | None = None
    busy: int = 0


@dataclass
class Sent:
    """A request as its client knows it."""

    route: int
    tenant: int
    give_up_us: int
    long: bool
    attempts: list[int] = field(default_factory=list)  # servers
    out: set[int] = field(default_factory=set)
    in_work: set[int] = field(default_factory=set)  # those that hold a place at their server


def log_name(text: str) -> str:
    """What a logged line is counted as: its words before the first value."""
    return "log " + " ".join(word for word in text.partition(":")[0].split() if "=" not in word)


class Gateway:
    """One balancer and its open requests."""

    def __init__(self, number: int, balancer: adapter.Balancer) -> None:
        self.number, self.balancer = number, balancer
        self.sent: dict[int, Sent] = {}


class World:
    """Plays one scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed, self.now = scenario, seed, START_US
        self.random = random.Random(seed)
        self.digest = hashlib.sha256()
        self.actions: Counter[str] = Counter()  # by their names on the wire
        self.seen: Counter[str] = Counter()
        self._pending: list[tuple[int, int, Callable[[], None]]] = []
        self._order = 0
        self._requests = 0
        started = None if scenario.warm_start else START_US - 400_000
        self.lines = [
            Line(
                number=i,
                zone=i % scenario.zones,
                cell=i % (2 * scenario.zones),
                kind=i % scenario.kinds,
                started_us=started,
            )
            for i in range(scenario.servers)
        ]
        self.gateways = [self.new_gateway(i) for i in range(scenario.gateways)]
        self.serving = list(self.gateways)  # those that get new requests

    # What scripts use.

    def at(self, when_us: int, act: Callable[[], None]) -> None:
        """Do something later, in order of time and then of calls."""
        self._order += 1
        heapq.heappush(self._pending, (max(when_us, self.now), self._order, act))

    def every(self, period_us: int, act: Callable[[], None]) -> None:
        """Do something again and again while requests come."""

        def again() -> None:
            if self._requests < self.scenario.requests:
                act()
                self.at(self.now + period_us, again)

        self.at(self.now + period_us, again)

    def half_way_us(self) -> int:
        return START_US + int(self.scenario.requests / self.scenario.per_s * 500_000)

    def new_gateway(self, number: int, seed: int = 0) -> Gateway:
        company = {"balancers": self.scenario.gateways, "my_number": number}
        settings = {**self.scenario.settings, **company}
        own_seed = self.seed * 1_000 + number + seed
        return Gateway(number, adapter.new_balancer(settings, own_seed, self.scenario.budget))

    def hash(self, *values: Any) -> None:
        self.digest.update(encoded(*values))

    def give_list(self, gateway: Gateway, kind: int, lines: list[Line] | None = None) -> None:
        told = [
            adapter.server_line(one.number, one.state, one.zone, one.cell, one.kind, one.started_us)
            for one in (self.lines if lines is None else lines)
        ]
        self.seen["lists"] += 1
        self.feed(gateway, adapter.server_list(kind, told))

    def change(self, number: int, state: int, restarted: bool = False) -> None:
        """Change a server, and tell every gateway of it."""
        line = self.lines[number]
        line.state = state
        if restarted:
            line.started_us = self.now
            self.seen["restarts"] += 1
        for gateway in self.gateways:
            self.give_list(gateway, CHANGES, [line])

    def change_any(self) -> None:
        """A server drains, goes, restarts or is back."""
        self.change(
            self.random.randrange(len(self.lines)),
            self.random.choice((READY, READY, DRAINING, GONE)),
            self.random.random() < 0.5,
        )

    def feed(self, gateway: Gateway, *events: adapter.Event) -> None:
        """Give a balancer its events and do what it decides."""
        for action in adapter.handle(gateway.balancer, self.now, events):
            wire = adapter.wire_form(action)
            latest_us = adapter.hidden_deadline_us(action)
            self.hash(self.now, gateway.number, wire, latest_us)
            self.actions[wire[0]] += 1
            self._do(gateway, wire, latest_us)

    # Clients.

    def play(self) -> None:
        for gateway in self.gateways if self.scenario.listed else []:
            self.give_list(gateway, FULL_LIST)
        self.scenario.script(self)
        self.at(self.now, self._clients)
        while self._pending:
            when_us, _, act = heapq.heappop(self._pending)
            self.now = when_us
            act()

    def _clients(self) -> None:
        """New requests at one gateway: mostly one, at times some at once."""
        gateway = self.random.choice(self.serving)
        count = 3 if self.random.random() < 0.05 else 1
        self.feed(gateway, *[self._request(gateway) for _ in range(count)])
        if self._requests < self.scenario.requests:
            gap_us = self.random.expovariate(self.scenario.per_s / 1e6 / 1.1)
            self.at(self.now + int(gap_us), self._clients)

    def _request(self, gateway: Gateway, again: Sent | None = None) -> adapter.Event:
        scenario, number = self.scenario, self._requests
        self._requests += 1
        if again is None:
            route = self.random.choices(range(len(scenario.weights)), scenario.weights)[0]
            deadline_us: int = scenario.settings["lanes"][route]["deadline"]
            tenants = scenario.tenants or (1,)
            tenant = self.random.choices(range(len(tenants)), tenants)[0]
            give_up_us = self.now + deadline_us - self.random.randrange(deadline_us // 10)
            sent = Sent(route, tenant, give_up_us, self.random.random() < scenario.long)
        else:
            sent = Sent(again.route, again.tenant, again.give_up_us, again.long)
            self.seen["repeats"] += 1
        gateway.sent[number] = sent
        self.seen["long"] += sent.long
        if self.random.random() < scenario.hangups:
            leaves_us = self.now + self.random.randrange(scenario.hangup_us)
            self.at(leaves_us, lambda: self._hang_up(gateway, number))
        work_us = None
        if scenario.sized:
            work_us = int(self._service_us(sent.route) * self.random.random() * 2)
        marks = bool(scenario.settings.get("clients", {}).get("marks_retry"))
        return adapter.arrived(
            number,
            sent.route,
            sent.give_up_us,
            work_us=work_us,
            tenant=sent.tenant,
            repeat=marks and again is not None,
            long=sent.long,
        )

    def _hang_up(self, gateway: Gateway, number: int) -> None:
        self.seen["hangups"] += 1
        self.feed(gateway, adapter.departed(number))

    def _refused(self, gateway: Gateway, number: int) -> None:
        sent = gateway.sent[number]
        self.seen[f"refused_tenant_{sent.tenant}"] += 1
        if self.random.random() < self.scenario.clients_retry:
            wait_us = 50_000 + self.random.randrange(100_000)
            if self.now + wait_us < sent.give_up_us:
                self.at(
                    self.now + wait_us, lambda: self.feed(gateway, self._request(gateway, sent))
                )

    # Servers.

    def _do(self, gateway: Gateway, wire: list[Any], latest_us: int) -> None:
        match wire:
            case ["sleep", delay_us, tag]:
                self.at(self.now + delay_us, lambda: self.feed(gateway, adapter.alarm(tag)))
            case ["route", request, server, _]:
                self._attempt(gateway, request, server, latest_us)
            case ["revoke", request, attempt]:
                self.at(self.now, lambda: self._end(gateway, request, attempt, "withdrawn", 1))
            case ["deny", request, _]:
                self._refused(gateway, request)
            case ["log", text]:
                self.seen[log_name(text)] += 1

    def _service_us(self, route: int) -> int:
        mean = self.scenario.service_us
        return mean[route] if len(mean) > 1 else mean[0]

    def _fault(self, line: Line) -> str:
        for fault in self.scenario.faults:
            within = fault.from_us <= self.now - START_US < fault.until_us
            if within and line.number in fault.servers:
                return fault.kind if self.random.random() < fault.part else ""
        if self.random.random() < self.scenario.errors:
            return self.random.choice(RANDOM_FAULTS)
        return "slow" if self.random.random() < self.scenario.slow_tail else ""

    def _attempt(self, gateway: Gateway, request: int, server: int, latest_us: int) -> None:
        sent, line = gateway.sent[request], self.lines[server]
        number = len(sent.attempts)
        self._count_send(sent, line, latest_us)
        sent.attempts.append(server)
        sent.out.add(number)
        late = self.random.random() < LATE_CONNECTIONS
        connect_us = self.random.randrange(LATEST_US) if late else 0
        fault = self._fault(line)
        if latest_us and self.now + connect_us > latest_us:
            return self._end_later(gateway, request, number, "void", connect_us)
        if line.state == GONE:
            fault = "unreachable"
        elif line.busy >= 2 * self.scenario.places:
            fault = "overloaded"
        if fault in ("failure", "overloaded", "unreachable"):
            return self._end_later(gateway, request, number, fault, QUICK_US + connect_us)
        line.busy += 1
        sent.in_work.add(number)
        took_us = self._took_us(sent, line) * (10 if fault == "slow" else 1) + connect_us
        if fault == "broken":
            return self._end_later(gateway, request, number, fault, took_us)
        left_us = sent.give_up_us - self.now
        if fault == "silent" or took_us > left_us:
            return self._end_later(gateway, request, number, "timed_out", left_us)
        if self.scenario.settings["lanes"][sent.route].get("stream"):
            begins_us = took_us // 2
            self.at(self.now + begins_us, lambda: self._stream(gateway, request, number, begins_us))
        self._end_later(gateway, request, number, "success", took_us)

    def _count_send(self, sent: Sent, line: Line, latest_us: int) -> None:
        lane = self.scenario.settings["lanes"][sent.route]
        self.seen[f"sends {lane['name']}"] += 1
        self.seen["hedges"] += bool(sent.out)
        retry = bool(sent.attempts) and not sent.out
        self.seen["retries"] += retry
        self.seen[f"retries {lane['name']}"] += retry
        self.seen["crossings"] += line.zone != self.scenario.settings.get("zone", 0)
        self.seen["sends_with_deadline"] += bool(latest_us)
        cold_us = self.scenario.settings.get("guarantees", {}).get("cold", 0)
        started_us = line.started_us
        self.seen["cold_sends"] += started_us is not None and self.now < started_us + cold_us

    def _took_us(self, sent: Sent, line: Line) -> int:
        crowd = 1.0 + line.busy / self.scenario.places
        mean_us = self._service_us(sent.route) * SPEEDS[line.kind] * crowd
        body_us = self.random.randrange(500_000) if sent.long else 0
        return 500 + int(self.random.expovariate(1.0 / mean_us)) + body_us

    def _stream(self, gateway: Gateway, request: int, attempt: int, elapsed_us: int) -> None:
        if attempt in gateway.sent[request].out:
            self.seen["streams"] += 1
            self.feed(gateway, adapter.stream_started(request, attempt, elapsed_us))

    def _end_later(
        self, gateway: Gateway, request: int, attempt: int, outcome: str, took_us: int
    ) -> None:
        self.at(self.now + took_us, lambda: self._end(gateway, request, attempt, outcome, took_us))

    def _end(
        self, gateway: Gateway, request: int, attempt: int, outcome: str, took_us: int
    ) -> None:
        sent = gateway.sent[request]
        if attempt not in sent.out:
            return  # called off meanwhile
        sent.out.remove(attempt)
        line = self.lines[sent.attempts[attempt]]
        if attempt in sent.in_work:
            sent.in_work.remove(attempt)
            line.busy -= 1
        self.seen[f"outcome {outcome}"] += 1
        closed = outcome in CLOSING
        events = [adapter.attempt_done(request, attempt, outcome, took_us, closed)]
        if self.scenario.budget is not None and line.zone != self.scenario.settings.get("zone", 0):
            events.append(adapter.cross_zone_bytes(2_000 + self.random.randrange(4_000)))
        self.feed(gateway, *events)
