"""Hosts of their own for long requests, in a view of all hosts.

Decides which candidates a route draws from. Inputs: each route's uncrowded latency (us), the
shortest attempt timeout of all routes (us), and the part of the work asked for that comes in long
requests. A route is long if its requests run for longer than the shortest timeout: short requests
behind them miss their objective. Long routes keep to a part of the ring order in proportion to
their part of the work, the others to the rest, the same at every gateway. Without it one export on
each host delays every status check.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState, RouteState


def is_long(state: BalancerState, route: RouteState) -> bool:
    """Whether the route's requests run for longer than another route waits."""
    return route.samples > 0 and route.uncrowded_latency_us > state.shortest_timeout_us


def hosts_of_route(state: BalancerState, route: RouteState) -> list[HostState]:
    """The candidates that are the route's to draw from."""
    hosts = len(state.candidates)
    if hosts <= 1 or state.long_work_ratio <= 0.0:
        return state.candidates
    for_long = min(hosts - 1, max(1, round(hosts * state.long_work_ratio)))
    if is_long(state, route):
        return state.candidates[:for_long]
    return state.candidates[for_long:]
