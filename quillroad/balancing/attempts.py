"""Attempts from start to end: sends, their outcome, and what follows for the request.

Decides when an attempt's first byte may go out at the latest; the rest is asked of the rules:
`selection` where it goes, `retry` and `hedging` whether there is a further one, `learning` what its
outcome says.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.actions import SendAttempt
from quillroad.balancing.events import NEVER_RAN, AttemptFinished, Outcome, StreamStarted
from quillroad.balancing.final_answer import close, finish
from quillroad.balancing.hedging import pick_for_hedge, schedule_hedge
from quillroad.balancing.learning import learn
from quillroad.balancing.retry import back_off, earn_tokens, retry_or_end
from quillroad.balancing.selection import pick
from quillroad.balancing.settings import Idempotency
from quillroad.balancing.slow_start import is_warming, slot_end_us
from quillroad.balancing.state import Attempt
from quillroad.balancing.zone_awareness import spend

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState, Request


def place(state: BalancerState, request: Request) -> bool:
    """Start an attempt of the request where a host has room; False where none has."""
    request.route.cross_zone_denied = False
    host = pick(state, request)
    if host is None:
        return False
    send(state, request, host)
    return True


def send(state: BalancerState, request: Request, host: HostState) -> None:
    """Start an attempt at a host that `send_gate` has passed."""
    route = request.route
    attempt = Attempt(host, state.now_us)
    if state.cross_zone is not None:
        spend(state, request, host, state.cross_zone)
    if not request.attempts:
        earn_tokens(state, route)
    request.attempts.append(attempt)
    request.in_flight += 1
    state.in_flight += 1
    host.in_flight += 1
    attempt.filled_host = host.in_flight + 1 > state.permits_per_host
    host.slot_work_left_us -= request.work_us
    bounded = state.warming or len(request.attempts) > 1
    by_us = send_by_us(state, request, host) if bounded else 0
    state.actions.append(SendAttempt(request.id, host.endpoint.id, 0, by_us))
    if request.long_body:
        # Its duration tells how fast a body is read, not how the host is. Without this exception
        # slow readers make hosts pass for silent, and each has a copy of the whole body.
        return
    route.overdue_schedule.append((state.now_us + route.attempt_timeout_us, attempt))
    if route.hedging_allowed:
        schedule_hedge(state, request)


def send_by_us(state: BalancerState, request: Request, host: HostState) -> int:
    """Until when the first byte of the newest attempt may go out; 0: at any time.

    Deduplication windows and slow-start slots count from when a request reaches its host, and its
    connection may come up late.
    """
    latest = []
    settings = request.route.settings
    if len(request.attempts) > 1 and settings.idempotency is Idempotency.KEYED:
        ran = [a for a in request.attempts[:-1] if a.outcome not in NEVER_RAN]
        if ran:
            latest.append(ran[0].sent_us + settings.deduplication_window_us)
    if state.warming and is_warming(state, host):
        latest.append(slot_end_us(state, host))
    return min(latest, default=0)


def on_attempt_finished(state: BalancerState, event: AttemptFinished) -> None:
    """Learn the outcome of an attempt, and end the request, retry it or wait for its others."""
    request = state.requests.get(event.request)
    if request is None:
        return
    attempt = request.attempts[event.attempt]
    if attempt.outcome is not None:
        return
    attempt.outcome = event.outcome
    request.in_flight -= 1
    learn(state, request, attempt, event)
    if event.answered or event.outcome is Outcome.SUCCESS or request.closed:
        close(state, request)
    elif not request.in_flight:
        reason = retry_or_end(state, request, event.outcome)
        if reason is not None:
            finish(state, request, reason)


def on_stream_started(state: BalancerState, event: StreamStarted) -> None:
    """The client has the first bytes of the answer: the attempt is its own from here on."""
    request = state.requests.get(event.request)
    if request is not None:
        request.closed = True


def on_retry_timer(state: BalancerState, request: Request) -> None:
    """The backoff is over: start the next attempt.

    With no room the request backs off again. In the queue it could block requests that may go to
    any host.
    """
    if request.closed or place(state, request):
        return
    reason = back_off(state, request)
    if reason is not None:
        finish(state, request, reason)


def on_hedge_timer(state: BalancerState, request: Request) -> None:
    """Start a second attempt of a slow request, where that is allowed."""
    host = pick_for_hedge(state, request)
    if host is not None:
        send(state, request, host)
