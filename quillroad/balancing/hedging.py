"""Hedged requests: a second attempt while the first is in flight.

Decides when a slow request gets a second attempt, and at which host. Inputs: the route's latencies
(us), the request's attempts, the retry budget, the queue. A request is hedged only where the
settings allow it and a second execution does no harm. It is hedged once it has been in flight for
longer than the 95th percentile of its route's latency, and spends one token of the retry budget.
No request is hedged while others are queued: a second attempt would take the permit of a first
one. Without hedging a single stalled host determines the tail latency.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.rejection import DecisionCounter, count
from quillroad.balancing.selection import pick
from quillroad.balancing.timers import TimerPurpose, set_timer

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState, Request

HEDGE_QUANTILE = 0.95
"""Quantile of the route's latency after which a request is hedged. One request in twenty is hedged,
which the retry budget can pay for; most of the others have been answered by then."""


def schedule_hedge(state: BalancerState, request: Request) -> None:
    """Set the timer for a hedged attempt, if the route has latency samples."""
    wait_us = request.route.latency.percentile(HEDGE_QUANTILE)
    if wait_us is not None:
        set_timer(state, wait_us, TimerPurpose.HEDGE, request)


def pick_for_hedge(state: BalancerState, request: Request) -> HostState | None:
    """Return the host for a second attempt, or None if there is to be none.

    Spends a token of the retry budget and counts the hedge if it returns a host.
    """
    if request.closed or request.in_flight != 1 or state.queued:
        return None
    host = pick(state, request)
    if host is None or not request.route.retry_budget.spend():
        return None
    count(state.counters, DecisionCounter.HEDGES)
    return host
