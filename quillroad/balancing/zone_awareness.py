"""Which hosts are remote, and what is asked of the cross-zone budget, where there is one.

Decides whether a request may go to a host of another zone, and for what reason it would. The budget
itself is in `zone_routing`; a gateway with no budget loads none of it, and no limit
holds. Without this traffic follows free capacity, and a zone in trouble fills the links to the
others, and their hosts.
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
    return not state.all_local and host.endpoint.zone != state.settings.zone


def may_cross(
    state: BalancerState, request: Request, host: HostState, budget: CrossZoneBudget
) -> bool:
    """Whether the budget lets a request go to a host now; a refusal is noted at its route."""
    if not is_remote(state, host):
        return True
    if budget.allows(state.now_us, request.route_index, cross_zone_reason(request, budget)):
        return True
    request.route.cross_zone_denied = True
    return False


def cross_zone_reason(request: Request, budget: CrossZoneBudget) -> CrossZoneReason:
    """Why a request would leave the zone.

    One that may have run where only that zone or cell drops its repeat must go there or nowhere.
    """
    settings = request.route.settings
    bound = (
        settings.idempotency is Idempotency.KEYED
        and settings.deduplication_scope is not DeduplicationScope.ALL
        and bool(request.may_have_run())
    )
    return budget.reason_for(bound, bool(request.in_flight))


def spend(state: BalancerState, request: Request, host: HostState, budget: CrossZoneBudget) -> None:
    """Account for an attempt that is about to start, local or remote."""
    if not request.attempts:
        budget.note_first_attempt(state.now_us)
    if is_remote(state, host):
        reason = cross_zone_reason(request, budget)
        _log(state, budget.spend(state.now_us, request.route_index, reason))


def check_local_zone(state: BalancerState, budget: CrossZoneBudget) -> None:
    """Tell the budget how many hosts of the local zone are healthy.

    All that are listed count as known, drained or not, so that a zone that is drained away is lost
    like one that fails.
    """
    local = [host for host in state.hosts.values() if not is_remote(state, host)]
    healthy = sum(
        host.endpoint.status is EndpointStatus.READY and host.is_healthy(state.now_us)
        for host in local
    )
    _log(state, budget.update_local_zone(state.now_us, healthy, len(local)))


def is_out_of_reach(state: BalancerState, request: Request) -> bool:
    """Whether no local host is healthy, and no cross-zone budget comes free in the request's time.

    Such a request is rejected at once. Without this it holds a place in the queue for nothing.
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
