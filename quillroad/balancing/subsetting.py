"""Subsetting: which hosts this gateway draws from, and how many attempts it has in flight.

Where gateways outnumber the permits at a host (`concurrency_limit` below 1) this module decides the
subset of hosts, the permits (attempts in flight at once) and the pauses between attempts. Otherwise
a gateway draws from every host, with `concurrency_limit` permits at each. Inputs: gateway index and
count, the gateway's own traffic, and the load of the hosts as their answers show it.

Subset: a section of the ring order that all gateways share. It starts at a position set by the
gateway index, has as many hosts as the gateway's quota of permits, and consists of healthy hosts.
Without subsets each gateway could send one request to every host, which together is many times what
a host can handle. A gateway whose own traffic needs more than its share uses more hosts: so much
traffic shows that other gateways are gone.

Permits: the size of the subset times the congestion window, which grows with fast answers and
shrinks with slow ones, like TCP's but by fixed steps in both directions. The upper bound is what
hosts can handle when all gateways use it; the lower bound is the gateway's quota. Less than one
permit means a pause between two attempts. If the minimum subset of three hosts counted as three
permits, then after the loss of a zone the remaining gateways would hold several times the attempts
that its hosts can handle.

Pauses: a single host that rejects work may be the only full one. If several reject in a row the
fleet is full, and a pause that doubles costs less than the work that each further attempt costs
the hosts.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from quillroad.balancing.load_shedding import TARGET_IN_TIME
from quillroad.balancing.slow_start import is_warming
from quillroad.balancing.timers import TimerPurpose, set_timer

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState

MIN_SUBSET_HOSTS = 3
"""Minimum size of a subset: with one bad host there must be two others to choose from."""
MAX_PERMITS_PER_HOST = 3.5
"""Maximum attempts in flight at a host from all gateways that share it, however fast the answers
are: the first slow answers arrive only when the host is already overloaded."""
MIN_PERMITS = 0.25
"""Minimum permits of a gateway: with one attempt in flight for a quarter of the time it still
detects that hosts have recovered."""
SLOW_ANSWER_RATIO = 2.5
"""Latency of an answer, as a multiple of the uncrowded latency, above which it shows congestion:
more than the usual spread of latencies."""
WINDOW_DECREASE = 0.1
"""Decrease of the congestion window (0 to 1) after a slow answer."""
WINDOW_INCREASE = 0.033
"""Increase of the congestion window after a fast answer: about three fast answers make up for a
slow one."""
MAX_LOCAL_FRACTION = 0.5
"""Maximum fraction of local hosts in a subset, whatever cross-zone traffic costs: with local hosts
only, the hosts of a zone with more gateways than others would serve all of these gateways."""
GOLDEN_RATIO_CONJUGATE = 0.618
"""1 / golden ratio: the fractional parts of its multiples are evenly spread, so that consecutive
gateway indexes alternate between rounding their permits up and down. If all rounded up, hosts would
get a tenth more than they can handle."""
MAX_PAUSE_DOUBLINGS = 3
"""Doublings of the pause after rejections. An attempt costs a full host work; a pause that is too
long leaves hosts idle."""


def update_subset(state: BalancerState) -> list[HostState] | None:
    """Update the permits, and return the hosts to draw from; None means all candidates."""
    if state.concurrency_limit >= 1.0:
        state.permits_per_host = state.concurrency_limit
        return None
    hosts = _warm_hosts(state)
    _update_permits(state, len(hosts))
    width = state.subset_size
    if width >= len(hosts):
        return None
    start = len(hosts) * state.gateway_index // state.gateway_count
    ring = (hosts * 2)[start:][: len(hosts)]
    if state.all_hosts_local:
        healthy = (host for host in ring if host.is_healthy(state.now_us))
        return list(islice(healthy, width)) or ring[:width]
    ring = [host for host in ring if host.is_healthy(state.now_us)] or ring
    return _prefer_local(state, ring, width)


def _warm_hosts(state: BalancerState) -> list[HostState]:
    """Return the candidates that are not warming up; all candidates if every one is.

    Warming hosts serve only the owner of their slow-start slot. With them, subsets would consist of
    little else after a deploy.
    """
    if not state.warming:
        return state.candidates
    return [host for host in state.candidates if not is_warming(state, host)] or state.candidates


def _prefer_local(state: BalancerState, ring: list[HostState], width: int) -> list[HostState]:
    """Return `width` hosts of the ring; the higher the cross-zone cost, the more local ones.

    The cost is weighed against the fraction of late answers that load shedding tolerates.
    """
    settings = state.settings
    max_local = round(
        width * min(MAX_LOCAL_FRACTION, settings.cross_zone_cost / (1.0 - TARGET_IN_TIME))
    )
    local = [host for host in ring if host.endpoint.zone == settings.zone][:max_local]
    return local + [host for host in ring if host not in local][: width - len(local)]


def _update_permits(state: BalancerState, host_count: int) -> None:
    """Update quota, cap and subset size by the number of hosts and the gateway's own traffic."""
    limit = state.concurrency_limit
    own_traffic = (
        state.recent_requests / state.decay_time_us * min(state.mean_work_us, state.initial_work_us)
    )
    needed_permits = max(host_count * limit, own_traffic)
    state.permits_per_host = max(1.0, needed_permits / max(1, host_count))
    rounding = state.gateway_index * GOLDEN_RATIO_CONJUGATE % 1.0
    state.subset_size = min(host_count, max(MIN_SUBSET_HOSTS, int(needed_permits + rounding)))
    # A share of less than one permit stays as it is: so many other gateways certainly exist, and
    # more traffic than this share may be retries of the same requests.
    state.permit_quota = (
        host_count * limit if host_count * limit < 1.0 else float(int(needed_permits + rounding))
    )
    max_share = host_count * MAX_PERMITS_PER_HOST / state.gateway_count
    state.permit_cap = float(int(max(max_share, own_traffic) + rounding))


def permits(state: BalancerState) -> float:
    """Return how many attempts may be in flight in a shared subset; below 1: with pauses."""
    return max(
        MIN_PERMITS,
        state.permit_quota,
        min(state.permit_cap, state.congestion_window * state.subset_size),
    )


def must_not_start_attempt(state: BalancerState) -> bool:
    """Return whether, in a subset, all permits are in use or attempts are paused.

    Without this limit a gateway whose subset skips unhealthy hosts would fill one host after
    another.
    """
    if state.now_us < state.paused_until_us:
        return True
    return state.in_flight + state.sibling_in_flight + 1 > max(1.0, permits(state))


def note_congestion(state: BalancerState, crowded: bool) -> None:
    """Adjust the congestion window by one answer; `crowded`: it shows load from other gateways."""
    if crowded:
        state.congestion_window = max(0.0, state.congestion_window - WINDOW_DECREASE)
    else:
        state.congestion_window = min(1.0, state.congestion_window + WINDOW_INCREASE)


def suspend_attempts(state: BalancerState, wait_us: float) -> None:
    """Start no attempt for `wait_us`; the timer that ends the pause resumes the queue."""
    state.paused_until_us = max(state.paused_until_us, state.now_us + int(wait_us))
    set_timer(state, wait_us, TimerPurpose.RESUME_QUEUE)


def pause_after_attempt(state: BalancerState, attempt_us: int) -> None:
    """With less than one permit, pause in proportion to the duration of the last attempt."""
    own_permits = permits(state)
    if own_permits < 1.0:
        suspend_attempts(state, attempt_us * (1.0 / own_permits - 1.0))


def on_rejected_by_host(state: BalancerState) -> None:
    """Shrink the congestion window; from the second consecutive rejection on, also pause."""
    note_congestion(state, True)
    state.consecutive_rejections += 1
    if state.consecutive_rejections > 1:
        pause_factor = 2.0 ** min(state.consecutive_rejections - 2, MAX_PAUSE_DOUBLINGS)
        work_us = min(state.mean_work_us, state.initial_work_us)
        suspend_attempts(state, work_us * pause_factor * (0.5 + state.random.random()))
