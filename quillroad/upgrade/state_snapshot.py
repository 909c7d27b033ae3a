"""What a balancer has learned, as a document: out of one `Balancer`, into another. No I/O.

Hosts are told by their numbers, routes, tenants and machine types by their names, so that a new
process with another configuration takes what it can use and says what it cannot. Times are
microseconds of the balancer's clock, which both processes share (`SiblingEngine.epoch_us` goes
along), so nothing gets younger by moving.

With `work` the document holds the open requests, the queue and the timers too, and a balancer made
from it decides every event that follows as the first one would have. In service open requests stay
with the process that has their clients: the document goes without `work`, and their attempts are
told by `SiblingAttempts` instead.
"""

from __future__ import annotations

from quillroad.balancing.balancer import Balancer
from quillroad.balancing.state import Attempt, HostState, Request, RouteState
from quillroad.upgrade.state_adoption import ADOPTED_TIMERS, adopt
from quillroad.upgrade.state_document import (
    VERSION,
    AttemptKnown,
    Names,
    RequestKnown,
    RouteKnown,
    ServerKnown,
    StateSnapshot,
    Work,
)

__all__ = [
    "ADOPTED_TIMERS",
    "VERSION",
    "AttemptKnown",
    "Names",
    "RequestKnown",
    "RouteKnown",
    "ServerKnown",
    "StateSnapshot",
    "Work",
    "adopt",
    "attempts_in_flight",
    "export",
    "halve_retry_budgets",
]


def export(balancer: Balancer, names: Names, work: bool = False) -> StateSnapshot:
    """What `balancer` has learned; with `work` its open requests too. Changes nothing."""
    hosts = _HostTable(balancer)
    routes = [_route(route) for route in balancer.routes]
    opened = _work(balancer, hosts) if work else None
    chance = balancer.random.getstate()
    return StateSnapshot(
        now_us=balancer.now_us,
        servers=hosts.known,
        routes=routes,
        balancers=balancer.settings.gateway_count,
        quotas={
            name: (bucket.tokens, bucket.filled_us)
            for name, bucket in zip(names.tenants, balancer.tenant_buckets, strict=False)
        },
        paces={names.kind(kind): slowness for kind, slowness in balancer.machine_slowness.items()},
        mean_payoff=balancer.mean_payoff,
        recent=balancer.recent_requests,
        counted_us=balancer.recent_counted_us,
        admitted=balancer.admitted_ratio,
        mean_cost_us=balancer.mean_work_us,
        long_work_ratio=balancer.long_work_ratio,
        limit=balancer.concurrency_limit,
        crowding=balancer.latency_inflation,
        failed_calls=balancer.failed_polls,
        chance=(chance[0], chance[1], chance[2]),
        work=opened,
        born_us=balancer.started_us,
    )


def halve_retry_budgets(balancer: Balancer) -> None:
    """Halve the retry budgets before they are told: two processes would spend each twice."""
    for route in balancer.routes:
        route.retry_budget.tokens /= 2


def attempts_in_flight(balancer: Balancer) -> dict[int, tuple[int, int]]:
    """A balancer's own attempts in flight, and the overdue ones of them, by host.

    `SiblingAttempts` tells another process of them.
    """
    by_host = {}
    for number, host in balancer.hosts.items():
        in_flight = host.in_flight - host.sibling_in_flight
        if in_flight:
            by_host[number] = (in_flight, host.overdue - host.sibling_overdue)
    return by_host


class _HostTable:
    """The hosts of a document, each at its place."""

    def __init__(self, balancer: Balancer) -> None:
        self.known: list[ServerKnown] = []
        # By the identity of the state: a host that has gone has no other name.
        self._index: dict[int, int] = {}
        for host in balancer.hosts.values():
            self.of(host, True)

    def of(self, host: HostState, listed: bool = False) -> int:
        """The place of a host, which is added where it has none."""
        if id(host) not in self._index:
            self._index[id(host)] = len(self.known)
            self.known.append(_host_known(host, listed))
        return self._index[id(host)]


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
        slow_start_slot=host.slow_start_slot,
        slot_work_left_us=host.slot_work_left_us,
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


class _RequestTable:
    """The open requests of a document, each at its place."""

    def __init__(self, balancer: Balancer, hosts: _HostTable) -> None:
        self.known: list[RequestKnown] = []
        self._balancer = balancer
        self._hosts = hosts
        self._index: dict[int, int] = {}

    def of(self, request: Request) -> int:
        """The place of a request, which is added where it has none."""
        if id(request) not in self._index:
            self._index[id(request)] = len(self.known)
            self.known.append(self._request_known(request))
        return self._index[id(request)]

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
            registered=self._balancer.requests.get(request.id) is request,
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


def _work(balancer: Balancer, hosts: _HostTable) -> Work:
    requests = _RequestTable(balancer, hosts)
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
