"""The queue of requests that wait for a host with a free permit, ordered by priority.

Decides which queued request is sent next, and which requests are rejected instead of queued.
Inputs: the requests with the time until which an answer is useful (us), route weights, tenant
quotas, and the rate at which queued requests are sent.

Order: by value per unit of work, which is the route's priority weight divided by its uncrowded
latency. For requests over their tenant's quota and for marked retries it is multiplied by
`over_quota_weight`. Without this order an overloaded fleet serves the routes in proportion to their
traffic, not to their value.

Wait: a queued request is rejected when an answer could no longer be useful. Where the gateway has
less than one permit the wait is predicted, and a request that would wait too long is rejected at
once: in the queue it would delay others and still not be answered in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.attempts import try_send
from quillroad.balancing.final_answer import finish
from quillroad.balancing.rejection import RejectionReason
from quillroad.balancing.timers import TimerPurpose, set_timer
from quillroad.balancing.zone_awareness import is_unreachable_in_time

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, Request, RouteState

INTERVAL_SMOOTHING = 0.3
"""Weight of the newest sample in the moving average of the time between two sends from the queue.
It is large because a queue lasts for a short time only."""
EXPECTED_LATENCY_QUANTILE = 0.5
"""Quantile of a route's latency that serves as the expected latency of a request."""


def enqueue(state: BalancerState, request: Request) -> None:
    """Queue a request, or reject it if it would wait too long or no host can be reached."""
    if is_unreachable_in_time(state, request):
        finish(state, request, RejectionReason.NO_ZONE_REACHABLE)
        return
    route = request.route
    expected_latency_us = route.latency.percentile(EXPECTED_LATENCY_QUANTILE) or request.work_us
    latest_send_us = request.useful_until_us - expected_latency_us
    if not state.queued:
        state.queue_sent_us = state.now_us
        state.queue_interval_us = 0.0
    # With one permit or more the concurrency limit or the subset adapts to the queued requests, so
    # the current rate does not predict the wait.
    if (
        state.concurrency_limit < 1.0
        and state.permit_quota < 1.0
        and state.now_us + predicted_wait_us(state, request) > latest_send_us
    ):
        finish(state, request, RejectionReason.WAIT_TOO_LONG)
        return
    route.queues[request.over_quota].append(request)
    state.queued += 1
    set_timer(state, latest_send_us - state.now_us, TimerPurpose.QUEUE_TIMEOUT, request)


def predicted_wait_us(state: BalancerState, request: Request) -> float:
    """Return the predicted wait (us) of a request that is queued now.

    It is computed from the number of requests ahead of it and the queue's rate, and is at least the
    rest of a current pause. Until a request has been sent from the queue only the pause counts: a
    guessed rate would reject requests that could be served.
    """
    own_rank = rank(state, request.route, request.over_quota)
    queued_ahead = sum(
        len(queue)
        for route in state.routes
        for over_quota, queue in enumerate(route.queues)
        if queue and rank(state, route, bool(over_quota)) <= own_rank
    )
    return max(state.paused_until_us - state.now_us, (queued_ahead + 1) * state.queue_interval_us)


def rank(state: BalancerState, route: RouteState, over_quota: bool) -> float:
    """Return the sort key of a queue (lowest first): its negated value per unit of work."""
    weight = -state.settings.over_quota_weight if over_quota else -1.0
    return weight * route.settings.priority_weight / route.uncrowded_latency_us


def drain(state: BalancerState) -> None:
    """Send queued requests, in order of rank, while hosts have free permits."""
    queues = [
        (rank(state, route, bool(over_quota)), queue)
        for route in state.routes
        for over_quota, queue in enumerate(route.queues)
    ]
    for _, queue in sorted(queues, key=lambda ranked: ranked[0]):
        while queue:
            if not queue[0].closed:
                if not try_send(state, queue[0]):
                    break
                interval_us = state.now_us - state.queue_sent_us
                state.queue_interval_us += (
                    interval_us - state.queue_interval_us
                ) * INTERVAL_SMOOTHING
                state.queue_sent_us = state.now_us
            queue.popleft()
            state.queued -= 1


def on_queue_timeout(state: BalancerState, request: Request) -> None:
    """Reject a request that is still queued: an answer could no longer be useful."""
    if not request.closed and not request.attempts:
        finish(state, request, RejectionReason.QUEUE_TIMEOUT)
