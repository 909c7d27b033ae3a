"""Requests that must be answered earlier than their clients ask, because the process ends.

Decides when an attempt of such a request is given up. Inputs: the shortened deadline, the attempts
so far, the route's idempotency, its objective and its latencies (us). An attempt that may be
followed by another one, and has taken longer than an answer usually takes, ends as late as leaves
that time to the next one. Without this a host that hangs would use up the rest of the process's
time, and a request that another host could have served would fail. An attempt that may not be
repeated, or whose repeat would come too late, keeps all the time that is left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.actions import LimitAttempt
from quillroad.balancing.retry import MIN_RETRY_FRACTION, longest_backoff_us
from quillroad.balancing.settings import Idempotency
from quillroad.balancing.timers import TimerPurpose, set_timer

if TYPE_CHECKING:
    from quillroad.balancing.events import DeadlineShortened
    from quillroad.balancing.state import BalancerState, Request

LATENCY_QUANTILE = 0.95
"""Quantile of the route's latency that counts as the time of a slow answer."""
LATENCY_MARGIN = 2.0
"""Multiple of that time after which an answer is not expected any more: hosts may have become
slower since."""
MIN_ATTEMPT_US = 100_000
"""Time that an attempt gets at least: its connection may have to be opened first."""


def on_deadline_shortened(state: BalancerState, event: DeadlineShortened) -> None:
    """Apply an earlier deadline to an open request, its attempts in flight and its wait."""
    request = state.requests.get(event.request)
    if request is None or request.closed:
        return
    request.shortened_deadline_us = event.deadline_us
    request.useful_until_us = min(request.useful_until_us, event.deadline_us)
    if not request.attempts:
        delay_us = request.useful_until_us - state.now_us
        set_timer(state, delay_us, TimerPurpose.QUEUE_TIMEOUT, request)
        return
    if _may_have_another(state, request):
        state.actions += [
            LimitAttempt(request.id, number, timeout_us)
            for number, attempt in enumerate(request.attempts)
            if attempt.outcome is None
            and (timeout_us := _timeout_us(state, request, event.deadline_us, attempt.sent_us))
        ]


def attempt_timeout_us(state: BalancerState, request: Request) -> int:
    """Return the timeout of the attempt that starts now; 0: until the deadline."""
    deadline_us = request.shortened_deadline_us
    if deadline_us is None or not _may_have_another(state, request):
        return 0
    return _timeout_us(state, request, deadline_us, state.now_us)


def _timeout_us(state: BalancerState, request: Request, deadline_us: int, sent_us: int) -> int:
    """Return the time from now after which an attempt is given up; 0: at the deadline."""
    least_us = max(_usual_latency_us(request), MIN_ATTEMPT_US)
    reserved_us = int(max(request.work_us, least_us) + longest_backoff_us(request))
    give_up_us = max(state.now_us, sent_us + least_us, deadline_us - reserved_us)
    if deadline_us - give_up_us < reserved_us * MIN_RETRY_FRACTION:
        return 0
    return max(1, give_up_us - state.now_us)


def _usual_latency_us(request: Request) -> int:
    """Return the time in which an answer usually comes, as far as it is known."""
    route = request.route
    latency_us = route.latency.percentile(LATENCY_QUANTILE)
    if latency_us is None:
        return route.attempt_timeout_us
    return min(route.attempt_timeout_us, int(latency_us * LATENCY_MARGIN))


def _may_have_another(state: BalancerState, request: Request) -> bool:
    """Return whether another attempt may follow one that times out."""
    return (
        len(request.attempts) < state.settings.max_attempts
        and request.route.settings.idempotency is not Idempotency.NON_IDEMPOTENT
        and not request.long_body
    )
