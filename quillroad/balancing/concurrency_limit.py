"""Concurrency limit: how many attempts this gateway has in flight at one host.

Adjusts `concurrency_limit`, this gateway's share of the attempts that a host handles at once.
Inputs: the latency (us) of answers to attempts that took the last permit at their host, divided by
the route's uncrowded latency (the latency at a host with nothing else in flight from this gateway);
whether requests are queued.

A host with more requests than cores serves all of them more slowly, so that answers miss their
objective although the host is healthy. By Little's law the latency inflation gives the number of
requests that wait inside the host: the limit falls while that is above `MAX_WAITING_REQUESTS`, and
rises while requests are queued in the gateway and a full host is as fast as an idle one. Outlier
detection and load shedding only see attempts that miss their objective, and hosts slow down under
contention long before that.

A host may continue to work on an attempt after its client gave up. In a crowded fleet such an
attempt keeps its permit until the host has most likely finished. Otherwise the gateway would fill
hosts with abandoned work that no gateway counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.events import Outcome
from quillroad.balancing.timers import TimerPurpose, set_timer

if TYPE_CHECKING:
    from quillroad.balancing.state import Attempt, BalancerState, Request

FEW_GATEWAYS_LIMIT = 3.0
"""Initial number of attempts at one host by all gateways together; also the number of gateways up
to which each of them has enough traffic to a host to learn its limit."""
MANY_GATEWAYS_LIMIT = 2.5
"""The same for more gateways. It is lower because none of them sees the attempts of the others."""
MAX_WAITING_REQUESTS = 1.0
"""Requests that may wait inside a full host: fewer leave cores idle, more only add latency."""
LIMIT_STEP = 0.001
"""Relative change of the limit per answer: small, since a wrong limit affects all hosts."""
INFLATION_SMOOTHING = 1 / 64
"""Weight of the newest answer in the latency inflation: one slow answer must not move the limit."""
ABANDONED_WORK_QUANTILE = 0.95
"""Quantile of a route's latency after which a host has most likely finished an abandoned
attempt."""
CROWDED_CONGESTION_WINDOW = 0.5
"""Congestion window below which hosts are assumed to be full of other gateways' requests."""


def initial_limit(gateway_count: int) -> float:
    """Return one gateway's share of a host's limit before anything is learned."""
    total_limit = FEW_GATEWAYS_LIMIT if gateway_count <= FEW_GATEWAYS_LIMIT else MANY_GATEWAYS_LIMIT
    return total_limit / gateway_count


def adjust_limit(state: BalancerState, inflation: float) -> None:
    """Adjust the limit by an answer of a full host.

    `inflation` is the latency of the answer divided by the route's uncrowded latency.
    """
    state.latency_inflation += (inflation - state.latency_inflation) * INFLATION_SMOOTHING
    total_limit = state.concurrency_limit * state.gateway_count
    waiting_requests = total_limit * (1.0 - 1.0 / max(1.0, state.latency_inflation))
    if waiting_requests > MAX_WAITING_REQUESTS:
        state.concurrency_limit = max(1.0, state.concurrency_limit * (1.0 - LIMIT_STEP))
    elif state.queued:
        state.concurrency_limit *= 1.0 + LIMIT_STEP


def is_crowded(state: BalancerState) -> bool:
    """Return whether the subset's hosts are assumed to be full of other gateways' requests."""
    return (
        state.concurrency_limit < 1.0
        and state.permit_quota < 1.0
        and state.congestion_window < CROWDED_CONGESTION_WINDOW
    )


def keeps_permit(
    state: BalancerState, request: Request, attempt: Attempt, outcome: Outcome
) -> bool:
    """Return whether a finished attempt keeps its permit; if so, set the timer that releases it."""
    abandoned = outcome is Outcome.TIMEOUT or (outcome is Outcome.CANCELLED and request.client_gone)
    if not is_crowded(state) or not abandoned or attempt.host.is_silent():
        return False
    route = request.route
    expected_us = route.latency.percentile(ABANDONED_WORK_QUANTILE) or route.uncrowded_latency_us
    remaining_us = attempt.sent_us + expected_us - state.now_us
    if remaining_us > 0:
        set_timer(state, remaining_us, TimerPurpose.RELEASE_PERMIT)
    return remaining_us > 0


def release_permit(state: BalancerState) -> None:
    """Release the permit that an abandoned attempt kept (see `keeps_permit`)."""
    state.in_flight -= 1
