"""How many attempts one host gets at once, learned from latency in a full host.

Decides `concurrency_limit`: this gateway's part of the attempts that one host bears at once.
Inputs: the latency of answers (us) of attempts that took the last permit at their host, over the
route's uncrowded latency; whether requests are queued.

Why: a host that holds more requests than it has cores works on all of them more slowly, and answers
miss their objective although the host is well. Little's law turns the inflation of latency into the
number of requests in the host that wait for others: the limit falls while that is more than
`MOST_WAITING`, and rises while requests are queued here and a full host is as quick as an idle one.
Without it hosts lose speed to crowding long before an attempt misses its objective, which is all
that outlier detection and load shedding see.

A host may go on working on an attempt after its client gave up. In a crowd such an attempt keeps
its permit until the host has most likely finished. Without this the gateway fills hosts with work
that nobody waits for, and no gateway sees it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.events import Outcome
from quillroad.balancing.timers import TimerPurpose, set_timer

if TYPE_CHECKING:
    from quillroad.balancing.state import Attempt, BalancerState, Request

FEW_GATEWAYS_LIMIT = 3.0
"""Attempts at one host by all gateways together, at first; also the number of gateways up to which
each of them sees enough of a host to learn its limit."""
MANY_GATEWAYS_LIMIT = 2.5
"""The same where more gateways share a host, none of which sees the others' attempts."""
MOST_WAITING = 1.0
"""Requests in a full host that wait for others: fewer leave cores idle, more only add latency."""
LIMIT_STEP = 0.001
"""Part of the limit gained or lost by one answer: steady, since a wrong limit costs all hosts."""
INFLATION_SMOOTHING = 1 / 64
"""Weight of the newest answer in the latency inflation: one slow answer must not move the limit."""
LOST_WORK_QUANTILE = 0.95
"""Quantile of a route's latency after which a host has most likely finished a lost attempt."""
CROWDED_WINDOW = 0.5
"""Congestion window below which hosts are taken to be full of what other gateways sent."""


def initial_limit(gateway_count: int) -> float:
    """One gateway's part of a host's limit before anything is learned."""
    together = FEW_GATEWAYS_LIMIT if gateway_count <= FEW_GATEWAYS_LIMIT else MANY_GATEWAYS_LIMIT
    return together / gateway_count


def adjust_limit(state: BalancerState, inflation: float) -> None:
    """Learn from an answer of a full host; `inflation` is its latency over the uncrowded one."""
    state.latency_inflation += (inflation - state.latency_inflation) * INFLATION_SMOOTHING
    together = state.concurrency_limit * state.gateway_count
    waiting = together * (1.0 - 1.0 / max(1.0, state.latency_inflation))
    if waiting > MOST_WAITING:
        state.concurrency_limit = max(1.0, state.concurrency_limit * (1.0 - LIMIT_STEP))
    elif state.queued:
        state.concurrency_limit *= 1.0 + LIMIT_STEP


def is_crowded(state: BalancerState) -> bool:
    """Whether the hosts of the subset are taken to be full of what other gateways sent."""
    return (
        state.concurrency_limit < 1.0
        and state.permit_quota < 1.0
        and state.congestion_window < CROWDED_WINDOW
    )


def keeps_permit(
    state: BalancerState, request: Request, attempt: Attempt, outcome: Outcome
) -> bool:
    """Whether an attempt that has ended keeps its permit for a while; sets that timer."""
    given_up = outcome is Outcome.TIMEOUT or (outcome is Outcome.CANCELLED and request.client_gone)
    if not is_crowded(state) or not given_up or attempt.host.is_silent():
        return False
    route = request.route
    usual_us = route.latency.percentile(LOST_WORK_QUANTILE) or route.uncrowded_latency_us
    left_us = attempt.sent_us + usual_us - state.now_us
    if left_us > 0:
        set_timer(state, left_us, TimerPurpose.RELEASE_PERMIT)
    return left_us > 0


def release_permit(state: BalancerState) -> None:
    """Give back the permit of an attempt that its client gave up."""
    state.in_flight -= 1
