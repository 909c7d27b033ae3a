"""Timers of the balancer: the purpose of each, and the request that it belongs to."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from quillroad.balancing.actions import SetTimer

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, Request


class TimerPurpose(StrEnum):
    """What to do when a timer fires. The values are stored in state snapshots."""

    HEDGE = "hedge"
    """The request is slower than most requests of its route: consider a hedged attempt."""
    QUEUE_TIMEOUT = "shed"
    """A request can no longer be answered in time: reject it if it is still queued."""
    RETRY = "send_again"
    """The backoff of a request is over: start its next attempt."""
    WATCH_ENDPOINTS = "watch"
    """The backoff after a failed poll is over: ask discovery for the endpoint list again."""
    RESUME_QUEUE = "go_on"
    """A pause is over. The queue is drained after every batch of events, so also after this one."""
    RELEASE_PERMIT = "laid"
    """A host has most likely stopped processing an attempt whose client disconnected."""


class Timer(NamedTuple):
    """A timer that has not fired yet; `request` is None if it does not belong to one request."""

    purpose: TimerPurpose
    request: Request | None


def set_timer(
    state: BalancerState, delay_us: float, purpose: TimerPurpose, request: Request | None = None
) -> None:
    """Set a timer that fires after `delay_us` microseconds; a negative delay counts as 0."""
    state.last_timer_id += 1
    state.timers[state.last_timer_id] = Timer(purpose, request)
    state.actions.append(SetTimer(max(0, int(delay_us)), state.last_timer_id))
