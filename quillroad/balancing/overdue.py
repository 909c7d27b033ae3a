"""Overdue attempts: those in flight for longer than the attempt timeout.

Decides when an attempt counts as overdue. Inputs: the attempts of each route, ordered by the time
at which they become overdue. An overdue attempt counts as a failure of its host at once, not only
when the request's deadline passes: otherwise a host that hangs would keep receiving requests for a
whole deadline. Where the hosts are crowded the host may still be processing the attempt, which
therefore keeps its permit. Elsewhere, and at a silent host, the attempt counts as lost and releases
its permit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.concurrency_limit import is_crowded
from quillroad.balancing.outlier_detection import (
    SILENCE_SUSPENSION_US,
    record_failure,
    suspend_host,
)
from quillroad.balancing.slow_start import is_warming
from quillroad.balancing.subsetting import note_congestion

if TYPE_CHECKING:
    from quillroad.balancing.state import Attempt, BalancerState


def count_overdue(state: BalancerState) -> None:
    """Process the attempts that have become overdue by `now_us`."""
    for route in state.routes:
        while route.overdue_schedule and route.overdue_schedule[0][0] <= state.now_us:
            attempt = route.overdue_schedule.popleft()[1]
            if attempt.outcome is None:
                _mark_overdue(state, attempt)


def _mark_overdue(state: BalancerState, attempt: Attempt) -> None:
    host = attempt.host
    attempt.overdue = True
    host.overdue += 1
    host.newest_overdue_sent_us = max(host.newest_overdue_sent_us, attempt.sent_us)
    attempt.permit_released = not is_crowded(state) or host.is_silent()
    state.in_flight -= attempt.permit_released
    if not attempt.permit_released and not is_warming(state, host):
        note_congestion(state, True)
    if state.concurrency_limit < 1.0 and host.is_silent():
        suspend_host(state, host, SILENCE_SUSPENSION_US)
    record_failure(state, host)
