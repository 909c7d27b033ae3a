"""Timers that the decisions set: what each is for, and the request that it is about."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from quillroad.balancing.actions import SetTimer

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, Request


class TimerPurpose(StrEnum):
    """What is to be done when a timer fires. The values are those of stored state snapshots."""

    HEDGE = "hedge"
    """The request is slower than most of its route: consider a second attempt."""
    QUEUE_TIMEOUT = "shed"
    """A queued request can no longer meet its objective: reject it if it still waits."""
    RETRY = "send_again"
    """The backoff of a request is over: start its next attempt."""
    WATCH_ENDPOINTS = "watch"
    """The backoff after a failed poll is over: ask discovery for the endpoint list again."""
    RESUME_QUEUE = "go_on"
    """A pause is over: what is queued is looked at after every event, so also after this one."""
    RELEASE_PERMIT = "laid"
    """A host has most likely stopped working on an attempt that its client gave up."""


class Timer(NamedTuple):
    """A timer that has not fired yet. `request` is None where it is about no single request."""

    purpose: TimerPurpose
    request: Request | None


def set_timer(
    state: BalancerState, delay_us: float, purpose: TimerPurpose, request: Request | None = None
) -> None:
    """Ask to be woken `delay_us` microseconds from now; a time in the past is now."""
    state.last_timer_id += 1
    state.timers[state.last_timer_id] = Timer(purpose, request)
    state.actions.append(SetTimer(max(0, int(delay_us)), state.last_timer_id))
