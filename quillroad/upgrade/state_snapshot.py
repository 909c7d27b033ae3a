"""What the module knows, as a document: out of one `Balancer`, into another. No I/O.

Servers are told by their numbers, classes, tenants and machine types by their names, so that a new
process with another configuration takes what it can use and says what it can't. Times are
microseconds of the module's clock, which both processes share (`Engine.epoch_us` goes along), so
nothing gets younger by moving.

With `work` the document holds the open requests, the queue and the alarms too, and a balancer made
from it decides every event that follows as the first one would have. In service open requests stay
with the process that has their clients: the document goes without `work`, and what is out there is
told by `Beside` instead.

Adding a field: give it a default that means "not told", and count `VERSION` up only when the
meaning of a field that was there changes. `docs/design/upgrades.md` has the table of versions.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from msgspec import Struct

from quillroad.balancing.balancer import Attempt, Balancer, Request, ServerState
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import Outcome, RequestArrived

VERSION = 1

ALARMS = ("hedge", "shed", "send_again", "watch")  # what an alarm of the module can mean


class ServerKnown(Struct, array_like=True):
    """One server: its line of the list, and what was learned of it."""

    id: int
    state: int
    zone: int
    cell: int
    kind: int
    hint: float
    started_us: int | None
    payoff: float
    heard_us: int
    in_flight: int = 0
    overdue: int = 0
    missed_us: int = 0
    answered_us: int = -1
    ejections: int = 0
    ejected_until_us: int = 0
    turn: int = -1
    turn_us: float = 0.0
    listed: bool = True  # not, where only an open request still knows of it
    failures: int = 0


class RouteKnown(Struct):
    """One class."""

    name: str
    tokens: float
    cost_us: float
    samples: int
    try_us: float
    latency: list[int] = []


class AttemptKnown(Struct, array_like=True):
    """One copy of an open request; `server` is a place in the document's list of servers."""

    server: int
    sent_us: int
    outcome: str | None
    alone: bool
    late: bool
    full: bool


class RequestKnown(Struct, array_like=True):
    """One open request."""

    id: int
    route: int
    cost_us: float
    useful_us: int
    over: bool
    out: int
    groups: int
    closed: bool
    kept: bool  # among the module's requests, not only in its queue or behind an alarm
    attempts: list[AttemptKnown] = []
    long: bool = False


class Work(Struct):
    """What is open. Requests are told by their places in `requests`, alarms by what they mean."""

    requests: list[RequestKnown]
    queues: list[tuple[list[int], list[int]]]  # a pair for each class
    due: list[list[tuple[int, int, int]]]  # for each class: when, request, attempt
    alarms: list[tuple[int, str, int]]  # tag, meaning, request or -1
    tags: int
    queued: int


class Knowledge(Struct):
    """All of it. Shares of what all gateways have together (`limit`) are told with how many share."""

    now_us: int
    servers: list[ServerKnown]
    routes: list[RouteKnown]
    balancers: int = 1
    version: int = VERSION
    quotas: dict[str, tuple[float, int]] = {}  # a tenant's tokens, and when they were counted
    paces: dict[str, float] = {}
    mean_payoff: float | None = None
    recent: float = 0.0
    counted_us: int = 0
    admitted: float = 1.0
    mean_cost_us: float | None = None
    blocking_share: float = 0.0
    limit: float | None = None
    crowding: float = 1.0
    failed_calls: int = 0
    chance: tuple[int, tuple[int, ...], float | None] | None = None  # Python's random.Random
    work: Work | None = None
    born_us: int | None = (
        None  # turns at cold servers are this gateway's from then on, over all processes
    )


class Names(Struct):
    """The names that stand behind a balancer's numbers."""

    tenants: Sequence[str] = ()
    kinds: Sequence[str] = ()


def export(balancer: Balancer, names: Names, work: bool = False) -> Knowledge:
    """What `balancer` knows. Changes nothing."""
    servers = _Places(balancer)
    told = [_route(state) for state in balancer.routes]
    opened = _work(balancer, servers) if work else None
    chance = balancer.random.getstate()
    return Knowledge(
        now_us=balancer.now,
        servers=servers.known,
        routes=told,
        balancers=balancer.settings.gateway_count,
        quotas={
            name: (bucket.tokens, bucket.filled_us)
            for name, bucket in zip(names.tenants, balancer.quotas, strict=False)
        },
        paces={_kind(names, kind): pace for kind, pace in balancer.pace.items()},
        mean_payoff=balancer.mean_payoff,
        recent=balancer.recent,
        counted_us=balancer.counted_us,
        admitted=balancer.admitted,
        mean_cost_us=balancer.mean_cost_us,
        blocking_share=balancer.blocking_share,
        limit=balancer.limit,
        crowding=balancer.crowding,
        failed_calls=balancer.failed_calls,
        chance=(chance[0], chance[1], chance[2]),
        work=opened,
        born_us=balancer.born_us,
    )


def adopt(balancer: Balancer, told: Knowledge, names: Names) -> list[str]:
    """Give what is told to a balancer that has done no work yet; returns plain lines of what it
    could not use. The list of servers that it has stands where it is no older: it may not serve by
    one that another source has withdrawn meanwhile, so only those in both lists are learned of.
    Without a list it takes the told one.
    """
    left = []
    if told.version > VERSION:
        left.append(f"knowledge of version {told.version}: read as version {VERSION}")
    fresh = not balancer.servers
    states = [_server(balancer, one, fresh, bool(told.work)) for one in told.servers]
    unknown = sum(
        1 for one, state in zip(told.servers, states, strict=True) if one.listed and state is None
    )
    if unknown:
        left.append(f"{unknown} servers: not in the list held")
    if fresh:
        balancer.sort_out(told.now_us)
    routes = {state.spec.name: state for state in balancer.routes}
    for one in told.routes:
        if (route := routes.get(one.name)) is None:
            left.append(f"class {one.name!r}: not configured")
            continue
        route.budget.tokens, route.cost_us = one.tokens, max(1.0, one.cost_us)
        route.samples, route.try_us = one.samples, one.try_us
        for latency in one.latency[-route.latency.most :]:
            route.latency.append(latency)
    buckets = dict(zip(names.tenants, balancer.quotas, strict=False))
    for name, (tokens, filled_us) in told.quotas.items():
        if (bucket := buckets.get(name)) is None:
            left.append(f"tenant {name!r}: not configured")
        else:
            bucket.tokens, bucket.filled_us = tokens, filled_us
    kinds = {_kind(names, kind): kind for kind in [-1, *range(len(names.kinds))]}
    for name, pace in told.paces.items():
        if name in kinds:
            balancer.pace[kinds[name]] = pace
    _whole(balancer, told)
    if told.born_us is not None:
        balancer.born_us = told.born_us
    if told.work is not None:
        _open(balancer, told.work, [state or ServerState(Endpoint(-1)) for state in states])
    return left


def share_budgets(balancer: Balancer) -> None:
    """Halve the retry budgets before they are told: two processes that hold one would spend it
    twice.
    """
    for route in balancer.routes:
        route.budget.tokens /= 2


def out_at(balancer: Balancer) -> dict[int, tuple[int, int]]:
    """A balancer's own attempts that are out, and the overdue ones of them, by server: what
    `Beside` tells another process.
    """
    told = {}
    for number, s in balancer.servers.items():
        own = (s.in_flight - s.beside[0], s.overdue - s.beside[1])
        if own[0]:
            told[number] = own
    return told


def _whole(balancer: Balancer, told: Knowledge) -> None:
    balancer.now = max(balancer.now, told.now_us)
    balancer.recent, balancer.counted_us = told.recent, told.counted_us
    balancer.admitted = min(1.0, max(0.0, told.admitted))
    balancer.blocking_share, balancer.crowding = told.blocking_share, told.crowding
    balancer.failed_calls = told.failed_calls
    if told.mean_payoff is not None:
        balancer.mean_payoff = told.mean_payoff
    if told.mean_cost_us is not None:
        balancer.mean_cost_us = max(1.0, told.mean_cost_us)
    # In a window nothing is learned of it: it follows from how many share, and one of 1 would end
    # the window.
    if told.limit is not None and balancer.limit >= 1.0:
        balancer.limit = max(1.0, told.limit * told.balancers / balancer.settings.gateway_count)
    if told.chance is not None:
        balancer.random.setstate(told.chance)


def _kind(names: Names, kind: int) -> str:
    return names.kinds[kind] if 0 <= kind < len(names.kinds) else ""


class _Places:
    """The servers of a document, each at its place."""

    def __init__(self, balancer: Balancer) -> None:
        self.known: list[ServerKnown] = []
        self._places: dict[
            int, int
        ] = {}  # by the identity of the state: a gone server's has no other name
        for state in balancer.servers.values():
            self.of(state, True)

    def of(self, s: ServerState, listed: bool = False) -> int:
        if id(s) not in self._places:
            self._places[id(s)] = len(self.known)
            spec = s.spec
            self.known.append(
                ServerKnown(
                    spec.id,
                    spec.status.value,
                    spec.zone,
                    spec.cell,
                    spec.machine_type,
                    spec.weight,
                    spec.started_us,
                    s.payoff,
                    s.heard_us,
                    s.in_flight - s.beside[0],
                    s.overdue - s.beside[1],
                    s.missed_us,
                    s.answered_us,
                    s.ejections,
                    s.ejected_until_us,
                    s.turn,
                    s.turn_us,
                    listed,
                    s.failures,
                )
            )
        return self._places[id(s)]


def _route(state: Any) -> RouteKnown:
    return RouteKnown(
        state.spec.name,
        state.budget.tokens,
        state.cost_us,
        state.samples,
        state.try_us,
        list(state.latency.latest),
    )


def _server(balancer: Balancer, told: ServerKnown, fresh: bool, work: bool) -> ServerState | None:
    """The state that a told server has here; None where the list held does not have it."""
    state = balancer.servers.get(told.id) if told.listed else None
    if state is not None and (state.spec.started_us or 0) != (told.started_us or 0):
        return None  # it has restarted since: nothing that was learned holds
    if state is None:
        if not (fresh and told.listed) and not work:
            return None
        state = ServerState(
            Endpoint(
                told.id,
                EndpointStatus(told.state),
                told.zone,
                told.cell,
                told.kind,
                told.hint,
                told.started_us,
            )
        )
        if told.listed:
            balancer.servers[told.id] = state
            balancer.pace.setdefault(told.kind, 0.0)
    state.payoff, state.heard_us = told.payoff, told.heard_us
    state.missed_us, state.answered_us = told.missed_us, told.answered_us
    state.ejections, state.ejected_until_us = told.ejections, told.ejected_until_us
    state.turn, state.turn_us, state.failures = told.turn, told.turn_us, told.failures
    if work:
        state.in_flight, state.overdue = told.in_flight, told.overdue
        balancer.flying += told.in_flight - told.overdue
    return state


def _work(balancer: Balancer, servers: _Places) -> Work:
    requests: list[RequestKnown] = []
    places: dict[int, int] = {}

    def place(request: Request) -> int:
        if id(request) not in places:
            places[id(request)] = len(requests)
            requests.append(
                RequestKnown(
                    request.id,
                    balancer.routes.index(request.route),
                    request.cost_us,
                    request.useful_us,
                    request.over,
                    request.out,
                    request.groups,
                    request.closed,
                    balancer.requests.get(request.id) is request,
                    [
                        AttemptKnown(
                            servers.of(a.server),
                            a.sent_us,
                            a.outcome.value if a.outcome else None,
                            a.alone,
                            a.late,
                            a.full,
                        )
                        for a in request.attempts
                    ],
                    request.long,
                )
            )
        return places[id(request)]

    owners = {
        id(attempt): (place(request), i)
        for request in balancer.requests.values()
        for i, attempt in enumerate(request.attempts)
    }
    queues = [
        ([place(r) for r in route.queues[0]], [place(r) for r in route.queues[1]])
        for route in balancer.routes
    ]
    # An attempt that has its outcome is passed over when it is due: it need not go along.
    due = [
        [(at, *owners[id(a)]) for at, a in route.due if a.outcome is None and id(a) in owners]
        for route in balancer.routes
    ]
    alarms = [
        (tag, act.__name__, place(about) if isinstance(about, Request) else -1)
        for tag, (act, about) in balancer.alarms.items()
    ]
    return Work(requests, queues, due, alarms, balancer.tags, balancer.queued)


def _open(balancer: Balancer, work: Work, states: Sequence[ServerState]) -> None:
    requests = []
    for told in work.requests:
        route = balancer.routes[told.route]
        request = Request(
            RequestArrived(told.id, told.route, told.useful_us, long_body=told.long),
            route,
            0,
            told.over,
        )
        request.cost_us, request.useful_us = told.cost_us, told.useful_us
        request.out, request.groups, request.closed = told.out, told.groups, told.closed
        for one in told.attempts:
            attempt = Attempt(states[one.server], one.sent_us)
            attempt.outcome = Outcome(one.outcome) if one.outcome else None
            attempt.alone, attempt.late, attempt.full = one.alone, one.late, one.full
            request.attempts.append(attempt)
        requests.append(request)
        if told.kept:
            balancer.requests[told.id] = request
    for route, queues, due in zip(balancer.routes, work.queues, work.due, strict=True):
        for queue, places in zip(route.queues, queues, strict=True):
            queue.extend(requests[place] for place in places)
        route.due.extend((at, requests[place].attempts[number]) for at, place, number in due)
    for tag, meaning, place in work.alarms:
        if meaning in ALARMS:
            act: Callable[[Any], None] = getattr(balancer, meaning)
            balancer.alarms[tag] = (act, requests[place] if place >= 0 else None)
    balancer.tags, balancer.queued = work.tags, work.queued
