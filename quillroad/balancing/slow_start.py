"""Work at hosts that are warming up: slots that gateways take in turn.

Decides whether a request may go to a host within `warm_up_us` of its start. Inputs: the host's
start time and ring position, the gateway's index and the number of gateways as told in the
settings, the request's expected work (us), and the promises of the platform: the part of its work
that a starting host can do, and the multiple of that, over a window, at which it tips over.

Time since the host's start is cut into slots of `slot_us`. A slot belongs to one gateway, by slot
number, ring position and gateway index, so that gateways agree without a word between them. Its
owner may use all the work that is safe for the whole fleet: an even share for each gateway would be
less than one request. A window can touch two slots in full, so each has half of the safe work.

Without it all gateways try a host the moment it appears; it answers with errors for as long as they
do, which takes deploys of many hosts out of service one after another.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillroad.balancing.settings import Settings
    from quillroad.balancing.state import BalancerState, HostState, Request

SAFE_WORK_PART = 0.5
"""Part of the promised work of a warming host that one slot uses: a window can touch two slots."""


def slot_length_us(settings: Settings, dearest_work_us: float) -> int:
    """Length of a slot (us): it has work for one request of the dearest route at the coldest host.

    It is no longer than the promised window, and at least 1 us however short the deadlines are.
    """
    safe_us = (
        SAFE_WORK_PART
        * settings.overload_multiple
        * settings.initial_capacity
        * settings.overload_window_us
    )
    slots = max(1, int(safe_us / dearest_work_us))
    return max(1, settings.overload_window_us // slots)


def is_warming(state: BalancerState, host: HostState) -> bool:
    """Whether the host is within the warm-up time of its start. Start 0 or None: long ago."""
    started_us = host.endpoint.started_us
    return bool(started_us) and state.now_us < (started_us or 0) + state.settings.warm_up_us


def may_send_while_warming(state: BalancerState, request: Request, host: HostState) -> bool:
    """Whether a request may go to the host as far as its warming up goes.

    Its work has to fit into what is left of the slot, and has to be done at the host's present
    capacity while its answer still has a value.
    """
    if not is_warming(state, host):
        return True
    if not state.owns_slow_start:
        return False
    settings = state.settings
    started_us = host.endpoint.started_us or 0
    since_us = max(0, state.now_us - started_us)
    slot = since_us // state.slot_us
    if (slot + host.ring_position) % settings.gateway_count != settings.gateway_index:
        return False
    if started_us + slot * state.slot_us < (state.started_us or 0):
        # The process before this one may have used the slot up: without this a gateway that
        # restarts uses it twice and tips the host over.
        return False
    capacity = (
        settings.initial_capacity
        + (1.0 - settings.initial_capacity) * since_us / settings.warm_up_us
    )
    if slot != host.slow_start_slot:
        host.slow_start_slot = slot
        host.slot_work_left_us = (
            SAFE_WORK_PART * settings.overload_multiple * capacity * state.slot_us
        )
    return request.work_us <= min(
        host.slot_work_left_us, capacity * (request.useful_until_us - state.now_us)
    )


def slot_end_us(state: BalancerState, host: HostState) -> int:
    """When the slot ends in which the host was last used: a send must have reached it by then."""
    return (host.endpoint.started_us or 0) + (host.slow_start_slot + 1) * state.slot_us
