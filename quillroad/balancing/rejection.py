"""Why a request was rejected, and the other decisions that are counted.

The values are names of counters in the gateway's log and metrics: programs read them.
"""

from __future__ import annotations

from enum import StrEnum


class RejectionReason(StrEnum):
    """Why the gateway gave a final answer of its own to a request.

    The client gets a rejection (503), or a failure (502) where a retry may do harm.
    """

    OBJECTIVE_LOST = "refused_late"
    """It is an unmarked retry that has already missed its latency objective."""
    LOAD_SHED = "refused_share"
    """Too few attempts meet their objective: a part of the arrivals is rejected."""
    NO_ZONE_REACHABLE = "refused_crossing"
    """No host of the local zone is healthy, and no cross-zone budget comes free in its time."""
    WAIT_TOO_LONG = "refused_wait"
    """By the pace of the queue it would not be sent while an answer still has value."""
    QUEUE_TIMEOUT = "refused_queued"
    """It waited in the queue until an answer could no longer have its value."""
    NO_RETRY = "refused_again"
    """Its attempts failed, and attempts, idempotency or retry budget allow no further one."""
    NO_TIME_FOR_RETRY = "refused_time"
    """Its attempts failed, and the next would come too late for its client."""


class DecisionCounter(StrEnum):
    """Decisions that are counted beside rejections."""

    HEDGES = "copies"
    """Second attempts that were started while the first was in flight."""
    EJECTIONS = "ejections"
    """Hosts taken out of rotation by outlier detection."""


def count(counters: dict[str, int], what: RejectionReason | DecisionCounter) -> None:
    """Add one to the counter of that name; `counters` holds names, and only those above 0."""
    name = what.value
    counters[name] = counters.get(name, 0) + 1
