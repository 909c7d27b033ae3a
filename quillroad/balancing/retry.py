"""The retry policy: all that decides whether, when and where a failed request is sent again.

Attempts: a request has `settings.max_attempts` attempts at most, hedged ones included.

Classification: an outcome that proves that no host has started the request (rejected, connection
failed, not sent) may be retried for every route. Any other failure may be retried unless the route
is non-idempotent. A keyed request that may have run is sent again only to the hosts that drop its
repeats (all, its zone or its cell), and only within the deduplication window, counted from its
first attempt that may have run.

Budget: one token bucket a route. The first attempt of a request earns `TOKENS_EARNED`; a retry or a
hedged attempt spends one token. The bucket holds `MOST_TOKENS` at most, and no more than
`SAVED_PART` of the recent requests. A first attempt never needs a token. Without the budget retries
multiply the load of an outage; without the bound by recent traffic many small gateways together
hold a storm.

Backoff: before the attempt after a failed group the request waits `FIRST_BACKOFF_PART` of its
attempt timeout, doubled with each group, times a jitter of 0.5 to 1.5. Where its answer would come
after `useful_until_us` it ends instead. Without the jitter gateways retry in step after a common
failure.

Harmless: the client may be told that a retry is harmless (reject) only if a second run does no
harm, or none of its attempts may have run. Otherwise the request fails, which promises nothing.

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
"""Tokens that a first attempt earns: with all hosts failing the load grows by half at most."""
MOST_TOKENS = 40.0
"""Tokens of a full bucket: the retries of one host that fails at once with what it holds."""
SAVED_PART = 0.2
"""Part of the recent requests that the bucket holds tokens for at most."""
FIRST_BACKOFF_PART = 1 / 64
"""First backoff as a part of the attempt timeout: three retries fit into the objective."""


def earn_tokens(state: BalancerState, route: RouteState) -> None:
    """A request of the route has its first attempt."""
    saved = max(1.0, min(MOST_TOKENS, SAVED_PART * state.recent_requests))
    route.retry_budget.earn(TOKENS_EARNED, saved)


def is_retryable(request: Request, outcome: Outcome) -> bool:
    """Whether a request may be tried again at all after this outcome of its last attempt."""
    idempotency = request.route.settings.idempotency
    return outcome in NEVER_RAN or idempotency is not Idempotency.NON_IDEMPOTENT


def may_try_again(state: BalancerState, request: Request, host: HostState) -> bool:
    """Whether a request that has had an attempt may have another, at this host, now."""
    if len(request.attempts) >= state.settings.max_attempts:
        return False
    if request.in_flight and not request.route.hedging_allowed:
        return False
    if request.route.settings.idempotency is Idempotency.IDEMPOTENT:
        return True
    ran = request.may_have_run()
    return not ran or _is_repeat_dropped(state, request.route.settings, ran[0], host)


def _is_repeat_dropped(
    state: BalancerState, settings: Route, first: Attempt, host: HostState
) -> bool:
    """Whether a host drops a repeat; `first` is the first attempt that may have run."""
    if settings.idempotency is Idempotency.NON_IDEMPOTENT:
        return False
    there = first.host.endpoint
    here = host.endpoint
    if settings.deduplication_scope is DeduplicationScope.ZONE and there.zone != here.zone:
        return False
    if settings.deduplication_scope is DeduplicationScope.CELL and there.cell != here.cell:
        return False
    return state.now_us < first.sent_us + settings.deduplication_window_us


def is_retry_harmless(request: Request) -> bool:
    """Whether the client may be told that it can send the request again."""
    settings = request.route.settings
    repeatable = settings.idempotency is Idempotency.IDEMPOTENT or (
        settings.idempotency is Idempotency.KEYED
        and settings.deduplication_scope is DeduplicationScope.ALL
    )
    return repeatable or not request.may_have_run()


def retry_or_end(
    state: BalancerState, request: Request, outcome: Outcome
) -> RejectionReason | None:
    """The last attempt in flight failed: start the backoff (None), or say why the request ends."""
    if (
        len(request.attempts) < state.settings.max_attempts
        and is_retryable(request, outcome)
        and request.route.retry_budget.spend()
    ):
        return back_off(state, request)
    return RejectionReason.NO_RETRY


def back_off(state: BalancerState, request: Request) -> RejectionReason | None:
    """Start the backoff before the next attempt (None), or say that there is no time for it."""
    wait_us = (
        request.route.attempt_timeout_us
        * FIRST_BACKOFF_PART
        * 2.0**request.retry_groups
        * (0.5 + state.random.random())
    )
    request.retry_groups += 1
    if state.now_us + wait_us + request.work_us < request.useful_until_us:
        set_timer(state, wait_us, TimerPurpose.RETRY, request)
        return None
    return RejectionReason.NO_TIME_FOR_RETRY
