"""Outlier detection: the payoff of a host, its ejection and its return.

Decides which hosts are in rotation. Inputs: the reward of each outcome (1 if it met the objective,
else 0), its time, the gateway's traffic, the number of gateways.

Payoff: the smoothed share (0 to 1) of a host's attempts that met the objective. The older the last
outcome, the closer the payoff is taken to be to the mean of all hosts, so that recorded failures
expire; after a long time without outcomes a single new one has a large weight.

Ejection: a host whose payoff falls below `EJECTION_PAYOFF` leaves rotation. The first ejection
lasts `TRIAL_WORK_FACTOR` times the work of one trial request from each gateway that shares the
host, and at least the longest route deadline. The duration doubles with each further ejection, up
to four times the first, and one answer resets it. Without ejection a host that fails fast would
keep attracting requests; with too short an ejection the trial requests of all gateways together
would overload the host that they test.

Rest: a gateway that draws from a subset can use the next host of the ring at no extra cost. There
every fast failure and every silent attempt takes the host out of rotation at once, for a time that
doubles with each consecutive failure. This costs less than a dozen failures at each of many
gateways until all of them have learned that the host is down.
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
"""Weight of the newest outcome in a payoff, which then covers about eight outcomes: enough not to
eject a host for one lost answer, few enough to detect a failing host within a second."""
EJECTION_PAYOFF = 0.3
"""Payoff below which a host is ejected: seven failures in ten attempts are not chance."""
TRIAL_WORK_FACTOR = 2.0
"""Duration of a first ejection, as a multiple of the work of one trial request from each gateway:
twice the time that the host needs for these requests."""
MAX_EJECTION_FACTOR = 4
"""Maximum duration of an ejection, as a multiple of the first: the recovery of a host must not
stay undetected for longer."""
FAILURE_SUSPENSION_US = 250_000
"""Rest after a first fast failure, in a subset: the minimum time that a host needs to restart."""
SILENCE_SUSPENSION_US = 1_000_000
"""Rest after a first silent attempt, in a subset: each one holds a permit for an attempt
timeout."""
MAX_REST_DOUBLINGS = 5
"""Doublings of a rest: up to 8 s after fast failures, within the interval of endpoint updates."""


def freshness(state: BalancerState, host: HostState) -> float:
    """Return the weight of a host's payoff by its age: 1 after an outcome, decaying to 0."""
    return math.exp(min(0, host.heard_us - state.now_us) / state.decay_time_us)


def payoff(state: BalancerState, host: HostState) -> float:
    """Return the payoff (0 to 1) expected of a host now."""
    return state.mean_payoff + (host.payoff - state.mean_payoff) * freshness(state, host)


def record_outcome(
    state: BalancerState, host: HostState, reward: float, may_shed: bool = True
) -> None:
    """Update a host's payoff by one outcome: reward 1 if it met the objective, else 0.

    `may_shed`: the outcome may also lower the admitted share of load shedding.
    """
    adjust_admitted_ratio(state, reward, may_shed)
    host_freshness = freshness(state, host)
    expected_payoff = state.mean_payoff + (host.payoff - state.mean_payoff) * host_freshness
    weight = max(PAYOFF_SMOOTHING, 1.0 - host_freshness)
    host.payoff = expected_payoff + (reward - expected_payoff) * weight
    host.heard_us = state.now_us
    state.mean_payoff += (reward - state.mean_payoff) * PAYOFF_SMOOTHING


def record_failure(state: BalancerState, host: HostState, may_shed: bool = True) -> None:
    """Record a failure of a host, and eject the host if its payoff is now too low."""
    record_outcome(state, host, 0.0, may_shed)
    if host.payoff >= EJECTION_PAYOFF or host.ejected_until_us > state.now_us:
        return
    sharing_gateways = state.gateway_count * min(
        1.0, state.recent_requests / max(1, len(state.candidates))
    )
    first_ejection_us = max(
        TRIAL_WORK_FACTOR * sharing_gateways * state.mean_work_us,
        *(route.settings.deadline_us for route in state.routes),
    )
    ejection_us = int(first_ejection_us * min(MAX_EJECTION_FACTOR, 2**host.ejections))
    host.ejections += 1
    count(state.counters, DecisionCounter.EJECTIONS)
    host.ejected_until_us = host.heard_us = state.now_us + ejection_us
    host.payoff = UNKNOWN_PAYOFF
    state.actions.append(
        LogMessage(f"eject server={host.endpoint.id} for_ms={ejection_us // 1000}")
    )


def suspend_host(state: BalancerState, host: HostState, first_rest_us: int) -> None:
    """Take a host of the subset out of rotation for a time, and count the failure.

    The time is `first_rest_us` after a first failure and doubles with each consecutive one.
    """
    rest_us = int(first_rest_us * 2.0 ** min(host.consecutive_failures, MAX_REST_DOUBLINGS))
    host.ejected_until_us = max(host.ejected_until_us, state.now_us + rest_us)
    host.consecutive_failures += 1
