"""What becomes of a request on its arrival: sent, queued or rejected.

Decides that, and keeps the means of the traffic that other rules go by. Inputs: the arrival with
its deadline, tenant and expected work (us); the settings. In this order:

- An unmarked retry that has lost its objective is rejected. Where clients do not mark retries, one
  whose client waits for less than most, by more than the objective, is taken for a retry. Without
  this an overload is spent on repeats that nobody gains from.
- A share is shed while too few attempts meet their objective (`load_shedding`).
- It is sent if nothing waits and a host has room, or else queued (`request_queue`).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quillroad.balancing.attempts import place
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
"""Weight of the newest arrival in how long clients of a route wait: one that waits for longer than
most must not make retries of all others."""
WORK_SMOOTHING = 64
"""Arrivals that the mean work of a request is a mean of: the mix of routes changes slowly."""
ISOLATION_SMOOTHING = 256
"""Arrivals of mean work that the part of long requests is a mean of: it decides how many hosts are
kept for long requests."""


def on_request_arrived(state: BalancerState, event: RequestArrived) -> None:
    """Send, queue or reject a request."""
    route = state.routes[event.route]
    left_us = event.deadline_us - state.now_us
    elapsed = (state.recent_counted_us - state.now_us) / state.memory_us
    state.recent_requests = 1.0 + state.recent_requests * math.exp(elapsed)
    state.recent_counted_us = state.now_us
    route.client_wait_us += (left_us - route.client_wait_us) * (
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
        and left_us < route.client_wait_us - route.attempt_timeout_us
        and not route.settings.late_weight
    ):
        finish(state, request, RejectionReason.OBJECTIVE_LOST)
    elif is_shed(state):
        finish(state, request, RejectionReason.LOAD_SHED)
    elif state.queued or not place(state, request):
        enqueue(state, request)
