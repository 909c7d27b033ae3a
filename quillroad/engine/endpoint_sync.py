"""Brings the hosts that attempts go to in line with an endpoint update."""

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
    """Change `hosts` (by endpoint id) to what the update tells; close what it ends.

    `names` and `addresses` hold each endpoint that the update names as present.
    """
    present = {e.id: e for e in update.endpoints if e.status is not EndpointStatus.REMOVED}
    _retire_ended(hosts, upstream, update, present, addresses)
    for number, endpoint in present.items():
        host = hosts.get(number)
        if host is None:
            host = Host(names[number], addresses[number])
            hosts[number] = host
        _apply_endpoint(host, upstream, endpoint)


def _retire_ended(
    hosts: dict[int, Host],
    upstream: Upstream,
    update: EndpointUpdate,
    present: dict[int, Endpoint],
    addresses: dict[int, Address],
) -> None:
    """Take out hosts that are removed, or that have moved to another address."""
    is_full = update.kind is not UpdateKind.INCREMENTAL
    named = {endpoint.id for endpoint in update.endpoints}
    for number, host in list(hosts.items()):
        removed = number not in present and (is_full or number in named)
        moved = number in present and addresses[number] != host.address
        if removed or moved:
            del hosts[number]
            upstream.retire(host)


def _apply_endpoint(host: Host, upstream: Upstream, endpoint: Endpoint) -> None:
    host.zone = endpoint.zone
    if host.started_us != endpoint.started_us:
        # A new process: connections to the one before may hang for ever.
        host.started_us = endpoint.started_us
        host.drop_idle()
    if endpoint.status is EndpointStatus.DRAINING:
        upstream.retire(host)
    else:
        host.ready = True
