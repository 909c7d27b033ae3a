"""Loading of a state snapshot into a new balancer. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.endpoints import refresh_candidates
from quillroad.balancing.events import Outcome, RequestArrived
from quillroad.balancing.state import Attempt, HostState, Request
from quillroad.balancing.timers import Timer, TimerPurpose
from quillroad.upgrade.state_document import (
    VERSION,
    HostRecord,
    Names,
    RequestRecord,
    StateSnapshot,
    Work,
)

ADOPTED_TIMERS = (
    TimerPurpose.HEDGE.value,
    TimerPurpose.QUEUE_TIMEOUT.value,
    TimerPurpose.RETRY.value,
    TimerPurpose.WATCH_ENDPOINTS.value,
)
"""Purposes of the timers that are restored. The other timers depend on permits and pauses, which
start anew in the new process."""


def adopt(balancer: Balancer, document: StateSnapshot, names: Names) -> list[str]:
    """Load a state snapshot into a balancer that has handled no requests yet.

    Returns one line of text for each thing that could not be used. A balancer that has an endpoint
    list keeps it, because the list in the snapshot may have been withdrawn since; learned state is
    then loaded only for hosts in both lists. A balancer without a list takes that of the snapshot.
    """
    unusable = []
    if document.version > VERSION:
        unusable.append(f"state snapshot of version {document.version}: read as version {VERSION}")
    hosts = _adopt_hosts(balancer, document, unusable)
    unusable += _adopt_routes(balancer, document)
    unusable += _adopt_tenants(balancer, document, names)
    kinds = {names.kind(kind): kind for kind in [-1, *range(len(names.kinds))]}
    for name, slowness in document.paces.items():
        if name in kinds:
            balancer.machine_slowness[kinds[name]] = slowness
    _adopt_means(balancer, document)
    if document.work is not None:
        _adopt_work(balancer, document.work, [host or HostState(Endpoint(-1)) for host in hosts])
    return unusable


def _adopt_hosts(
    balancer: Balancer, document: StateSnapshot, unusable: list[str]
) -> list[HostState | None]:
    """Restore the hosts, in the document's order; None for one that is not in the list here."""
    fresh = not balancer.hosts
    hosts = [_restore_host(balancer, one, fresh, bool(document.work)) for one in document.servers]
    unknown = sum(
        1 for one, host in zip(document.servers, hosts, strict=True) if one.listed and host is None
    )
    if unknown:
        unusable.append(f"{unknown} servers: not in the list held")
    balancer.now_us = max(balancer.now_us, document.now_us)
    if fresh:
        refresh_candidates(balancer)
    return hosts


def _adopt_routes(balancer: Balancer, document: StateSnapshot) -> list[str]:
    unusable = []
    routes = {route.settings.name: route for route in balancer.routes}
    for one in document.routes:
        route = routes.get(one.name)
        if route is None:
            unusable.append(f"class {one.name!r}: not configured")
            continue
        route.retry_budget.tokens = one.tokens
        route.uncrowded_latency_us = max(1.0, one.cost_us)
        route.samples = one.samples
        route.client_wait_us = one.try_us
        for latency_us in one.latency[-route.latency.capacity :]:
            route.latency.append(latency_us)
    return unusable


def _adopt_tenants(balancer: Balancer, document: StateSnapshot, names: Names) -> list[str]:
    unusable = []
    buckets = dict(zip(names.tenants, balancer.tenant_buckets, strict=False))
    for name, (tokens, filled_us) in document.quotas.items():
        bucket = buckets.get(name)
        if bucket is None:
            unusable.append(f"tenant {name!r}: not configured")
        else:
            bucket.tokens = tokens
            bucket.filled_us = filled_us
    return unusable


def _adopt_means(balancer: Balancer, document: StateSnapshot) -> None:
    balancer.recent_requests = document.recent
    balancer.recent_counted_us = document.counted_us
    balancer.admitted_ratio = min(1.0, max(0.0, document.admitted))
    balancer.long_work_ratio = document.long_work_ratio
    balancer.latency_inflation = document.crowding
    balancer.failed_polls = document.failed_calls
    if document.mean_payoff is not None:
        balancer.mean_payoff = document.mean_payoff
    if document.mean_cost_us is not None:
        balancer.mean_work_us = max(1.0, document.mean_cost_us)
    # With subsetting the limit is not learned but follows from the number of gateways: it is below
    # 1.0, and raising it to 1.0 would switch the subset off.
    if document.limit is not None and balancer.concurrency_limit >= 1.0:
        balancer.concurrency_limit = max(
            1.0, document.limit * document.balancers / balancer.settings.gateway_count
        )
    if document.chance is not None:
        balancer.random.setstate(document.chance)
    if document.born_us is not None:
        balancer.started_us = document.born_us


def _restore_host(
    balancer: Balancer, document: HostRecord, fresh: bool, work: bool
) -> HostState | None:
    """Restore one host; None if it is not in the endpoint list here or has restarted."""
    host = balancer.hosts.get(document.id) if document.listed else None
    if host is not None and _has_restarted(host, document):
        return None  # what was learned is no longer valid
    if host is None:
        if not (fresh and document.listed) and not work:
            return None
        host = _new_host(balancer, document)
    host.payoff = document.payoff
    host.heard_us = document.heard_us
    host.newest_overdue_sent_us = document.missed_us
    host.newest_answered_sent_us = document.answered_us
    host.ejections = document.ejections
    host.ejected_until_us = document.ejected_until_us
    host.slow_start_slot = document.slow_start_slot
    host.slot_work_left_us = document.slot_work_left_us
    host.consecutive_failures = document.failures
    if work:
        host.in_flight = document.in_flight
        host.overdue = document.overdue
        balancer.in_flight += document.in_flight - document.overdue
    return host


def _has_restarted(host: HostState, document: HostRecord) -> bool:
    return (host.endpoint.started_us or 0) != (document.started_us or 0)


def _new_host(balancer: Balancer, document: HostRecord) -> HostState:
    status = EndpointStatus(document.state)
    host = HostState(
        Endpoint(
            document.id,
            status,
            document.zone,
            document.cell,
            document.kind,
            document.hint,
            document.started_us,
        )
    )
    if document.listed:
        balancer.hosts[document.id] = host
        balancer.machine_slowness.setdefault(document.kind, 0.0)
    return host


def _adopt_work(balancer: Balancer, work: Work, hosts: Sequence[HostState]) -> None:
    requests = []
    for document in work.requests:
        request = _restore_request(balancer, document, hosts)
        requests.append(request)
        if document.registered:
            balancer.requests[document.id] = request
    for route, queues, due in zip(balancer.routes, work.queues, work.due, strict=True):
        for queue, indexes in zip(route.queues, queues, strict=True):
            queue.extend(requests[index] for index in indexes)
        route.overdue_schedule.extend(
            (at_us, requests[index].attempts[number]) for at_us, index, number in due
        )
    for timer_id, purpose, index in work.alarms:
        if purpose in ADOPTED_TIMERS:
            request_of_timer = requests[index] if index >= 0 else None
            balancer.timers[timer_id] = Timer(TimerPurpose(purpose), request_of_timer)
    balancer.last_timer_id = work.tags
    balancer.queued = work.queued


def _restore_request(
    balancer: Balancer, document: RequestRecord, hosts: Sequence[HostState]
) -> Request:
    arrival = RequestArrived(
        document.id, document.route, document.useful_us, long_body=document.long
    )
    request = Request(arrival, balancer.routes[document.route], 0, document.over)
    request.work_us = document.cost_us
    request.useful_until_us = document.useful_us
    request.in_flight = document.out
    request.retry_groups = document.groups
    request.closed = document.closed
    for one in document.attempts:
        attempt = Attempt(hosts[one.server], one.sent_us)
        attempt.outcome = Outcome(one.outcome) if one.outcome else None
        attempt.alone = one.alone
        attempt.overdue = one.late
        attempt.filled_host = one.full
        request.attempts.append(attempt)
    return request
