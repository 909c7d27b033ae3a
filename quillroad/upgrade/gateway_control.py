"""What a worker process changes at its running gateway while its sibling runs beside it."""

from __future__ import annotations

import logging
from collections.abc import Callable

from quillroad.downstream.connection_limit import ConnectionState
from quillroad.gateway import Gateway
from quillroad.upgrade.migration import wait_until_empty

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


def spare_descriptors(gateway: Gateway, open_requests: int) -> int:
    """Return how many descriptors the requests of this process will not need; may be negative.

    Each request is left two: one for a connection to a host, and one for a retry. A request that is
    queued, or of which a part has been received, counts too: only this process can serve it.
    """
    not_begun = gateway.server.connection_limit.count(ConnectionState.RECEIVING)
    not_begun += gateway.server.admission.waiting
    return gateway.descriptors.spare() - 2 * (open_requests + not_begun)


async def answer_and_stop(gateway: Gateway, must_close: Callable[[], bool]) -> None:
    """Answer the requests of a gateway that does not accept connections any more, then stop it.

    Its shutdown has begun (`Gateway.begin_shutdown`), which says by when.
    Idle connections are closed whenever `must_close` returns true, and shortly before the end in
    any case; until then they may migrate to the sibling process.
    """
    server = gateway.server
    schedule = gateway.shutdown
    await wait_until_empty(server, lambda: schedule.last_answer_at, must_close)
    server.draining = True

    def reject_and_close() -> bool:
        server.reject_partial_requests()
        return True

    await wait_until_empty(server, lambda: schedule.exit_at, reject_and_close)
    await gateway.answer_all()
    await gateway.finish_streams()
    gateway.stop()


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
