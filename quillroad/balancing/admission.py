"""Admission: whether an arriving request is sent, queued or rejected.

Also maintains the moving averages of the traffic that other rules use. Inputs: the arriving request
with its deadline, tenant and expected work (us), and the settings. The checks, in order:

- An unmarked retry that can no longer meet its latency objective is rejected. Where clients do not
  mark retries, a request counts as one if its client will wait for less than the route's average
  wait, by more than the objective. Without this check an overloaded fleet spends its capacity on
  retries whose answers have no value.
- A share of the requests is shed while too few attempts meet their objective (`load_shedding`).
- The request is sent if no request is queued and a host has a free permit; otherwise it is queued
  (`request_queue`).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quillroad.balancing.attempts import try_send
from quillroad.balancing.events import RequestArrived
from quillroad.balancing.final_answer import finish
from quillroad.balancing.load_shedding import is_shed
from quillroad.balancing.rejection import RejectionReason
from quillroad.balancing.request_queue import enqueue
from quillroad.balancing.state import Request
from quillroad.balancing.tenant_quota import is_over_quota
from quillroad.balancing.workload_isolation import is_long

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState

CLIENT_WAIT_SMOOTHING = 0.12
"""Weight of the newest arrival in the moving average of how long a route's clients wait. With a
large weight one client with a long wait would make all later requests look like retries."""
WORK_SMOOTHING = 64
"""Number of arrivals over which a request's mean work is averaged: the mix of routes changes
slowly."""
ISOLATION_SMOOTHING = 256
"""Number of arrivals of mean work over which the long requests' share of all work is averaged. The
share decides how many hosts are reserved for long requests."""


def on_request_arrived(state: BalancerState, event: RequestArrived) -> None:
    """Send, queue or reject an arriving request."""
    route = state.routes[event.route]
    remaining_us = event.deadline_us - state.now_us
    decay_exponent = (state.recent_counted_us - state.now_us) / state.decay_time_us
    state.recent_requests = 1.0 + state.recent_requests * math.exp(decay_exponent)
    state.recent_counted_us = state.now_us
    if not event.deadline_shortened:
        route.client_wait_us += (remaining_us - route.client_wait_us) * (
            CLIENT_WAIT_SMOOTHING if route.client_wait_us else 1.0
        )
    over_quota = event.is_retry or is_over_quota(state, event.tenant)
    request = Request(event, route, state.now_us, over_quota)
    state.requests[request.id] = request
    state.mean_work_us += (request.work_us - state.mean_work_us) / WORK_SMOOTHING
    weight = min(1.0, request.work_us / state.mean_work_us / ISOLATION_SMOOTHING)
    state.long_work_ratio += (is_long(state, route) - state.long_work_ratio) * weight
    if (
        not state.settings.clients_mark_retries
        and not event.deadline_shortened
        and remaining_us < route.client_wait_us - route.attempt_timeout_us
        and not route.settings.late_weight
    ):
        finish(state, request, RejectionReason.OBJECTIVE_LOST)
    elif is_shed(state):
        finish(state, request, RejectionReason.LOAD_SHED)
    elif state.queued or not try_send(state, request):
        enqueue(state, request)
