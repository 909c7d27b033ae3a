"""The one gate before every attempt: whether a request may be sent to a host now.

Decides nothing of its own but the order in which the rules are asked, the cheapest first: number of
attempts and hedging, idempotency (`retry`), drain, warm-up (`slow_start`), zone (`zone_awareness`).
Every attempt passes it, whoever asks for it: a rule that only one path knew would be broken by the
others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.endpoint import EndpointStatus
from quillroad.balancing.retry import may_run_again
from quillroad.balancing.settings import Idempotency
from quillroad.balancing.slow_start import may_warm
from quillroad.balancing.zone_awareness import is_remote, may_cross

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState, Request


def may_send(state: BalancerState, request: Request, host: HostState) -> bool:
    """Whether every rule allows one more attempt of the request, at this host, now."""
    route = request.route
    spent = len(request.attempts) >= state.settings.max_attempts
    if request.closed or spent or (request.in_flight and not route.hedging_allowed):
        return False
    if (
        route.settings.idempotency is not Idempotency.IDEMPOTENT
        and (ran := request.may_have_run())
        and not may_run_again(state, request, ran[0], host)
    ):
        return False
    if host.endpoint.status is not EndpointStatus.READY:
        return False
    if state.warming and not may_warm(state, request, host):
        return False
    return (
        state.cross_zone is None
        or not is_remote(state, host)
        or may_cross(state, request, state.cross_zone)
    )
