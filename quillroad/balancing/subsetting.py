"""Which hosts this gateway draws from, and how many attempts it may have in flight.

Decides, where gateways outnumber the places at a host (`concurrency_limit` below 1): the subset of
hosts, the permits (attempts in flight at once), and pauses. Elsewhere every host is drawn from,
with `concurrency_limit` permits at each. Inputs: gateway index and count, the gateway's own
traffic, and what answers tell of the hosts' load.

Subset: a part of the ring order that all gateways have in common, from a place set by the gateway
index, as wide as the gateway's quota of permits; healthy hosts only. Without it each gateway puts
one request on every host, and together they put many times on it what it bears. A gateway whose own
traffic alone fills more than its part takes more hosts in: then others are gone.

Permits: the width of the subset times the congestion window, which grows by quick answers and
shrinks by slow ones (additive, as in TCP). The upper bound is what hosts bear from all gateways
that do the same; the lower one is the gateway's quota. Under one permit means a pause between two
attempts. Without it a choice of three hosts is taken for three permits, and once a zone is lost the
gateways that are left hold several times what its hosts bear.

Pauses: one host that rejects work may be alone in it; where one after another does, the fleet is
full, and a pause that doubles costs less than what each further try costs hosts.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from quillroad.balancing.load_shedding import TARGET_IN_TIME
from quillroad.balancing.slow_start import is_warming
from quillroad.balancing.timers import TimerPurpose, set_timer

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState, HostState

SMALLEST_SUBSET = 3
"""Hosts in the smallest subset: one bad host must leave a choice of two."""
MOST_PERMITS_PER_HOST = 3.5
"""Attempts at a host at once by all gateways that share it, however quick answers are: the first
answers that tell of a crowd come when it is there already."""
LEAST_PERMITS = 0.25
"""Permits of a gateway at the worst: an attempt in a quarter of the time notices hosts are back."""
SLOW_ANSWER = 2.5
"""An answer that took so many times the uncrowded latency tells of a crowd: more than the usual
spread of latencies."""
WINDOW_LOST = 0.1
"""Part of the congestion window that a slow answer takes away."""
WINDOW_GAINED = 0.033
"""Part of it that a quick answer gives back: three quick ones outweigh a slow one."""
MOST_LOCAL = 0.5
"""Part of the subset that local hosts take at most, however dear cross-zone traffic is: all local,
the zone's hosts would carry all gateways of a zone that has more of them."""
GOLDEN_SECTION = 0.618
"""Golden section: fractions of its multiples lie evenly, so that consecutive gateway indexes round
their permits up and down in turn. All rounded up they are a tenth more than hosts bear."""
MOST_PAUSE_DOUBLINGS = 3
"""Doublings of the pause after rejections: a try costs a full host work, a pause idles hosts."""


def update_subset(state: BalancerState) -> list[HostState] | None:
    """The hosts to draw from, and with them the permits; None: all candidates."""
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
    if state.all_local:
        healthy = (host for host in ring if host.is_healthy(state.now_us))
        return list(islice(healthy, width)) or ring[:width]
    ring = [host for host in ring if host.is_healthy(state.now_us)] or ring
    return _prefer_local(state, ring, width)


def _warm_hosts(state: BalancerState) -> list[HostState]:
    """The candidates that are not warming up; all of them where none is warm.

    Warming hosts are for the owner of their slot: after a deploy subsets would hold little else.
    """
    if not state.warming:
        return state.candidates
    return [host for host in state.candidates if not is_warming(state, host)] or state.candidates


def _prefer_local(state: BalancerState, ring: list[HostState], width: int) -> list[HostState]:
    """`width` hosts of the ring, with local ones in proportion to the price of crossing zones.

    The price is held against the late answers that load shedding would bear.
    """
    settings = state.settings
    most = round(width * min(MOST_LOCAL, settings.cross_zone_cost / (1.0 - TARGET_IN_TIME)))
    local = [host for host in ring if host.endpoint.zone == settings.zone][:most]
    return local + [host for host in ring if host not in local][: width - len(local)]


def _update_permits(state: BalancerState, hosts: int) -> None:
    """Quota, cap and width by the number of hosts and the gateway's own traffic."""
    limit = state.concurrency_limit
    own_traffic = (
        state.recent_requests / state.memory_us * min(state.mean_work_us, state.initial_work_us)
    )
    permits = max(hosts * limit, own_traffic)
    state.permits_per_host = max(1.0, permits / max(1, hosts))
    part = state.gateway_index * GOLDEN_SECTION % 1.0
    state.subset_size = min(hosts, max(SMALLEST_SUBSET, int(permits + part)))
    # Under one permit for each gateway the others are certainly there, however busy this one is
    # with retries of the same requests.
    state.permit_quota = hosts * limit if hosts * limit < 1.0 else float(int(permits + part))
    together = hosts * MOST_PERMITS_PER_HOST / state.gateway_count
    state.permit_cap = float(int(max(together, own_traffic) + part))


def permits(state: BalancerState) -> float:
    """Own attempts in flight at once while the subset is shared; under 1: pauses in between."""
    return max(
        LEAST_PERMITS,
        state.permit_quota,
        min(state.permit_cap, state.congestion_window * state.subset_size),
    )


def is_out_of_permits(state: BalancerState) -> bool:
    """Whether one more attempt would be too many, or a pause is on, while a subset is drawn from.

    Without it a subset that passes over hosts in trouble fills one host after another.
    """
    if state.now_us < state.paused_until_us:
        return True
    return state.in_flight + state.sibling_in_flight + 1 > max(1.0, permits(state))


def note_congestion(state: BalancerState, crowded: bool) -> None:
    """What one answer tells of the load that other gateways put on the hosts."""
    if crowded:
        state.congestion_window = max(0.0, state.congestion_window - WINDOW_LOST)
    else:
        state.congestion_window = min(1.0, state.congestion_window + WINDOW_GAINED)


def suspend_attempts(state: BalancerState, wait_us: float) -> None:
    """Start no attempt for `wait_us`; the queue goes on with the event that ends the pause."""
    state.paused_until_us = max(state.paused_until_us, state.now_us + int(wait_us))
    set_timer(state, wait_us, TimerPurpose.RESUME_QUEUE)


def pause_after_attempt(state: BalancerState, used_us: int) -> None:
    """With less than one permit, pause in proportion to the time that an attempt has used it."""
    own = permits(state)
    if own < 1.0:
        suspend_attempts(state, used_us * (1.0 / own - 1.0))


def on_rejected_by_host(state: BalancerState) -> None:
    """A host of the subset was full: less in flight, and from the second in a row on a pause."""
    note_congestion(state, True)
    state.consecutive_rejections += 1
    if state.consecutive_rejections > 1:
        doubled = 2.0 ** min(state.consecutive_rejections - 2, MOST_PAUSE_DOUBLINGS)
        work_us = min(state.mean_work_us, state.initial_work_us)
        suspend_attempts(state, work_us * doubled * (0.5 + state.random.random()))
