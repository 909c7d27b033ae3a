"""The check before every attempt: whether a request may be sent to a host now.

It only combines the checks of other rules, in this order: final answer, further attempts and
idempotency (`retry`), drain, warm-up (`slow_start`), zone (`zone_awareness`). First attempts,
retries and hedged attempts all pass through it; a check made on one of these paths only would be
bypassed by the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.endpoint import EndpointStatus
from quillroad.balancing.retry import may_try_again
from quillroad.balancing.slow_start import may_send_while_warming
from quillroad.balancing.zone_awareness import may_cross

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState, Request


def may_send(state: BalancerState, request: Request, host: HostState) -> bool:
    """Whether all rules allow one more attempt of the request at this host now."""
    if request.closed:
        return False
    if request.attempts and not may_try_again(state, request, host):
        return False
    if host.endpoint.status is not EndpointStatus.READY:
        return False
    if state.warming and not may_send_while_warming(state, request, host):
        return False
    return state.cross_zone is None or may_cross(state, request, host, state.cross_zone)
