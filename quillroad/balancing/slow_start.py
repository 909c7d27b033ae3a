"""Slow start: gateways send to a warming host in turns, one gateway per time slot.

Decides whether a request may go to a host within `warm_up_us` of its start. Inputs: the host's
start time and ring position, the gateway's index and the number of gateways (both from the
settings), the request's expected work (us), and what the platform guarantees: the fraction of its
full capacity that a starting host has, and the multiple of this capacity, over a window, at which
the host is overloaded.

The time since the host's start is divided into slots of `slow_start_slot_us`. Slot number, ring
position and gateway index determine the one gateway that owns a slot, so that gateways agree
without communication. The owner may use all the work that is safe for the whole fleet, since an
even share for each gateway would be less than one request. A window can overlap two whole slots, so
each slot gets half of the safe work.

Without slots all gateways would send to a host as soon as it appears, and it would answer with
errors for as long as they do; a deploy of many hosts would then take one after another out of
service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillroad.balancing.settings import Settings
    from quillroad.balancing.state import BalancerState, HostState, Request

SAFE_WORK_FRACTION = 0.5
"""Fraction of a warming host's guaranteed work that one slot uses: a window can overlap two
slots."""


def slot_length_us(settings: Settings, max_work_us: float) -> int:
    """Return the length of a slot (us).

    A slot of a host that has just started has work for one request of the most expensive route,
    whose work is `max_work_us`. It is at most the guaranteed window, and at least 1 us, however
    short the deadlines are.
    """
    safe_us = (
        SAFE_WORK_FRACTION
        * settings.overload_multiple
        * settings.initial_capacity
        * settings.overload_window_us
    )
    slot_count = max(1, int(safe_us / max_work_us))
    return max(1, settings.overload_window_us // slot_count)


def is_warming(state: BalancerState, host: HostState) -> bool:
    """Return whether the host is warming up. A start time of 0 or None means long ago."""
    started_us = host.endpoint.started_us
    return bool(started_us) and state.now_us < (started_us or 0) + state.settings.warm_up_us


def may_send_while_warming(state: BalancerState, request: Request, host: HostState) -> bool:
    """Return whether slow start allows a request at the host.

    At a warming host the slot must be this gateway's, the request's work must fit into the work
    left in the slot, and the host must be able to finish it, at its current capacity, while the
    answer is still useful.
    """
    if not is_warming(state, host):
        return True
    if not state.owns_slow_start:
        return False
    settings = state.settings
    started_us = host.endpoint.started_us or 0
    age_us = max(0, state.now_us - started_us)
    slot = age_us // state.slow_start_slot_us
    if (slot + host.ring_position) % settings.gateway_count != settings.gateway_index:
        return False
    if started_us + slot * state.slow_start_slot_us < (state.started_us or 0):
        # The previous process of this gateway may have used up the slot: a gateway that restarts
        # within a slot would use it twice and overload the host.
        return False
    capacity = (
        settings.initial_capacity + (1.0 - settings.initial_capacity) * age_us / settings.warm_up_us
    )
    if slot != host.slow_start_slot:
        host.slow_start_slot = slot
        host.slot_work_left_us = (
            SAFE_WORK_FRACTION * settings.overload_multiple * capacity * state.slow_start_slot_us
        )
    return request.work_us <= min(
        host.slot_work_left_us, capacity * (request.useful_until_us - state.now_us)
    )


def slot_end_us(state: BalancerState, host: HostState) -> int:
    """Return the end (us) of the slot in which this gateway last used the host.

    A request sent in that slot must reach the host by then.
    """
    return (host.endpoint.started_us or 0) + (host.slow_start_slot + 1) * state.slow_start_slot_us
