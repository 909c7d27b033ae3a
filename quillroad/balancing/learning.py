"""What an outcome says: of its host, its machine type, its route, and the load of others.

Decides which rule learns what; the rules decide what follows. Inputs: an attempt with its outcome
and its elapsed time (us). An attempt that was called off or never sent says nothing. An answer to a
long body says that the host is well, but its time tells how fast the body is read.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quillroad.balancing.concurrency_limit import adjust_limit, keeps_permit
from quillroad.balancing.events import AttemptFinished, Outcome
from quillroad.balancing.outlier_detection import FAILURE_REST_US, blame, credit, rest
from quillroad.balancing.slow_start import is_warming
from quillroad.balancing.subsetting import (
    SLOW_ANSWER,
    note_congestion,
    on_rejected_by_host,
    pause_after_attempt,
)

if TYPE_CHECKING:
    from quillroad.balancing.state import Attempt, BalancerState, Request, RouteState

SAY_NOTHING = (Outcome.CANCELLED, Outcome.NOT_SENT)
"""Outcomes of attempts that the gateway itself ended or never began."""
SLOWNESS_SMOOTHING = 0.12
"""Weight of the newest answer in a machine type's slowness: as quick to learn as payoffs."""
LEAST_SLOWNESS = 0.01
"""Latency over the uncrowded one is taken to be at least this: an answer from a cache must not make
its machine type look a thousand times faster."""
FIRST_SAMPLES = 64
"""Answers of a route before its uncrowded latency counts as known: until then crowded answers
teach it, too, and limits are not moved."""
MOST_SAMPLES = 1024
"""Answers that the uncrowded latency is a mean of: slow enough that a jam of minutes does not
become the yardstick that limits are measured with."""
LEAST_LATENCY_US = 1.0
"""Least uncrowded latency: other values are divided by it."""
MEDIAN = 0.5
"""Quantile that stands for the objective of a route that has none."""


def learn(state: BalancerState, request: Request, attempt: Attempt, event: AttemptFinished) -> None:
    """Take in one outcome."""
    host = attempt.host
    outcome = event.outcome
    host.overdue -= attempt.overdue
    host.in_flight -= 1
    if not attempt.permit_released and (
        state.concurrency_limit >= 1.0 or not keeps_permit(state, request, attempt, outcome)
    ):
        state.in_flight -= 1
    if outcome in SAY_NOTHING:
        return
    # In a slot at a warming host nobody else sends: its answers say nothing of other gateways.
    shared = state.concurrency_limit < 1.0 and not is_warming(state, host)
    if shared and outcome is not Outcome.REJECTED:
        pause_after_attempt(state, min(event.elapsed_us, request.route.attempt_timeout_us))
    if outcome is Outcome.SUCCESS and _learn_from_answer(
        state, request, attempt, event.elapsed_us, shared
    ):
        return
    _learn_from_failure(state, request, attempt, outcome, shared)


def _learn_from_failure(
    state: BalancerState, request: Request, attempt: Attempt, outcome: Outcome, shared: bool
) -> None:
    """Hold a failure, or an answer that missed the objective, against the host."""
    if request.long_body and outcome is Outcome.TIMEOUT:
        return  # the client read or sent slowly
    if state.concurrency_limit < 1.0 and outcome is not Outcome.TIMEOUT:
        rest(state, attempt.host, FAILURE_REST_US)
        if outcome is Outcome.REJECTED and shared:
            on_rejected_by_host(state)
    if not attempt.overdue:
        # A failed connection says that this host is gone, not that the fleet is in a jam.
        blame(state, attempt.host, outcome is not Outcome.CONNECT_FAILED)


def _learn_from_answer(
    state: BalancerState, request: Request, attempt: Attempt, elapsed_us: int, shared: bool
) -> bool:
    """Take in the time of an answer; False where it missed the objective, a failure of the host."""
    host = attempt.host
    route = request.route
    host.ejections = 0
    host.consecutive_failures = 0
    host.newest_answered_sent_us = max(host.newest_answered_sent_us, attempt.sent_us)
    state.consecutive_rejections = 0
    if request.long_body:
        return True
    if shared:
        note_congestion(state, elapsed_us > SLOW_ANSWER * route.uncrowded_latency_us)
    slowness = math.log2(max(elapsed_us / route.uncrowded_latency_us, LEAST_SLOWNESS))
    machine_type = host.endpoint.machine_type
    known = state.machine_slowness[machine_type]
    state.machine_slowness[machine_type] = known + (slowness - known) * SLOWNESS_SMOOTHING
    _learn_latency(state, route, attempt, elapsed_us)
    objective_us = route.settings.latency_objective_us
    bound_us = objective_us or route.latency.percentile(MEDIAN) or elapsed_us
    route.latency.append(elapsed_us)
    if elapsed_us > bound_us and objective_us is not None:
        return False
    # With no objective half of all answers are slower than the median: no sign of a jam, nor of an
    # outlier. Without this distinction such routes shed load and eject hosts on a quiet day.
    credit(state, host, float(elapsed_us <= bound_us), objective_us is not None)
    return True


def _learn_latency(
    state: BalancerState, route: RouteState, attempt: Attempt, elapsed_us: int
) -> None:
    """Take the time of an answer into the route's uncrowded latency and the concurrency limit."""
    route.samples += 1
    if attempt.alone or route.samples < FIRST_SAMPLES:
        step_us = (elapsed_us - route.uncrowded_latency_us) / min(route.samples, MOST_SAMPLES)
        route.uncrowded_latency_us = max(LEAST_LATENCY_US, route.uncrowded_latency_us + step_us)
    # In a subset others fill a host: own answers do not tell how many attempts it bears.
    if attempt.filled_host and route.samples >= FIRST_SAMPLES and state.concurrency_limit >= 1.0:
        adjust_limit(state, elapsed_us / route.uncrowded_latency_us)
