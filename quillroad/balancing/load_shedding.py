"""The share of arrivals that is admitted while too few attempts meet their objective.

Decides `admitted_ratio` (0 to 1). Inputs: the reward of each outcome (1: it met the objective, 0:
not), and the arrivals of late. The share falls while fewer than `TARGET_IN_TIME` of the attempts
are in time and rises while more are. Without it a fleet that is slower than its traffic works on
nothing but requests that are too late: no limit of a single gateway can bound that.

Where a subset is drawn from, permits bound what is in flight, so that this gateway cannot add to an
overload, and failures there do not prove one. There nothing is shed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState

TARGET_IN_TIME = 0.7
"""Share of attempts in time at which the admitted share holds: with more the fleet is not used in
full, with fewer most of its work is wasted."""
LEAST_ADMITTED = 0.1
"""Share admitted at the worst: it finds out that the overload is over, and adds little to it."""
STEP = 4.0
"""Gain on the reward less `TARGET_IN_TIME`, spread over the recent arrivals: as many good outcomes
as there were arrivals move the ratio up by 1.2, as many bad ones down by 2.8."""
LEAST_REMEMBERED = 1.0 / 0.12
"""Recent arrivals counted with at least: so many outcomes make up a payoff."""


def is_shed(state: BalancerState) -> bool:
    """Whether to turn an arrival away: by chance, in proportion to the share not admitted."""
    return state.concurrency_limit >= 1.0 and state.random.random() > state.admitted_ratio


def adjust_admitted_ratio(state: BalancerState, reward: float, sheds: bool) -> None:
    """Learn one outcome: reward 1 if in time, else 0. Not `sheds`: it may only raise the share."""
    if sheds or reward > TARGET_IN_TIME:
        step = STEP / max(LEAST_REMEMBERED, state.recent_requests)
        state.admitted_ratio = min(
            1.0, max(LEAST_ADMITTED, state.admitted_ratio + (reward - TARGET_IN_TIME) * step)
        )
