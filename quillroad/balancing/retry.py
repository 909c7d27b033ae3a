"""The retry policy: whether, when and where a failed request is sent again.

Attempts: a request has at most `settings.max_attempts` attempts, including hedged ones.

Classification: after an outcome that proves that no host started the request (rejected, connection
failed, not sent) the request may be retried on every route. After any other failure it may be
retried unless the route is non-idempotent. A keyed request that may have run is sent again only to
hosts that deduplicate it (all hosts, or those of its zone or its cell), and only within the
deduplication window, which starts with its first attempt that may have run.

Budget: one token bucket for each route. The first attempt of a request earns `TOKENS_EARNED`; a
retry or a hedged attempt spends one token. The bucket holds at most `MAX_TOKENS`, and at most
`MAX_TOKENS_PER_REQUEST` tokens for each recent request. A first attempt never needs a token.
Without the budget retries multiply the load during an outage. Without the bound by recent traffic
many gateways with little traffic would together hold enough tokens for a retry storm.

Backoff: before the next group of attempts the request waits `INITIAL_BACKOFF_RATIO` of its attempt
timeout, doubled for each further group, times a jitter of 0.5 to 1.5. If the answer would come
after `useful_until_us` the request ends instead. Without the jitter gateways retry at the same time
after a common failure. When the process ends, the backoff is shortened so far that the time for
another attempt is left, and the request is retried while a part of that time is left: its client
gets no later chance at this process.

Harmless retries: the gateway may state to a client that a retry is harmless (reject) only if a
second execution does no harm, or if none of its attempts may have run. Otherwise the request fails,
which states nothing about a retry.

Inputs: the request with its attempts and outcomes, its route's idempotency, the recent arrivals.
Times and durations are microseconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.events import NEVER_RAN, Outcome
from quillroad.balancing.rejection import RejectionReason
from quillroad.balancing.settings import DeduplicationScope, Idempotency, Route
from quillroad.balancing.timers import TimerPurpose, set_timer

if TYPE_CHECKING:
    from quillroad.balancing.state import Attempt, BalancerState, HostState, Request, RouteState

TOKENS_EARNED = 0.5
"""Tokens that a first attempt earns: while all hosts fail the load grows by at most a half."""
MAX_TOKENS = 40.0
"""Tokens of a full bucket: enough to retry all requests in flight at one host when it fails."""
MAX_TOKENS_PER_REQUEST = 0.2
"""Upper bound of the tokens in a bucket for each recent request."""
INITIAL_BACKOFF_RATIO = 1 / 64
"""Initial backoff as a fraction of the attempt timeout: three retries fit into the objective."""
MIN_JITTER = 0.5
"""Least factor of the jitter of a backoff; the greatest one is 1 more."""
MIN_RETRY_FRACTION = 0.5
"""Fraction of the time for another attempt that must be left, when the process ends, for that
attempt to be worth making."""


def earn_tokens(state: BalancerState, route: RouteState) -> None:
    """Add the tokens that the first attempt of a request of this route earns."""
    capacity = max(1.0, min(MAX_TOKENS, MAX_TOKENS_PER_REQUEST * state.recent_requests))
    route.retry_budget.earn(TOKENS_EARNED, capacity)


def is_retryable(request: Request, outcome: Outcome) -> bool:
    """Whether a request may be retried at any host after this outcome of its last attempt."""
    idempotency = request.route.settings.idempotency
    return outcome in NEVER_RAN or idempotency is not Idempotency.NON_IDEMPOTENT


def may_try_again(state: BalancerState, request: Request, host: HostState) -> bool:
    """Whether a request that has had an attempt may have another one at this host now."""
    if len(request.attempts) >= state.settings.max_attempts:
        return False
    if request.in_flight and not request.route.hedging_allowed:
        return False
    if request.route.settings.idempotency is Idempotency.IDEMPOTENT:
        return True
    ran = request.may_have_run()
    return not ran or _is_deduplicated(state, request.route.settings, ran[0], host)


def _is_deduplicated(
    state: BalancerState, settings: Route, first: Attempt, host: HostState
) -> bool:
    """Whether a host deduplicates a repeat; `first` is the first attempt that may have run."""
    if settings.idempotency is Idempotency.NON_IDEMPOTENT:
        return False
    first_endpoint = first.host.endpoint
    retry_endpoint = host.endpoint
    if (
        settings.deduplication_scope is DeduplicationScope.ZONE
        and first_endpoint.zone != retry_endpoint.zone
    ):
        return False
    if (
        settings.deduplication_scope is DeduplicationScope.CELL
        and first_endpoint.cell != retry_endpoint.cell
    ):
        return False
    return state.now_us < first.sent_us + settings.deduplication_window_us


def is_retry_harmless(request: Request) -> bool:
    """Whether the gateway may state to the client that repeating the request is harmless."""
    settings = request.route.settings
    repeatable = settings.idempotency is Idempotency.IDEMPOTENT or (
        settings.idempotency is Idempotency.KEYED
        and settings.deduplication_scope is DeduplicationScope.ALL
    )
    return repeatable or not request.may_have_run()


def retry_or_end(
    state: BalancerState, request: Request, outcome: Outcome
) -> RejectionReason | None:
    """After the last attempt in flight failed, start the backoff or return why the request ends.

    None: the request is in its backoff.
    """
    if (
        len(request.attempts) < state.settings.max_attempts
        and is_retryable(request, outcome)
        and request.route.retry_budget.spend()
    ):
        return back_off(state, request)
    return RejectionReason.NO_RETRY


def _mean_backoff_us(request: Request) -> float:
    return request.route.attempt_timeout_us * INITIAL_BACKOFF_RATIO * 2.0**request.retry_groups


def longest_backoff_us(request: Request) -> float:
    """Return the longest time that the request may wait before its next attempt."""
    return _mean_backoff_us(request) * (MIN_JITTER + 1.0)


def back_off(state: BalancerState, request: Request) -> RejectionReason | None:
    """Start the backoff before the next attempt and return None.

    Returns `NO_TIME_FOR_RETRY` if the answer would be too late to be useful.
    """
    wait_us = _mean_backoff_us(request) * (MIN_JITTER + state.random.random())
    request.retry_groups += 1
    useful_until_us = request.useful_until_us
    needed_us = request.work_us
    if request.shortened_deadline_us is not None:
        useful_until_us = request.shortened_deadline_us
        wait_us = _shortened_backoff_us(request, wait_us, useful_until_us - state.now_us)
        needed_us *= MIN_RETRY_FRACTION
    if state.now_us + wait_us + needed_us < useful_until_us:
        set_timer(state, wait_us, TimerPurpose.RETRY, request)
        return None
    return RejectionReason.NO_TIME_FOR_RETRY


def _shortened_backoff_us(request: Request, wait_us: float, left_us: int) -> float:
    """Return a wait of at most `wait_us` that leaves the time for an attempt, if any wait does.

    Without this a timer that fires a little late costs a request its retry: the time that was left
    for that is just as long as the longest backoff and one attempt.
    """
    least_us = request.route.attempt_timeout_us * INITIAL_BACKOFF_RATIO * MIN_JITTER
    return min(wait_us, max(least_us, left_us - request.work_us))
