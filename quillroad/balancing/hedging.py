"""Hedged requests: a second attempt while the first is in flight.

Decides when a slow request gets a second attempt, and where. Inputs: the route's latencies (us),
the request's attempts, the retry budget, the queue. Only where the settings allow it and a second
run does no harm. A request that is in flight for longer than 95 of 100 of its route is hedged, at
the price of a token of the retry budget. Nothing is hedged while requests wait: a second attempt
would take the permit of a first one. Without hedging one host that stalls sets the slowest
latencies.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.rejection import DecisionCounter, count
from quillroad.balancing.selection import pick
from quillroad.balancing.timers import TimerPurpose, set_timer

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState, Request

HEDGE_QUANTILE = 0.95
"""Quantile of the route's latency after which a request is hedged: one in twenty, which the retry
budget bears, and late enough that most of the others have been answered."""


def schedule_hedge(state: BalancerState, request: Request) -> None:
    """An attempt has started: look at the request again when it is slow, if that is known."""
    wait_us = request.route.latency.percentile(HEDGE_QUANTILE)
    if wait_us is not None:
        set_timer(state, wait_us, TimerPurpose.HEDGE, request)


def pick_for_hedge(state: BalancerState, request: Request) -> HostState | None:
    """The host for a second attempt, its token spent and it counted; None: no second attempt."""
    if request.closed or request.in_flight != 1 or state.queued:
        return None
    host = pick(state, request)
    if host is None or not request.route.retry_budget.spend():
        return None
    count(state.counters, DecisionCounter.HEDGES)
    return host
