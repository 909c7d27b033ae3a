"""What a worker process changes at its running gateway while its sibling runs beside it."""

from __future__ import annotations

import logging

from quillroad.gateway import Gateway

log = logging.getLogger("quillroad.upgrade")


def set_descriptor_limit(gateway: Gateway, limit: int) -> None:
    """Set the limit on descriptors.

    If more are open, idle connections to hosts are closed now, and busy ones once their answer is
    complete. Client connections are not closed for this.
    """
    gateway.descriptors.limit = max(1, limit)
    gateway.server.resize()
    while gateway.upstream.descriptors_coming_free() < 0 and gateway.upstream.drop_oldest_idle():
        pass


def serve_operators(gateway: Gateway, on: bool) -> None:
    """Start or pause the admin listener; only one process can use its address at a time."""
    admin = gateway.admin
    if admin is None:
        return
    if not on:
        admin.pause()
        return
    try:
        admin.start()
    except OSError as error:  # clients are served nevertheless
        log.error("cannot listen on the admin address: %s", error)
