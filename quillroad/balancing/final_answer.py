"""The end of a request: the gateway's own final answer, and cancellation of remaining attempts.

Decides what the gateway answers a client for which it has no host's answer: a rejection, which
states that a retry is harmless, or a failure, which does not. Inputs: the reason, the attempts, and
whether repeating them does harm (`retry`). Every request gets exactly one final answer, and no
attempt is sent after it: `finish` is the only place where the balancer gives one. (The engine sends
an answer itself if the balancer decides nothing in time.)
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
    """Reject or fail the request, and count the reason."""
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
    """Mark the request as closed and cancel its attempts that are still in flight.

    Called once the request has its final answer, or its client has disconnected.
    """
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
    """Close the request of a client that disconnected: no answer has to be sent."""
    request = state.requests.get(event.request)
    if request is not None:
        request.client_gone = True
        close(state, request)
