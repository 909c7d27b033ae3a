"""Attempts: start them, process their outcome, and retry, end or hold their request.

This module itself decides only the latest time at which an attempt's first byte may be sent.
Other rules decide the rest: `selection` picks the host, `retry` and `hedging` decide whether there
is another attempt, `learning` evaluates the outcome.
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
from quillroad.balancing.shutdown import attempt_timeout_us
from quillroad.balancing.slow_start import is_warming, slot_end_us
from quillroad.balancing.state import Attempt
from quillroad.balancing.zone_awareness import spend

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState, Request


def try_send(state: BalancerState, request: Request) -> bool:
    """Start an attempt if a host has a free permit; return whether one was started."""
    request.route.cross_zone_denied = False
    host = pick(state, request)
    if host is None:
        return False
    send(state, request, host)
    return True


def send(state: BalancerState, request: Request, host: HostState) -> None:
    """Start an attempt at a host that `send_gate.may_send` allowed."""
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
    has_send_limit = state.warming or len(request.attempts) > 1
    latest_send_us = send_by_us(state, request, host) if has_send_limit else 0
    timeout_us = 0
    if request.shortened_deadline_us is not None:
        timeout_us = attempt_timeout_us(state, request)
    state.actions.append(SendAttempt(request.id, host.endpoint.id, timeout_us, latest_send_us))
    if request.long_body:
        # The duration depends on how fast the body is read, not on the host's health. Without this
        # exception slow readers would make healthy hosts count as silent, and each hedged attempt
        # would send another copy of the whole body.
        return
    route.overdue_schedule.append((state.now_us + route.attempt_timeout_us, attempt))
    if route.hedging_allowed:
        schedule_hedge(state, request)


def send_by_us(state: BalancerState, request: Request, host: HostState) -> int:
    """Return the latest time at which the newest attempt's first byte may be sent; 0: no limit.

    An attempt must reach its host within the deduplication window and the slow-start slot, and its
    connection may take a long time to be established.
    """
    limits_us = []
    settings = request.route.settings
    if len(request.attempts) > 1 and settings.idempotency is Idempotency.KEYED:
        earlier = [a for a in request.attempts[:-1] if a.outcome not in NEVER_RAN]
        if earlier:
            limits_us.append(earlier[0].sent_us + settings.deduplication_window_us)
    if state.warming and is_warming(state, host):
        limits_us.append(slot_end_us(state, host))
    return min(limits_us, default=0)


def on_attempt_finished(state: BalancerState, event: AttemptFinished) -> None:
    """Record the outcome of an attempt, then end the request, retry it or wait for its others."""
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
    """Mark the request as closed: the client has received the first bytes of its answer."""
    request = state.requests.get(event.request)
    if request is not None:
        request.closed = True


def on_retry_timer(state: BalancerState, request: Request) -> None:
    """Start the next attempt after the backoff.

    If no host has a free permit the request backs off again. It is not queued, because a retry may
    be limited to certain hosts and would block requests behind it that may go to any host.
    """
    if request.closed or try_send(state, request):
        return
    reason = back_off(state, request)
    if reason is not None:
        finish(state, request, reason)


def on_hedge_timer(state: BalancerState, request: Request) -> None:
    """Start a second attempt of a slow request if hedging is allowed."""
    host = pick_for_hedge(state, request)
    if host is not None:
        send(state, request, host)
