"""Export of what a balancer has learned as a state snapshot, for another process. No I/O.

The snapshot identifies hosts by number, and routes, tenants and machine types by name, so that a
new process with another configuration uses what it can and reports the rest. Times are microseconds
of the balancer's clock. Both processes use the same clock (`SiblingEngine.epoch_us` is handed over
too), so all ages stay the same.

With `work` the snapshot also holds the open requests, the queues and the timers, and a balancer
loaded from it makes the same decisions on all later events as the first one would have made. In
service, open requests stay with the process that holds their client connections: the snapshot is
then sent without `work`, and `SiblingAttempts` reports their attempts instead.
"""

from __future__ import annotations

from quillroad.balancing.balancer import Balancer
from quillroad.balancing.state import Attempt, HostState, Request, RouteState
from quillroad.upgrade.state_adoption import ADOPTED_TIMERS, adopt
from quillroad.upgrade.state_document import (
    VERSION,
    AttemptRecord,
    HostRecord,
    Names,
    RequestRecord,
    RouteRecord,
    StateSnapshot,
    Work,
)

__all__ = [
    "ADOPTED_TIMERS",
    "VERSION",
    "AttemptRecord",
    "HostRecord",
    "Names",
    "RequestRecord",
    "RouteRecord",
    "StateSnapshot",
    "Work",
    "adopt",
    "attempts_in_flight",
    "export",
    "halve_retry_budgets",
]


def export(balancer: Balancer, names: Names, work: bool = False) -> StateSnapshot:
    """Return what `balancer` has learned; with `work` its open requests too. Changes nothing."""
    hosts = _HostTable(balancer)
    routes = [_route_known(route) for route in balancer.routes]
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
    """Halve the retry budgets before the export: two processes would spend each token twice."""
    for route in balancer.routes:
        route.retry_budget.tokens /= 2


def attempts_in_flight(balancer: Balancer) -> dict[int, tuple[int, int]]:
    """Return the number of a balancer's own attempts in flight and of overdue ones, by host.

    Hosts without attempts are left out. The other process receives it as `SiblingAttempts`.
    """
    by_host = {}
    for number, host in balancer.hosts.items():
        in_flight = host.in_flight - host.sibling_in_flight
        if in_flight:
            by_host[number] = (in_flight, host.overdue - host.sibling_overdue)
    return by_host


class _HostTable:
    """The hosts of a snapshot, and the index of each."""

    def __init__(self, balancer: Balancer) -> None:
        self.known: list[HostRecord] = []
        # By id() of the state: the number of a removed host may be in use by another host.
        self._index: dict[int, int] = {}
        for host in balancer.hosts.values():
            self.index_of(host, True)

    def index_of(self, host: HostState, listed: bool = False) -> int:
        """Return the index of a host, which is added if it is new."""
        if id(host) not in self._index:
            self._index[id(host)] = len(self.known)
            self.known.append(_host_known(host, listed))
        return self._index[id(host)]


def _host_known(host: HostState, listed: bool) -> HostRecord:
    endpoint = host.endpoint
    return HostRecord(
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


def _route_known(route: RouteState) -> RouteRecord:
    return RouteRecord(
        route.settings.name,
        route.retry_budget.tokens,
        route.uncrowded_latency_us,
        route.samples,
        route.client_wait_us,
        list(route.latency.latest),
    )


class _RequestTable:
    """The open requests of a snapshot, and the index of each."""

    def __init__(self, balancer: Balancer, hosts: _HostTable) -> None:
        self.known: list[RequestRecord] = []
        self._balancer = balancer
        self._hosts = hosts
        self._index: dict[int, int] = {}

    def index_of(self, request: Request) -> int:
        """Return the index of a request, which is added if it is new."""
        if id(request) not in self._index:
            self._index[id(request)] = len(self.known)
            self.known.append(self._request_known(request))
        return self._index[id(request)]

    def _request_known(self, request: Request) -> RequestRecord:
        return RequestRecord(
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

    def _attempt_known(self, attempt: Attempt) -> AttemptRecord:
        return AttemptRecord(
            server=self._hosts.index_of(attempt.host),
            sent_us=attempt.sent_us,
            outcome=attempt.outcome.value if attempt.outcome else None,
            alone=attempt.alone,
            late=attempt.overdue,
            full=attempt.filled_host,
        )


def _work(balancer: Balancer, hosts: _HostTable) -> Work:
    requests = _RequestTable(balancer, hosts)
    owners = {
        id(attempt): (requests.index_of(request), number)
        for request in balancer.requests.values()
        for number, attempt in enumerate(request.attempts)
    }
    queues = [
        (
            [requests.index_of(queued_request) for queued_request in route.queues[0]],
            [requests.index_of(queued_request) for queued_request in route.queues[1]],
        )
        for route in balancer.routes
    ]
    due = [_due(route, owners) for route in balancer.routes]
    alarms = [
        (
            number,
            timer.purpose.value,
            -1 if timer.request is None else requests.index_of(timer.request),
        )
        for number, timer in balancer.timers.items()
    ]
    return Work(requests.known, queues, due, alarms, balancer.last_timer_id, balancer.queued)


def _due(route: RouteState, owners: dict[int, tuple[int, int]]) -> list[tuple[int, int, int]]:
    """Return when each attempt becomes overdue, the index of its request and its number there.

    Attempts that have an outcome are left out: the overdue check would skip them.
    """
    return [
        (at_us, *owners[id(attempt)])
        for at_us, attempt in route.overdue_schedule
        if attempt.outcome is None and id(attempt) in owners
    ]
