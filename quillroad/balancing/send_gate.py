"""The one gate before every attempt: whether a request may be sent to a host now.

Decides nothing of its own but the order in which the rules are asked: final answer, further
attempts and idempotency (`retry`), drain, warm-up (`slow_start`), zone (`zone_awareness`). Every
attempt passes it, whoever asks for it: a rule that only one path knew would be broken by the
others.
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
    """Whether every rule allows one more attempt of the request, at this host, now."""
    if request.closed:
        return False
    if request.attempts and not may_try_again(state, request, host):
        return False
    if host.endpoint.status is not EndpointStatus.READY:
        return False
    if state.warming and not may_send_while_warming(state, request, host):
        return False
    return state.cross_zone is None or may_cross(state, request, host, state.cross_zone)
