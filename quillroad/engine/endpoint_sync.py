"""Applies endpoint updates from discovery to the hosts that attempts are sent to."""

from __future__ import annotations

from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.config import Address
from quillroad.upstream.host import Host
from quillroad.upstream.pool import Upstream


def apply_endpoint_update(
    hosts: dict[int, Host],
    upstream: Upstream,
    update: EndpointUpdate,
    names: dict[int, str],
    addresses: dict[int, Address],
) -> None:
    """Apply the update to `hosts` (by endpoint id); retire removed, moved and draining hosts.

    `names` and `addresses` hold an entry for each endpoint of the update that is not removed.
    """
    present = {e.id: e for e in update.endpoints if e.status is not EndpointStatus.REMOVED}
    _retire_removed_or_moved(hosts, upstream, update, present, addresses)
    for endpoint_id, endpoint in present.items():
        host = hosts.get(endpoint_id)
        if host is None:
            host = Host(names[endpoint_id], addresses[endpoint_id])
            hosts[endpoint_id] = host
        _apply_endpoint(host, upstream, endpoint)


def _retire_removed_or_moved(
    hosts: dict[int, Host],
    upstream: Upstream,
    update: EndpointUpdate,
    present: dict[int, Endpoint],
    addresses: dict[int, Address],
) -> None:
    """Remove and retire hosts that the update removed or moved to another address."""
    is_full = update.kind is not UpdateKind.INCREMENTAL
    listed_ids = {endpoint.id for endpoint in update.endpoints}
    for endpoint_id, host in list(hosts.items()):
        removed = endpoint_id not in present and (is_full or endpoint_id in listed_ids)
        moved = endpoint_id in present and addresses[endpoint_id] != host.address
        if removed or moved:
            del hosts[endpoint_id]
            upstream.retire(host)


def _apply_endpoint(host: Host, upstream: Upstream, endpoint: Endpoint) -> None:
    host.zone = endpoint.zone
    if host.started_us != endpoint.started_us:
        # The host's process restarted: idle connections to the previous one may hang forever, and
        # those being established reach the new one, which may be warming up.
        host.started_us = endpoint.started_us
        host.drop_idle()
        for attempt in list(host.connecting):
            attempt.withdraw()
    if endpoint.status is EndpointStatus.DRAINING:
        upstream.retire(host)
    else:
        host.ready = True
