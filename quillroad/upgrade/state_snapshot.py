"""What a balancer has learned, as a document: out of one `Balancer`, into another. No I/O.

Hosts are told by their numbers, routes, tenants and machine types by their names, so that a new
process with another configuration takes what it can use and says what it cannot. Times are
microseconds of the balancer's clock, which both processes share (`Engine.epoch_us` goes along), so
nothing gets younger by moving.

With `work` the document holds the open requests, the queue and the timers too, and a balancer made
from it decides every event that follows as the first one would have. In service open requests stay
with the process that has their clients: the document goes without `work`, and their attempts are
told by `SiblingAttempts` instead.
"""

from __future__ import annotations

from collections.abc import Sequence

from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.endpoints import refresh_candidates
from quillroad.balancing.events import Outcome, RequestArrived
from quillroad.balancing.state import Attempt, HostState, Request, RouteState
from quillroad.balancing.timers import Timer, TimerPurpose
from quillroad.upgrade.state_document import (
    VERSION,
    AttemptKnown,
    Knowledge,
    Names,
    RequestKnown,
    RouteKnown,
    ServerKnown,
    Work,
)

__all__ = [
    "ALARMS",
    "VERSION",
    "AttemptKnown",
    "Knowledge",
    "Names",
    "RequestKnown",
    "RouteKnown",
    "ServerKnown",
    "Work",
    "adopt",
    "export",
    "out_at",
    "share_budgets",
]

ALARMS = (
    TimerPurpose.HEDGE.value,
    TimerPurpose.QUEUE_TIMEOUT.value,
    TimerPurpose.RETRY.value,
    TimerPurpose.WATCH_ENDPOINTS.value,
)
"""Purposes of the timers that are taken over. The others go by permits and pauses, which start anew
with the new process."""


def export(balancer: Balancer, names: Names, work: bool = False) -> Knowledge:
    """What `balancer` has learned; with `work` its open requests too. Changes nothing."""
    hosts = _Places(balancer)
    routes = [_route(route) for route in balancer.routes]
    opened = _work(balancer, hosts) if work else None
    chance = balancer.random.getstate()
    return Knowledge(
        now_us=balancer.now_us,
        servers=hosts.known,
        routes=routes,
        balancers=balancer.settings.gateway_count,
        quotas={
            name: (bucket.tokens, bucket.filled_us)
            for name, bucket in zip(names.tenants, balancer.tenant_buckets, strict=False)
        },
        paces={
            _kind(names, kind): slowness for kind, slowness in balancer.machine_slowness.items()
        },
        mean_payoff=balancer.mean_payoff,
        recent=balancer.recent_requests,
        counted_us=balancer.recent_counted_us,
        admitted=balancer.admitted_ratio,
        mean_cost_us=balancer.mean_work_us,
        blocking_share=balancer.long_work_ratio,
        limit=balancer.concurrency_limit,
        crowding=balancer.latency_inflation,
        failed_calls=balancer.failed_polls,
        chance=(chance[0], chance[1], chance[2]),
        work=opened,
        born_us=balancer.started_us,
    )


def adopt(balancer: Balancer, told: Knowledge, names: Names) -> list[str]:
    """Give what is told to a balancer that has done no work yet.

    Returns plain lines of what it could not use. The endpoint list that it has stands where it has
    one: it may not serve by one that another source has withdrawn meanwhile, so only hosts in both
    lists are learned of. Without a list it takes the told one.
    """
    left = []
    if told.version > VERSION:
        left.append(f"knowledge of version {told.version}: read as version {VERSION}")
    hosts = _adopt_hosts(balancer, told, left)
    left += _adopt_routes(balancer, told)
    left += _adopt_tenants(balancer, told, names)
    kinds = {_kind(names, kind): kind for kind in [-1, *range(len(names.kinds))]}
    for name, slowness in told.paces.items():
        if name in kinds:
            balancer.machine_slowness[kinds[name]] = slowness
    _adopt_means(balancer, told)
    if told.work is not None:
        _open(balancer, told.work, [host or HostState(Endpoint(-1)) for host in hosts])
    return left


def _adopt_hosts(balancer: Balancer, told: Knowledge, left: list[str]) -> list[HostState | None]:
    """The hosts here, in the document's order; None where the list held does not have one."""
    fresh = not balancer.hosts
    hosts = [_host(balancer, one, fresh, bool(told.work)) for one in told.servers]
    unknown = sum(
        1 for one, host in zip(told.servers, hosts, strict=True) if one.listed and host is None
    )
    if unknown:
        left.append(f"{unknown} servers: not in the list held")
    balancer.now_us = max(balancer.now_us, told.now_us)
    if fresh:
        refresh_candidates(balancer)
    return hosts


def _adopt_routes(balancer: Balancer, told: Knowledge) -> list[str]:
    left = []
    routes = {route.settings.name: route for route in balancer.routes}
    for one in told.routes:
        route = routes.get(one.name)
        if route is None:
            left.append(f"class {one.name!r}: not configured")
            continue
        route.retry_budget.tokens = one.tokens
        route.uncrowded_latency_us = max(1.0, one.cost_us)
        route.samples = one.samples
        route.client_wait_us = one.try_us
        for latency_us in one.latency[-route.latency.capacity :]:
            route.latency.append(latency_us)
    return left


def _adopt_tenants(balancer: Balancer, told: Knowledge, names: Names) -> list[str]:
    left = []
    buckets = dict(zip(names.tenants, balancer.tenant_buckets, strict=False))
    for name, (tokens, filled_us) in told.quotas.items():
        bucket = buckets.get(name)
        if bucket is None:
            left.append(f"tenant {name!r}: not configured")
        else:
            bucket.tokens = tokens
            bucket.filled_us = filled_us
    return left


def share_budgets(balancer: Balancer) -> None:
    """Halve the retry budgets before they are told: two processes would spend each twice."""
    for route in balancer.routes:
        route.retry_budget.tokens /= 2


def out_at(balancer: Balancer) -> dict[int, tuple[int, int]]:
    """A balancer's own attempts in flight, and the overdue ones of them, by host.

    `SiblingAttempts` tells another process of them.
    """
    told = {}
    for number, host in balancer.hosts.items():
        in_flight = host.in_flight - host.sibling_in_flight
        if in_flight:
            told[number] = (in_flight, host.overdue - host.sibling_overdue)
    return told


def _adopt_means(balancer: Balancer, told: Knowledge) -> None:
    balancer.recent_requests = told.recent
    balancer.recent_counted_us = told.counted_us
    balancer.admitted_ratio = min(1.0, max(0.0, told.admitted))
    balancer.long_work_ratio = told.blocking_share
    balancer.latency_inflation = told.crowding
    balancer.failed_polls = told.failed_calls
    if told.mean_payoff is not None:
        balancer.mean_payoff = told.mean_payoff
    if told.mean_cost_us is not None:
        balancer.mean_work_us = max(1.0, told.mean_cost_us)
    # In a subset the limit is not learned: it follows from the number of gateways, and one of 1
    # would end the subset.
    if told.limit is not None and balancer.concurrency_limit >= 1.0:
        balancer.concurrency_limit = max(
            1.0, told.limit * told.balancers / balancer.settings.gateway_count
        )
    if told.chance is not None:
        balancer.random.setstate(told.chance)
    if told.born_us is not None:
        balancer.started_us = told.born_us


def _kind(names: Names, kind: int) -> str:
    return names.kinds[kind] if 0 <= kind < len(names.kinds) else ""


class _Places:
    """The hosts of a document, each at its place."""

    def __init__(self, balancer: Balancer) -> None:
        self.known: list[ServerKnown] = []
        # By the identity of the state: a host that has gone has no other name.
        self._places: dict[int, int] = {}
        for host in balancer.hosts.values():
            self.of(host, True)

    def of(self, host: HostState, listed: bool = False) -> int:
        """The place of a host, which is added where it has none."""
        if id(host) not in self._places:
            self._places[id(host)] = len(self.known)
            self.known.append(_host_known(host, listed))
        return self._places[id(host)]


def _host_known(host: HostState, listed: bool) -> ServerKnown:
    endpoint = host.endpoint
    return ServerKnown(
        id=endpoint.id,
        state=endpoint.status.value,
        zone=endpoint.zone,
        cell=endpoint.cell,
        kind=endpoint.machine_type,
        hint=endpoint.weight,
        started_us=endpoint.started_us,
        payoff=host.payoff,
        heard_us=host.heard_us,
        in_flight=host.in_flight - host.sibling_in_flight,
        overdue=host.overdue - host.sibling_overdue,
        missed_us=host.newest_overdue_sent_us,
        answered_us=host.newest_answered_sent_us,
        ejections=host.ejections,
        ejected_until_us=host.ejected_until_us,
        turn=host.slow_start_slot,
        turn_us=host.slot_work_left_us,
        listed=listed,
        failures=host.consecutive_failures,
    )


def _route(route: RouteState) -> RouteKnown:
    return RouteKnown(
        route.settings.name,
        route.retry_budget.tokens,
        route.uncrowded_latency_us,
        route.samples,
        route.client_wait_us,
        list(route.latency.latest),
    )


def _host(balancer: Balancer, told: ServerKnown, fresh: bool, work: bool) -> HostState | None:
    """The state that a told host has here; None where the list held does not have it."""
    host = balancer.hosts.get(told.id) if told.listed else None
    if host is not None and _has_restarted(host, told):
        return None  # nothing that was learned holds
    if host is None:
        if not (fresh and told.listed) and not work:
            return None
        host = _new_host(balancer, told)
    host.payoff = told.payoff
    host.heard_us = told.heard_us
    host.newest_overdue_sent_us = told.missed_us
    host.newest_answered_sent_us = told.answered_us
    host.ejections = told.ejections
    host.ejected_until_us = told.ejected_until_us
    host.slow_start_slot = told.turn
    host.slot_work_left_us = told.turn_us
    host.consecutive_failures = told.failures
    if work:
        host.in_flight = told.in_flight
        host.overdue = told.overdue
        balancer.in_flight += told.in_flight - told.overdue
    return host


def _has_restarted(host: HostState, told: ServerKnown) -> bool:
    return (host.endpoint.started_us or 0) != (told.started_us or 0)


def _new_host(balancer: Balancer, told: ServerKnown) -> HostState:
    status = EndpointStatus(told.state)
    host = HostState(
        Endpoint(told.id, status, told.zone, told.cell, told.kind, told.hint, told.started_us)
    )
    if told.listed:
        balancer.hosts[told.id] = host
        balancer.machine_slowness.setdefault(told.kind, 0.0)
    return host


class _Requests:
    """The open requests of a document, each at its place."""

    def __init__(self, balancer: Balancer, hosts: _Places) -> None:
        self.known: list[RequestKnown] = []
        self._balancer = balancer
        self._hosts = hosts
        self._places: dict[int, int] = {}

    def of(self, request: Request) -> int:
        """The place of a request, which is added where it has none."""
        if id(request) not in self._places:
            self._places[id(request)] = len(self.known)
            self.known.append(self._request_known(request))
        return self._places[id(request)]

    def _request_known(self, request: Request) -> RequestKnown:
        return RequestKnown(
            id=request.id,
            route=self._balancer.routes.index(request.route),
            cost_us=request.work_us,
            useful_us=request.useful_until_us,
            over=request.over_quota,
            out=request.in_flight,
            groups=request.retry_groups,
            closed=request.closed,
            kept=self._balancer.requests.get(request.id) is request,
            attempts=[self._attempt_known(attempt) for attempt in request.attempts],
            long=request.long_body,
        )

    def _attempt_known(self, attempt: Attempt) -> AttemptKnown:
        return AttemptKnown(
            server=self._hosts.of(attempt.host),
            sent_us=attempt.sent_us,
            outcome=attempt.outcome.value if attempt.outcome else None,
            alone=attempt.alone,
            late=attempt.overdue,
            full=attempt.filled_host,
        )


def _work(balancer: Balancer, hosts: _Places) -> Work:
    requests = _Requests(balancer, hosts)
    owners = {
        id(attempt): (requests.of(request), number)
        for request in balancer.requests.values()
        for number, attempt in enumerate(request.attempts)
    }
    queues = [
        ([requests.of(r) for r in route.queues[0]], [requests.of(r) for r in route.queues[1]])
        for route in balancer.routes
    ]
    due = [_due(route, owners) for route in balancer.routes]
    alarms = [
        (number, timer.purpose.value, -1 if timer.request is None else requests.of(timer.request))
        for number, timer in balancer.timers.items()
    ]
    return Work(requests.known, queues, due, alarms, balancer.last_timer_id, balancer.queued)


def _due(route: RouteState, owners: dict[int, tuple[int, int]]) -> list[tuple[int, int, int]]:
    """When each attempt is overdue, its request's place and its number.

    An attempt that has its outcome is passed over when it is overdue: it need not go along.
    """
    return [
        (at_us, *owners[id(attempt)])
        for at_us, attempt in route.overdue_schedule
        if attempt.outcome is None and id(attempt) in owners
    ]


def _open(balancer: Balancer, work: Work, hosts: Sequence[HostState]) -> None:
    requests = []
    for told in work.requests:
        request = _open_request(balancer, told, hosts)
        requests.append(request)
        if told.kept:
            balancer.requests[told.id] = request
    for route, queues, due in zip(balancer.routes, work.queues, work.due, strict=True):
        for queue, places in zip(route.queues, queues, strict=True):
            queue.extend(requests[place] for place in places)
        route.overdue_schedule.extend(
            (at_us, requests[place].attempts[number]) for at_us, place, number in due
        )
    for timer_id, purpose, place in work.alarms:
        if purpose in ALARMS:
            request_of_timer = requests[place] if place >= 0 else None
            balancer.timers[timer_id] = Timer(TimerPurpose(purpose), request_of_timer)
    balancer.last_timer_id = work.tags
    balancer.queued = work.queued


def _open_request(balancer: Balancer, told: RequestKnown, hosts: Sequence[HostState]) -> Request:
    arrival = RequestArrived(told.id, told.route, told.useful_us, long_body=told.long)
    request = Request(arrival, balancer.routes[told.route], 0, told.over)
    request.work_us = told.cost_us
    request.useful_until_us = told.useful_us
    request.in_flight = told.out
    request.retry_groups = told.groups
    request.closed = told.closed
    for one in told.attempts:
        attempt = Attempt(hosts[one.server], one.sent_us)
        attempt.outcome = Outcome(one.outcome) if one.outcome else None
        attempt.alone = one.alone
        attempt.overdue = one.late
        attempt.filled_host = one.full
        request.attempts.append(attempt)
    return request
