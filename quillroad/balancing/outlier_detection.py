"""The payoff of a host, and its ejection and return.

Decides which hosts are in rotation. Inputs: the reward of each outcome (1: it met the objective, 0:
not), its time, the gateway's traffic, the number of gateways.

Payoff: the smoothed share (0 to 1) of attempts that met the objective. It is less certain with age
and fades to the mean of all hosts, so blame fades too; of a host that was not heard of for long one
outcome says much.

Ejection: a host whose payoff falls below `EJECTION_PAYOFF` leaves rotation. The first time is
`TRIAL_WORK` times the work of one trial by each gateway that shares the host, and no shorter than
the longest route deadline; it doubles with each ejection up to four times, and one answer ends the
count. Without ejection a host that fails fast keeps drawing
requests; without the wait the trials of all gateways together jam the host that they test.

Rest: where a subset is drawn from, the next host of the ring is as near. There every quick failure
and every silent attempt rests the host at once, for a time that doubles: less costly than to learn
by a dozen failures, at each of many gateways, that it is gone.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quillroad.balancing.actions import LogMessage
from quillroad.balancing.load_shedding import adjust_admitted_ratio
from quillroad.balancing.rejection import DecisionCounter, count
from quillroad.balancing.state import UNKNOWN_PAYOFF

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState

PAYOFF_SMOOTHING = 0.12
"""Weight of the newest outcome in a payoff: about eight outcomes are remembered, enough not to
eject by one lost answer and few enough to notice a failing host within a second."""
EJECTION_PAYOFF = 0.3
"""A payoff below this ejects: seven failures in ten are no bad luck."""
TRIAL_WORK = 2.0
"""First ejection, in the work of one trial by each gateway: twice what the host needs for them."""
MOST_EJECTION_DOUBLING = 4
"""An ejection lasts at most so many times the first: a host that is well again must be noticed."""
FAILURE_REST_US = 250_000
"""Rest after a first quick failure, in a subset: as long as a host that restarts needs at least."""
SILENCE_REST_US = 1_000_000
"""Rest after a first silent attempt, in a subset: each costs a permit for an attempt timeout."""
MOST_REST_DOUBLINGS = 5
"""Doublings of a rest: up to 8 s after quick failures, within the time of an endpoint update."""


def freshness(state: BalancerState, host: HostState) -> float:
    """How much of what is known of a host still holds: 1 when just heard of, fading to 0."""
    return math.exp(min(0, host.heard_us - state.now_us) / state.memory_us)


def payoff(state: BalancerState, host: HostState) -> float:
    """The payoff (0 to 1) that is expected of a host now."""
    return state.mean_payoff + (host.payoff - state.mean_payoff) * freshness(state, host)


def credit(state: BalancerState, host: HostState, reward: float, sheds: bool = True) -> None:
    """Learn one outcome: reward 1 if it met the objective, 0 if not.

    `sheds`: it may also make load shedding reject more.
    """
    adjust_admitted_ratio(state, reward, sheds)
    fresh = freshness(state, host)
    known = state.mean_payoff + (host.payoff - state.mean_payoff) * fresh
    weight = max(PAYOFF_SMOOTHING, 1.0 - fresh)
    host.payoff = known + (reward - known) * weight
    host.heard_us = state.now_us
    state.mean_payoff += (reward - state.mean_payoff) * PAYOFF_SMOOTHING


def blame(state: BalancerState, host: HostState, sheds: bool = True) -> None:
    """Learn one failure, and eject the host where its payoff has fallen too far."""
    credit(state, host, 0.0, sheds)
    if host.payoff >= EJECTION_PAYOFF or host.ejected_until_us > state.now_us:
        return
    sharing = state.gateway_count * min(1.0, state.recent_requests / max(1, len(state.candidates)))
    first_us = max(
        TRIAL_WORK * sharing * state.mean_work_us,
        *(route.settings.deadline_us for route in state.routes),
    )
    wait_us = int(first_us * min(MOST_EJECTION_DOUBLING, 2**host.ejections))
    host.ejections += 1
    count(state.counters, DecisionCounter.EJECTIONS)
    host.ejected_until_us = host.heard_us = state.now_us + wait_us
    host.payoff = UNKNOWN_PAYOFF
    state.actions.append(LogMessage(f"eject server={host.endpoint.id} for_ms={wait_us // 1000}"))


def rest(state: BalancerState, host: HostState, first_us: int) -> None:
    """Leave a host of the subset alone for `first_us`, doubled with each failure in a row."""
    wait_us = int(first_us * 2.0 ** min(host.consecutive_failures, MOST_REST_DOUBLINGS))
    host.ejected_until_us = max(host.ejected_until_us, state.now_us + wait_us)
    host.consecutive_failures += 1
