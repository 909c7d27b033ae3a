"""Load shedding: reject a share of arrivals while too few attempts meet their objective.

Computes `admitted_ratio` (0 to 1). Inputs: the reward of each outcome (1: it met the objective, 0:
it did not), and the number of recent arrivals. The ratio falls while fewer than `TARGET_IN_TIME` of
the attempts are in time and rises while more are. Without load shedding a fleet that cannot keep up
with its traffic works only on requests that are already too late; the concurrency limit of a single
gateway cannot prevent that.

Nothing is shed where the gateway picks hosts from a subset: there permits bound its attempts in
flight, so it cannot add to an overload, and failed attempts do not prove that there is one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState

TARGET_IN_TIME = 0.7
"""Share of attempts in time at which the admitted ratio stays constant: a higher target leaves part
of the fleet unused, with a lower one most of its work is wasted."""
MIN_ADMITTED_RATIO = 0.1
"""Lower bound of the admitted ratio: these requests detect the end of an overload and add little to
it."""
ADJUSTMENT_GAIN = 4.0
"""Gain applied to the reward minus `TARGET_IN_TIME`, divided by the number of recent arrivals. As
many good outcomes as recent arrivals raise the ratio by 1.2, as many bad ones lower it by 2.8."""
MIN_RECENT_REQUESTS = 1.0 / 0.12
"""Lower bound of the number of recent arrivals used: a payoff averages about as many outcomes."""


def is_shed(state: BalancerState) -> bool:
    """Whether to shed an arriving request: at random, with probability 1 - `admitted_ratio`.

    Always False where the gateway picks hosts from a subset.
    """
    return state.concurrency_limit >= 1.0 and state.random.random() > state.admitted_ratio


def adjust_admitted_ratio(state: BalancerState, reward: float, sheds: bool) -> None:
    """Adjust the admitted ratio to the outcome of an attempt.

    `reward`: 1 if the attempt was in time, else 0. `sheds`: whether the outcome may lower the
    ratio; if not it can only raise it.
    """
    if sheds or reward > TARGET_IN_TIME:
        step = ADJUSTMENT_GAIN / max(MIN_RECENT_REQUESTS, state.recent_requests)
        state.admitted_ratio = min(
            1.0, max(MIN_ADMITTED_RATIO, state.admitted_ratio + (reward - TARGET_IN_TIME) * step)
        )
