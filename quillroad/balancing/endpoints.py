"""The endpoint list as held, and which of its hosts are candidates.

Decides which hosts may be sent to at all, and when discovery is asked again. Inputs: full, cached
and incremental lists, and failed polls. A host that drains or has gone leaves the candidates with
the event that tells of it, so no attempt starts there after it. A host with a newer start time is a
new one: nothing that was learned of the old process holds.
"""

from __future__ import annotations

from quillroad.balancing.actions import WatchEndpoints
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.balancing.slow_start import is_warming
from quillroad.balancing.state import BalancerState, HostState
from quillroad.balancing.timers import TimerPurpose, set_timer
from quillroad.balancing.zone_awareness import check_local_zone

FIRST_POLL_BACKOFF_US = 100_000
"""Half of the first wait after a failed poll, before jitter: discovery is one service for all
gateways, and must not be asked by all at once when it comes back."""
MOST_FAILED_POLLS = 9
"""Failed polls in a row that are counted: the wait has reached its bound long before."""
LONGEST_POLL_BACKOFF_PART = 4
"""The wait is at most the poll interval divided by this: the list must not be much older for it."""


def on_endpoint_update(state: BalancerState, event: EndpointUpdate) -> None:
    """Take a list of endpoints, or the news that a poll failed."""
    if event.kind is UpdateKind.FAILED:
        _back_off_polling(state)
        return
    state.failed_polls = 0
    if event.kind is UpdateKind.CACHED and state.settings.discovery_is_polled:
        watch_endpoints(state)
    if event.kind is not UpdateKind.INCREMENTAL:
        listed = [endpoint.id for endpoint in event.endpoints]
        state.hosts = {number: state.hosts[number] for number in listed if number in state.hosts}
    for endpoint in event.endpoints:
        _take(state, endpoint)
    refresh_candidates(state)
    if state.cross_zone is not None:
        check_local_zone(state, state.cross_zone)


def _take(state: BalancerState, endpoint: Endpoint) -> None:
    """Take in one entry of a list."""
    known = state.hosts.get(endpoint.id)
    if endpoint.status is EndpointStatus.REMOVED:
        state.hosts.pop(endpoint.id, None)
    elif known is None or (endpoint.started_us or 0) > (known.endpoint.started_us or 0):
        state.hosts[endpoint.id] = HostState(endpoint)
        state.machine_slowness.setdefault(endpoint.machine_type, 0.0)
    else:
        known.endpoint = endpoint


def refresh_candidates(state: BalancerState) -> None:
    """Work out what follows from the hosts as they are listed, at the time `state.now_us`."""
    ready = [host for host in state.hosts.values() if host.endpoint.status is EndpointStatus.READY]
    state.candidates = sorted(ready, key=lambda host: host.ring_position)
    state.warming = [host for host in state.candidates if is_warming(state, host)]
    zone = state.settings.zone
    state.all_local = all(host.endpoint.zone == zone for host in state.hosts.values())


def watch_endpoints(state: BalancerState) -> None:
    """Ask discovery for the endpoint list and its changes."""
    state.actions.append(WatchEndpoints())


def _back_off_polling(state: BalancerState) -> None:
    state.failed_polls = min(state.failed_polls + 1, MOST_FAILED_POLLS)
    wait_us = min(
        state.settings.poll_interval_us / LONGEST_POLL_BACKOFF_PART,
        FIRST_POLL_BACKOFF_US * 2.0**state.failed_polls,
    )
    set_timer(state, wait_us * (0.5 + state.random.random()), TimerPurpose.WATCH_ENDPOINTS)
