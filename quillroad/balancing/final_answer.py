"""The end of a request: the gateway's own final answer, and what is called off after any.

Decides what a client is told that gets no host's answer: that a retry is harmless (reject), or
nothing (fail). Inputs: the reason, the attempts, whether their repeat does harm (`retry`). Every
request gets exactly one final answer, and nothing is sent after it: `finish` is the only place
where the balancer gives one. (The engine answers by itself if the balancer decides nothing in
time.)
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.actions import CancelAttempt, Fail, Reject
from quillroad.balancing.events import ClientDisconnected
from quillroad.balancing.rejection import RejectionReason, count
from quillroad.balancing.retry import is_retry_harmless

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, Request


def finish(state: BalancerState, request: Request, reason: RejectionReason) -> None:
    """Give the gateway's own final answer, and count the reason."""
    count(state.counters, reason)
    settings = state.settings
    retry_after_us = settings.max_retry_after_us if settings.retry_after_allowed else 0
    if request.route.cross_zone_denied and state.cross_zone is not None and not request.attempts:
        state.cross_zone.note_rejection(request.route_index)
    state.actions.append(
        Reject(request.id, retry_after_us) if is_retry_harmless(request) else Fail(request.id)
    )
    close(state, request)


def close(state: BalancerState, request: Request) -> None:
    """The request has its final answer, or needs none: attempts still in flight are called off."""
    if not request.closed and state.settings.cancellation_allowed:
        state.actions += [
            CancelAttempt(request.id, number)
            for number, attempt in enumerate(request.attempts)
            if not attempt.outcome
        ]
    request.closed = True
    if not request.in_flight:
        state.requests.pop(request.id, None)


def on_client_disconnected(state: BalancerState, event: ClientDisconnected) -> None:
    """The client has gone: no answer is owed."""
    request = state.requests.get(event.request)
    if request is not None:
        request.client_gone = True
        close(state, request)
