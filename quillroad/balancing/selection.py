"""Which host an attempt goes to: the better of two, by discounted payoff.

Decides the host of each attempt. Inputs: the hosts that the gateway draws from (`subsetting`,
`workload_isolation`), their payoff, the permits taken at them, the machine types' speed.

A warming host whose slot is ours comes first: a slot that is not used is lost to all gateways, and
a deploy would leave the fleet cold. Otherwise two hosts are drawn at random and the one with the
higher payoff, less the price of crossing zones, divided by one plus its part of permits taken, gets
the attempt. Two draws spread load nearly as evenly as a view of all hosts, and gateways that see
the same payoffs do not all pick the same host. Without the lower-scored one in one pick of twenty a
host with a bad record would not be learned again.

Hosts of the local zone are drawn from while one of them has room. Where nothing has room in the
narrow choice the wide one is asked; where no host is healthy all count as such, so that a wrong
ejection of all is no outage.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.concurrency_limit import MANY_GATEWAYS_LIMIT
from quillroad.balancing.outlier_detection import payoff
from quillroad.balancing.send_gate import may_send
from quillroad.balancing.slow_start import is_warming
from quillroad.balancing.subsetting import is_out_of_permits, update_subset
from quillroad.balancing.workload_isolation import hosts_of_route
from quillroad.balancing.zone_awareness import check_local_zone, is_remote

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState, Request

EXPLORED_PART = 0.05
"""Share of picks that go to the lower-scored host: enough that a host that recovers is noticed."""
LOCAL_FILL = 0.5
"""Part of its permits up to which a local host takes all: beyond it a wait costs more than to cross
zones."""


def pick(state: BalancerState, request: Request) -> HostState | None:
    """The host for the next attempt of a request; None where none has room."""
    budget = state.cross_zone
    if budget is not None and budget.is_check_due(state.now_us):
        check_local_zone(state, budget)
    if state.warming and (warming := _pick_warming(state, request)) is not None:
        return warming
    subset = update_subset(state)
    if not subset:
        hosts = hosts_of_route(state, request.route)
        # With a budget a crossing is dearer than a wait at a local host with room.
        fill = LOCAL_FILL if budget is None else 1.0
        return _pick_better(state, request, hosts, hosts, fill)
    if is_out_of_permits(state):
        return None
    # In a subset too little is seen to tell the work of long requests: no hosts are kept for them.
    return _pick_better(state, request, subset, state.candidates, 1.0)


def _pick_better(
    state: BalancerState,
    request: Request,
    narrow: list[HostState],
    wide: list[HostState],
    fill: float,
) -> HostState | None:
    """The better of two hosts of `narrow`, local ones first, up to `fill` of their permits.

    Where none has room the first is drawn from `wide` and the second from `narrow`, up to all of
    their permits. `wide` is `narrow` itself where no subset is drawn from.
    """
    in_subset = narrow is not wide
    local = narrow if state.all_local else [h for h in narrow if not is_remote(state, h)]
    pool = narrow if in_subset else local
    first = _draw(state, request, local, fill)
    if first is None and in_subset:
        first = _draw(state, request, pool, fill)
    if first is None:
        pool = narrow
        fill = 1.0
        first = _draw(state, request, wide, panic=_none_is_healthy(state, narrow))
        if first is None:
            return None
    elif state.cross_zone is not None and not is_remote(state, first):
        pool = local  # the second draw must not cross where the first need not
    return _explore(state, first, _draw(state, request, pool, fill, first))


def _none_is_healthy(state: BalancerState, hosts: list[HostState]) -> bool:
    return not any(host.is_healthy(state.now_us) for host in hosts)


def _explore(state: BalancerState, first: HostState, second: HostState | None) -> HostState:
    """The one with the higher score, or by chance, seldom, the other. None: there is no other."""
    second = second or first
    if score(state, first) >= score(state, second):
        better, worse = first, second
    else:
        better, worse = second, first
    return worse if state.random.random() < EXPLORED_PART else better


def score(state: BalancerState, host: HostState) -> float:
    """Payoff less the price of crossing zones, discounted by the part of permits taken."""
    price = state.settings.cross_zone_cost * is_remote(state, host)
    return (payoff(state, host) - price) / (1.0 + host.permits_taken() / state.permits_per_host)


def _pick_warming(state: BalancerState, request: Request) -> HostState | None:
    """The first warming host that may be used now.

    Nothing crosses zones for the sake of a host that its own zone can warm up.
    """
    budget = state.cross_zone
    # In a subset nobody else sends to a warming host in our slot: all its permits are ours.
    permits = state.permits_per_host
    if state.concurrency_limit < 1.0:
        permits = max(permits, MANY_GATEWAYS_LIMIT)
    for host in state.warming:
        if budget is not None and is_remote(state, host) and not budget.local_zone_lost:
            continue
        if (
            is_warming(state, host)
            and host.is_healthy(state.now_us)
            and host.permits_taken() + 1 <= permits
            and may_send(state, request, host)
        ):
            return host
    return None


def _draw(
    state: BalancerState,
    request: Request,
    pool: list[HostState],
    fill: float = 1.0,
    other: HostState | None = None,
    panic: bool = False,
) -> HostState | None:
    """The first host of the pool with room from a random place on, not `other`.

    A host has room up to `fill` of its permits. One that was tried before is drawn only where there
    is no other host at all. `panic`: unhealthy hosts count as healthy.
    """
    count = len(pool)
    start = _first_place(state, pool)
    most = max(1.0, fill * state.permits_per_host)
    for place in range(start, start + count):
        host = pool[place % count]
        if host is other or host.permits_taken() + 1 > most:
            continue
        if not (panic or host.is_healthy(state.now_us)):
            continue
        if request.attempts and _was_tried(state, request, host):
            continue
        if may_send(state, request, host):
            return host
    return None


def _was_tried(state: BalancerState, request: Request, host: HostState) -> bool:
    """Whether the request was tried at the host before, and may be tried elsewhere or is still."""
    if host not in [attempt.host for attempt in request.attempts]:
        return False
    return len(state.candidates) > 1 or request.in_flight > 0


def _first_place(state: BalancerState, pool: list[HostState]) -> int:
    """A random place in the pool, in a part of all hosts by the speed of their machine types.

    In a subset too few attempts are in flight for the discount to tell slow types from fast ones.
    """
    count = len(pool)
    start = int(state.random.random() * count)
    if len(state.machine_slowness) <= 1 or not 0 < count < len(state.candidates):
        return start
    weights = [2.0 ** -state.machine_slowness[host.endpoint.machine_type] for host in pool]
    return state.random.choices(range(count), weights)[0]
