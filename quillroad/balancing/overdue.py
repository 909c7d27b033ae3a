"""Attempts in flight for longer than the attempt timeout.

Decides when an attempt counts as overdue, and what of it is known at once. Inputs: the attempts of
each route by the time at which they become overdue. An overdue attempt is a failure of its host
then, not when its client gives up: without this a host that hangs keeps drawing requests for a
deadline each. In a crowd the host may still be working on it and the attempt keeps its permit;
elsewhere, and at a silent host, it has got lost and gives it back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.concurrency_limit import is_crowded
from quillroad.balancing.outlier_detection import SILENCE_REST_US, blame, rest
from quillroad.balancing.slow_start import is_warming
from quillroad.balancing.subsetting import note_congestion

if TYPE_CHECKING:
    from quillroad.balancing.state import Attempt, BalancerState


def count_overdue(state: BalancerState) -> None:
    """Take in the attempts that have become overdue by now."""
    for route in state.routes:
        while route.overdue_schedule and route.overdue_schedule[0][0] <= state.now_us:
            attempt = route.overdue_schedule.popleft()[1]
            if attempt.outcome is None:
                _take_in(state, attempt)


def _take_in(state: BalancerState, attempt: Attempt) -> None:
    host = attempt.host
    attempt.overdue = True
    host.overdue += 1
    host.newest_overdue_sent_us = max(host.newest_overdue_sent_us, attempt.sent_us)
    attempt.permit_released = not is_crowded(state) or host.is_silent()
    state.in_flight -= attempt.permit_released
    if not attempt.permit_released and not is_warming(state, host):
        note_congestion(state, True)
    if state.concurrency_limit < 1.0 and host.is_silent():
        rest(state, host, SILENCE_REST_US)
    blame(state, host)
