"""The current endpoint list, and the candidates: the hosts that may receive attempts.

Decides which hosts may be sent to at all, and when to ask discovery again. Inputs: full, cached and
incremental lists, and failed polls. A draining or removed host leaves the candidates in the event
that reports it, so that no attempt starts there afterwards. A host with a newer start time is a
new process: nothing that was learned of the old one applies to it.
"""

from __future__ import annotations

from quillroad.balancing.actions import WatchEndpoints
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.balancing.slow_start import is_warming
from quillroad.balancing.state import BalancerState, HostState
from quillroad.balancing.timers import TimerPurpose, set_timer
from quillroad.balancing.zone_awareness import check_local_zone

POLL_BACKOFF_BASE_US = 100_000
"""Half of the wait after a first failed poll, before jitter. All gateways share one discovery
service; without the jitter they would all poll it at the same moment when it recovers."""
MAX_FAILED_POLLS = 9
"""Consecutive failed polls that are counted: the wait has reached its maximum long before."""
MAX_POLL_BACKOFF_DIVISOR = 4
"""The wait, before jitter, is at most the poll interval divided by this, so that a failed poll
makes the endpoint list only a little older."""


def on_endpoint_update(state: BalancerState, event: EndpointUpdate) -> None:
    """Apply an endpoint list, or back off after a failed poll."""
    if event.kind is UpdateKind.FAILED:
        _back_off_polling(state)
        return
    state.failed_polls = 0
    if event.kind is UpdateKind.CACHED and state.settings.discovery_is_polled:
        watch_endpoints(state)
    if event.kind is not UpdateKind.INCREMENTAL:
        listed_ids = [endpoint.id for endpoint in event.endpoints]
        state.hosts = {
            endpoint_id: state.hosts[endpoint_id]
            for endpoint_id in listed_ids
            if endpoint_id in state.hosts
        }
    for endpoint in event.endpoints:
        _apply_endpoint(state, endpoint)
    refresh_candidates(state)
    if state.cross_zone is not None:
        check_local_zone(state, state.cross_zone)


def _apply_endpoint(state: BalancerState, endpoint: Endpoint) -> None:
    """Add, update or remove the host of one list entry."""
    known_host = state.hosts.get(endpoint.id)
    if endpoint.status is EndpointStatus.REMOVED:
        state.hosts.pop(endpoint.id, None)
    elif known_host is None or (endpoint.started_us or 0) > (known_host.endpoint.started_us or 0):
        state.hosts[endpoint.id] = HostState(endpoint)
        state.machine_slowness.setdefault(endpoint.machine_type, 0.0)
    else:
        known_host.endpoint = endpoint


def refresh_candidates(state: BalancerState) -> None:
    """Recompute `candidates`, `warming` and `all_hosts_local` as of `state.now_us`."""
    ready = [host for host in state.hosts.values() if host.endpoint.status is EndpointStatus.READY]
    state.candidates = sorted(ready, key=lambda host: host.ring_position)
    state.warming = [host for host in state.candidates if is_warming(state, host)]
    zone = state.settings.zone
    state.all_hosts_local = all(host.endpoint.zone == zone for host in state.hosts.values())


def watch_endpoints(state: BalancerState) -> None:
    """Ask discovery for the endpoint list and its changes."""
    state.actions.append(WatchEndpoints())


def _back_off_polling(state: BalancerState) -> None:
    """Schedule the next poll after a failed one: exponential backoff with jitter."""
    state.failed_polls = min(state.failed_polls + 1, MAX_FAILED_POLLS)
    wait_us = min(
        state.settings.poll_interval_us / MAX_POLL_BACKOFF_DIVISOR,
        POLL_BACKOFF_BASE_US * 2.0**state.failed_polls,
    )
    set_timer(state, wait_us * (0.5 + state.random.random()), TimerPurpose.WATCH_ENDPOINTS)
