"""A client's request as the engine takes it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request that has passed all checks of its form.

    `received_at` is when it came, wherever it has waited since, and `deadline_at` when its client
    stops waiting; both are seconds of the monotonic clock. `work_estimate_us` is the client's
    estimate of its work.
    """

    id: str
    route: int  # index in the settings' routes
    tenant: int  # index in the settings' tenants; -1: none
    key: str | None  # of deduplication
    received_at: float
    deadline_at: float
    is_retry: bool  # the client says that it has sent this before
    work_estimate_us: int | None
    head: bytes  # request line and headers that go on unchanged, without the deadline's
    body: bytes | bytearray  # complete; nobody changes it any more
