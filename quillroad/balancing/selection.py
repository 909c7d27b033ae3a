"""Host selection: power of two choices, scored by payoff and permits taken.

Decides the host of each attempt. Inputs: the hosts that the gateway may pick from (`subsetting`,
`workload_isolation`), their payoff, the permits taken at them, the speed of their machine types.

A warming host whose slow-start slot belongs to this gateway comes first: no other gateway may use
the slot, and if slots stay unused the fleet stays cold after a deploy. Otherwise two hosts are
drawn at random and the attempt goes to the one with the higher score: the payoff, minus the cost of
crossing zones, divided by one plus the ratio of its permits taken. Two random draws spread load
nearly as evenly as comparing all hosts, and gateways that see the same payoffs do not all pick the
same host. One pick in twenty takes the lower-scored host; otherwise a host with a low payoff would
get no attempts that show that it has recovered.

Hosts of the local zone are preferred while one of them has a free permit. If no host of the subset
has one, all candidates are considered. If no host is healthy, all count as healthy, so that
ejecting all hosts by mistake does not cause an outage.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.concurrency_limit import MANY_GATEWAYS_LIMIT
from quillroad.balancing.outlier_detection import payoff
from quillroad.balancing.send_gate import may_send
from quillroad.balancing.slow_start import is_warming
from quillroad.balancing.subsetting import must_not_start_attempt, update_subset
from quillroad.balancing.workload_isolation import hosts_of_route
from quillroad.balancing.zone_awareness import check_local_zone, is_remote

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState, Request

EXPLORATION_RATIO = 0.05
"""Share of picks that go to the lower-scored host, so that a recovery of that host is noticed."""
MAX_LOCAL_FILL_RATIO = 0.5
"""Ratio of permits taken up to which a local host is preferred to all remote ones. Above it, the
wait at the local host costs more than crossing zones."""


def pick(state: BalancerState, request: Request) -> HostState | None:
    """Return the host for the next attempt of a request; None if no host may take it now."""
    budget = state.cross_zone
    if budget is not None and budget.is_check_due(state.now_us):
        check_local_zone(state, budget)
    if state.warming and (warming := _pick_warming(state, request)) is not None:
        return warming
    subset = update_subset(state)
    if not subset:
        hosts = hosts_of_route(state, request.route)
        # With a cross-zone budget, waiting at a local host with a free permit is always cheaper
        # than crossing zones.
        fill = MAX_LOCAL_FILL_RATIO if budget is None else 1.0
        return _pick_better(state, request, hosts, hosts, fill)
    if must_not_start_attempt(state):
        return None
    # A gateway with a subset sees too few requests to estimate the share of long ones, so no hosts
    # are reserved for them.
    return _pick_better(state, request, subset, state.candidates, 1.0)


def _pick_better(
    state: BalancerState,
    request: Request,
    preferred: list[HostState],
    fallback: list[HostState],
    fill: float,
) -> HostState | None:
    """Return the better of two random hosts of `preferred`, preferring local ones.

    The attempt may fill a host up to the ratio `fill` of its permits. If no host of `preferred` is
    suitable, the first host is drawn from `fallback` and the second from `preferred`, and all their
    permits may be used. `fallback` is the same list object as `preferred` if the gateway has no
    subset.
    """
    in_subset = preferred is not fallback
    local = (
        preferred if state.all_hosts_local else [h for h in preferred if not is_remote(state, h)]
    )
    pool = preferred if in_subset else local
    first = _draw(state, request, local, fill)
    if first is None and in_subset:
        first = _draw(state, request, pool, fill)
    if first is None:
        pool = preferred
        fill = 1.0
        first = _draw(state, request, fallback, panic=_all_unhealthy(state, preferred))
        if first is None:
            return None
    elif state.cross_zone is not None and not is_remote(state, first):
        pool = local  # if the first host is local the second must be too
    return _explore(state, first, _draw(state, request, pool, fill, first))


def _all_unhealthy(state: BalancerState, hosts: list[HostState]) -> bool:
    return not any(host.is_healthy(state.now_us) for host in hosts)


def _explore(state: BalancerState, first: HostState, second: HostState | None) -> HostState:
    """Return the host with the higher score, in `EXPLORATION_RATIO` of the picks the other one.

    `second` None: there is no second host, so the first one is returned.
    """
    second = second or first
    if score(state, first) >= score(state, second):
        better, worse = first, second
    else:
        better, worse = second, first
    return worse if state.random.random() < EXPLORATION_RATIO else better


def score(state: BalancerState, host: HostState) -> float:
    """Return the payoff minus the cost of crossing zones, discounted by the permits taken."""
    zone_cost = state.settings.cross_zone_cost * is_remote(state, host)
    return (payoff(state, host) - zone_cost) / (1.0 + host.permits_taken() / state.permits_per_host)


def _pick_warming(state: BalancerState, request: Request) -> HostState | None:
    """Return the first warming host that may get an attempt now, or None.

    With a cross-zone budget a remote host is only warmed up while the local zone is lost: the
    gateways of its own zone warm it up.
    """
    budget = state.cross_zone
    # With a subset no other gateway sends to a warming host during this gateway's slot, so this
    # gateway may use all its permits.
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
    excluded: HostState | None = None,
    panic: bool = False,
) -> HostState | None:
    """Return the first suitable host of the pool, starting at a random index; None if none is.

    A host is suitable if it is healthy, is not `excluded`, passes `may_send`, and the attempt fills
    it up to at most the ratio `fill` of its permits. A host that the request was already sent to is
    suitable only if it is the only candidate and no attempt is in flight. `panic`: unhealthy hosts
    count as healthy.
    """
    count = len(pool)
    start = _random_start_index(state, pool)
    max_taken = max(1.0, fill * state.permits_per_host)
    for index in range(start, start + count):
        host = pool[index % count]
        if host is excluded or host.permits_taken() + 1 > max_taken:
            continue
        if not (panic or host.is_healthy(state.now_us)):
            continue
        if request.attempts and _was_tried(state, request, host):
            continue
        if may_send(state, request, host):
            return host
    return None


def _was_tried(state: BalancerState, request: Request, host: HostState) -> bool:
    """Whether an attempt of the request was sent to the host, and it must not get another one.

    It may get another one if it is the only candidate and no attempt is in flight.
    """
    if host not in [attempt.host for attempt in request.attempts]:
        return False
    return len(state.candidates) > 1 or request.in_flight > 0


def _random_start_index(state: BalancerState, pool: list[HostState]) -> int:
    """Return a random index of the pool, weighted by machine speed if the pool is a subset.

    With a subset too few attempts are in flight for the permits taken to lower the scores of slow
    machine types.
    """
    count = len(pool)
    start = int(state.random.random() * count)
    if len(state.machine_slowness) <= 1 or not 0 < count < len(state.candidates):
        return start
    weights = [2.0 ** -state.machine_slowness[host.endpoint.machine_type] for host in pool]
    return state.random.choices(range(count), weights)[0]
