"""Zone awareness: which hosts are remote, and the use of the cross-zone budget, if there is one.

Decides whether a request may be sent to a host of another zone, and for what reason. The budget
itself is in `zone_routing`; a gateway without a budget does not import that module, and its
cross-zone traffic is not limited. Without a budget traffic follows free capacity, and a failing
zone overloads the links to the other zones and their hosts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.actions import LogMessage
from quillroad.balancing.endpoint import EndpointStatus
from quillroad.balancing.events import CrossZoneBytes
from quillroad.balancing.settings import DeduplicationScope, Idempotency

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState, Request
    from quillroad.balancing.zone_routing import CrossZoneBudget, CrossZoneReason


def is_remote(state: BalancerState, host: HostState) -> bool:
    """Whether the host is in another zone than the gateway."""
    return not state.all_hosts_local and host.endpoint.zone != state.settings.zone


def may_cross(
    state: BalancerState, request: Request, host: HostState, budget: CrossZoneBudget
) -> bool:
    """Whether the budget allows sending a request to a host now.

    If it does not, `cross_zone_denied` of the route is set.
    """
    if not is_remote(state, host):
        return True
    if budget.allows(state.now_us, request.route_index, cross_zone_reason(request, budget)):
        return True
    request.route.cross_zone_denied = True
    return False


def cross_zone_reason(request: Request, budget: CrossZoneBudget) -> CrossZoneReason:
    """Return the reason for which a request would leave the local zone.

    A keyed request that may have run, and that only its zone or cell deduplicates, may be sent
    nowhere else.
    """
    settings = request.route.settings
    must_return = (
        settings.idempotency is Idempotency.KEYED
        and settings.deduplication_scope is not DeduplicationScope.ALL
        and bool(request.may_have_run())
    )
    return budget.reason_for(must_return, bool(request.in_flight))


def spend(state: BalancerState, request: Request, host: HostState, budget: CrossZoneBudget) -> None:
    """Count an attempt that is about to start, local or remote, against the budget."""
    if not request.attempts:
        budget.note_first_attempt(state.now_us)
    if is_remote(state, host):
        reason = cross_zone_reason(request, budget)
        _log(state, budget.spend(state.now_us, request.route_index, reason))


def check_local_zone(state: BalancerState, budget: CrossZoneBudget) -> None:
    """Report to the budget how many hosts of the local zone are healthy.

    A listed host that is not ready counts as a host of the zone, but not as a healthy one, so that
    a drained zone counts as lost like one that fails.
    """
    local_hosts = [host for host in state.hosts.values() if not is_remote(state, host)]
    healthy = sum(
        host.endpoint.status is EndpointStatus.READY and host.is_healthy(state.now_us)
        for host in local_hosts
    )
    _log(state, budget.update_local_zone(state.now_us, healthy, len(local_hosts)))


def is_unreachable_in_time(state: BalancerState, request: Request) -> bool:
    """Whether no local host is healthy and no cross-zone budget becomes available in time.

    Such a request is rejected at once: in the queue it would delay others and still not be sent.
    """
    budget = state.cross_zone
    if not request.route.cross_zone_denied or budget is None or not budget.no_local_host_healthy:
        return False
    wait_us = budget.wait_us(state.now_us, request.route_index)
    return state.now_us + wait_us > request.useful_until_us


def on_cross_zone_bytes(state: BalancerState, event: CrossZoneBytes) -> None:
    """Count the bytes of attempts at remote zones against the budget."""
    if state.cross_zone is not None:
        state.cross_zone.note_bytes(state.now_us, event.size)


def _log(state: BalancerState, line: str) -> None:
    if line:
        state.actions.append(LogMessage(line))
