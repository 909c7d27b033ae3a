"""What the gateway learns from the outcome of an attempt.

An outcome carries information about its host, machine type and route, and about the load from other
gateways. This module decides which rule learns from it; the rules decide what follows. Inputs: an
attempt, its outcome and its elapsed time (us). Cancelled and unsent attempts carry no information.
An answer to a request with a long body shows that the host is healthy, but its elapsed time
reflects how fast the body is transferred, not the host's latency.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quillroad.balancing.concurrency_limit import adjust_limit, keeps_permit
from quillroad.balancing.events import AttemptFinished, Outcome
from quillroad.balancing.outlier_detection import (
    FAILURE_SUSPENSION_US,
    record_failure,
    record_outcome,
    suspend_host,
)
from quillroad.balancing.slow_start import is_warming
from quillroad.balancing.subsetting import (
    SLOW_ANSWER_RATIO,
    note_congestion,
    on_rejected_by_host,
    pause_after_attempt,
)

if TYPE_CHECKING:
    from quillroad.balancing.state import Attempt, BalancerState, Request, RouteState

UNINFORMATIVE_OUTCOMES = (Outcome.CANCELLED, Outcome.NOT_SENT)
"""Outcomes of attempts that the gateway cancelled or never sent."""
SLOWNESS_SMOOTHING = 0.12
"""Weight of the newest answer in a machine type's slowness; the same rate as for payoffs."""
MIN_LATENCY_RATIO = 0.01
"""Lower bound of an answer's latency divided by the uncrowded latency: an answer from a cache must
not make its machine type look a thousand times faster."""
MIN_UNCROWDED_SAMPLES = 64
"""Answers of a route before its uncrowded latency counts as known. Until then answers from crowded
hosts contribute to it too, and the concurrency limit is not adjusted."""
MAX_UNCROWDED_SAMPLES = 1024
"""Number of answers that the uncrowded latency averages over: so many that congestion of some
minutes does not become the baseline that limits are measured against."""
MIN_UNCROWDED_LATENCY_US = 1.0
"""Lower bound of the uncrowded latency: other values are divided by it."""
MEDIAN_QUANTILE = 0.5
"""Quantile of a route's latency that replaces the objective of a route without one."""


def learn(state: BalancerState, request: Request, attempt: Attempt, event: AttemptFinished) -> None:
    """Release the attempt's permit and pass its outcome to the rules that learn from it."""
    host = attempt.host
    outcome = event.outcome
    host.overdue -= attempt.overdue
    host.in_flight -= 1
    if not attempt.permit_released and (
        state.concurrency_limit >= 1.0 or not keeps_permit(state, request, attempt, outcome)
    ):
        state.in_flight -= 1
    if outcome in UNINFORMATIVE_OUTCOMES:
        return
    # No other gateway sends to a warming host in this gateway's slot, so that its answers carry no
    # information about the load from other gateways.
    shows_shared_load = state.concurrency_limit < 1.0 and not is_warming(state, host)
    if shows_shared_load and outcome is not Outcome.REJECTED:
        pause_after_attempt(state, min(event.elapsed_us, request.route.attempt_timeout_us))
    if outcome is Outcome.SUCCESS and _learn_from_answer(
        state, request, attempt, event.elapsed_us, shows_shared_load
    ):
        return
    _learn_from_failure(state, request, attempt, outcome, shows_shared_load)


def _learn_from_failure(
    state: BalancerState,
    request: Request,
    attempt: Attempt,
    outcome: Outcome,
    shows_shared_load: bool,
) -> None:
    """Record a failure of the host: an error, or an answer that missed the objective."""
    if request.long_body and outcome is Outcome.TIMEOUT:
        return  # the client read or sent the body slowly
    if state.concurrency_limit < 1.0 and outcome is not Outcome.TIMEOUT:
        suspend_host(state, attempt.host, FAILURE_SUSPENSION_US)
        if outcome is Outcome.REJECTED and shows_shared_load:
            on_rejected_by_host(state)
    if not attempt.overdue:
        # A failed connection shows that this host is down, not that the fleet is overloaded.
        record_failure(state, attempt.host, outcome is not Outcome.CONNECT_FAILED)


def _learn_from_answer(
    state: BalancerState,
    request: Request,
    attempt: Attempt,
    elapsed_us: int,
    shows_shared_load: bool,
) -> bool:
    """Learn from an answer and its time.

    Return False if it missed the route's latency objective: the caller records it as a failure.
    """
    host = attempt.host
    route = request.route
    host.ejections = 0
    host.consecutive_failures = 0
    host.newest_answered_sent_us = max(host.newest_answered_sent_us, attempt.sent_us)
    state.consecutive_rejections = 0
    if request.long_body:
        return True
    if shows_shared_load:
        note_congestion(state, elapsed_us > SLOW_ANSWER_RATIO * route.uncrowded_latency_us)
    slowness = math.log2(max(elapsed_us / route.uncrowded_latency_us, MIN_LATENCY_RATIO))
    machine_type = host.endpoint.machine_type
    previous_slowness = state.machine_slowness[machine_type]
    state.machine_slowness[machine_type] = (
        previous_slowness + (slowness - previous_slowness) * SLOWNESS_SMOOTHING
    )
    _learn_latency(state, route, attempt, elapsed_us)
    objective_us = route.settings.latency_objective_us
    bound_us = objective_us or route.latency.percentile(MEDIAN_QUANTILE) or elapsed_us
    route.latency.append(elapsed_us)
    if elapsed_us > bound_us and objective_us is not None:
        return False
    # Without an objective the bound is the median, which half of all answers exceed: that is no
    # sign of overload or of an outlier. If it counted as one, such routes would shed load and eject
    # hosts under normal traffic.
    record_outcome(state, host, float(elapsed_us <= bound_us), objective_us is not None)
    return True


def _learn_latency(
    state: BalancerState, route: RouteState, attempt: Attempt, elapsed_us: int
) -> None:
    """Update the route's uncrowded latency and the concurrency limit by the time of an answer."""
    route.samples += 1
    if attempt.alone or route.samples < MIN_UNCROWDED_SAMPLES:
        step_us = (elapsed_us - route.uncrowded_latency_us) / min(
            route.samples, MAX_UNCROWDED_SAMPLES
        )
        route.uncrowded_latency_us = max(
            MIN_UNCROWDED_LATENCY_US, route.uncrowded_latency_us + step_us
        )
    # In a subset other gateways fill a host, so that this gateway's answers do not show how many
    # attempts the host can handle.
    if (
        attempt.filled_host
        and route.samples >= MIN_UNCROWDED_SAMPLES
        and state.concurrency_limit >= 1.0
    ):
        adjust_limit(state, elapsed_us / route.uncrowded_latency_us)
