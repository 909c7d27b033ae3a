"""The parsed and validated client request that the engine accepts."""

from __future__ import annotations

from dataclasses import dataclass

from quillroad.balancing.settings import Idempotency

# A body of more bytes is passed on without a copy.
MAX_COPIED_BODY_BYTES = 2048


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client request that has passed all syntax checks.

    `received_at` is the arrival time, before any queueing in this process, and `deadline_at` the
    time at which the client stops waiting; both are seconds of the monotonic clock.
    `work_estimate_us` is the client's estimate of the work, in microseconds.
    """

    id: str
    route: int  # index into the routes of the settings
    tenant: int  # index into the tenants of the settings; -1: no tenant
    key: str | None  # deduplication key; None: no deduplication
    received_at: float
    deadline_at: float
    is_retry: bool  # the client marked the request as a retry
    work_estimate_us: int | None
    head: bytes  # request line and headers to forward, without the deadline header
    body: bytes | bytearray  # complete; not modified after this point
    idempotency: Idempotency = Idempotency.IDEMPOTENT
