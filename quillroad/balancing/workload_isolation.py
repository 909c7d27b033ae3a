"""Separate hosts for routes with long requests, where the gateway draws from all hosts.

Decides which candidates a route draws from. Inputs: each route's uncrowded latency (us), the
shortest attempt timeout of all routes (us), and the fraction of the requested work that belongs to
long routes. A route is long if its requests take longer than the shortest timeout: short requests
that wait behind them miss their objective. Long routes use the first candidates of the ring order,
in proportion to their share of the work, and the other routes use the rest; the division is the
same at every gateway. Without it one long-running export on each host would delay every status
check.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState, RouteState


def is_long(state: BalancerState, route: RouteState) -> bool:
    """Return whether the route's requests take longer than the shortest attempt timeout."""
    return route.samples > 0 and route.uncrowded_latency_us > state.shortest_timeout_us


def hosts_of_route(state: BalancerState, route: RouteState) -> list[HostState]:
    """Return the candidates that the route may draw from."""
    host_count = len(state.candidates)
    if host_count <= 1 or state.long_work_ratio <= 0.0:
        return state.candidates
    long_host_count = min(host_count - 1, max(1, round(host_count * state.long_work_ratio)))
    if is_long(state, route):
        return state.candidates[:long_host_count]
    return state.candidates[long_host_count:]
