"""Requests that wait for a host with room, in order of value.

Decides which waiting request is sent next, and which is rejected rather than held. Inputs: the
requests with the end of their usefulness (us), route weights, tenant quotas, and the pace at which
the queue moves.

Order: value for work, that is priority weight over uncrowded latency; requests beyond their
tenant's quota and marked retries count `over_quota_weight` of it. Without it an overload serves the
routes in proportion to their traffic, not to their value.

Wait: a request leaves the queue, rejected, when an answer could no longer have its value. Where the
gateway has less than one permit the wait is predicted, and a request that would wait in vain is
rejected at once: held, it takes the place of others and gains nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.attempts import place
from quillroad.balancing.final_answer import finish
from quillroad.balancing.rejection import RejectionReason
from quillroad.balancing.timers import TimerPurpose, set_timer
from quillroad.balancing.zone_awareness import is_out_of_reach

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, Request, RouteState

INTERVAL_SMOOTHING = 0.3
"""Weight of the newest in the time between two sends from the queue: a queue is short-lived."""
USUAL_QUANTILE = 0.5
"""Quantile of a route's latency that a request is expected to take once it is sent."""


def enqueue(state: BalancerState, request: Request) -> None:
    """Hold a request, or reject it where it would wait in vain."""
    if is_out_of_reach(state, request):
        finish(state, request, RejectionReason.NO_ZONE_REACHABLE)
        return
    route = request.route
    usual_us = route.latency.percentile(USUAL_QUANTILE) or request.work_us
    due_us = request.useful_until_us - usual_us
    if not state.queued:
        state.queue_sent_us = state.now_us
        state.queue_interval_us = 0.0
    # With a permit or more the limit, or the subset, follows what waits here.
    if (
        state.concurrency_limit < 1.0
        and state.permit_quota < 1.0
        and state.now_us + predicted_wait_us(state, request) > due_us
    ):
        finish(state, request, RejectionReason.WAIT_TOO_LONG)
        return
    route.queues[request.over_quota].append(request)
    state.queued += 1
    set_timer(state, due_us - state.now_us, TimerPurpose.QUEUE_TIMEOUT, request)


def predicted_wait_us(state: BalancerState, request: Request) -> float:
    """How long a request that joins now will wait: by what is ahead of it and the queue's pace.

    With nothing sent from the queue yet it is the pause that is on: a guess would reject what could
    be served.
    """
    own_rank = rank(state, request.route, request.over_quota)
    ahead = sum(
        len(queue)
        for route in state.routes
        for over_quota, queue in enumerate(route.queues)
        if queue and rank(state, route, bool(over_quota)) <= own_rank
    )
    return max(state.paused_until_us - state.now_us, (ahead + 1) * state.queue_interval_us)


def rank(state: BalancerState, route: RouteState, over_quota: bool) -> float:
    """The order in which queues are sent, the lowest first: less the value for work."""
    weight = -state.settings.over_quota_weight if over_quota else -1.0
    return weight * route.settings.priority_weight / route.uncrowded_latency_us


def drain(state: BalancerState) -> None:
    """Send what waits as far as hosts have room."""
    queues = [
        (rank(state, route, bool(over_quota)), queue)
        for route in state.routes
        for over_quota, queue in enumerate(route.queues)
    ]
    for _, queue in sorted(queues, key=lambda ranked: ranked[0]):
        while queue:
            if not queue[0].closed:
                if not place(state, queue[0]):
                    break
                interval_us = state.now_us - state.queue_sent_us
                state.queue_interval_us += (
                    interval_us - state.queue_interval_us
                ) * INTERVAL_SMOOTHING
                state.queue_sent_us = state.now_us
            queue.popleft()
            state.queued -= 1


def on_queue_timeout(state: BalancerState, request: Request) -> None:
    """Reject a request that still waits: an answer would have no value any more."""
    if not request.closed and not request.attempts:
        finish(state, request, RejectionReason.QUEUE_TIMEOUT)
