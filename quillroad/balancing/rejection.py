"""Reasons for rejecting a request, and the other decisions that are counted.

The values are names of counters in the gateway's log and metrics; other programs read them.
"""

from __future__ import annotations

from enum import StrEnum


class RejectionReason(StrEnum):
    """Reason why the gateway answered a request itself instead of passing on a host's answer.

    The client gets a rejection (503), or a failure (502) if a retry may do harm.
    """

    OBJECTIVE_LOST = "refused_late"
    """The request is an unmarked retry that has already missed its latency objective."""
    LOAD_SHED = "refused_share"
    """Load shedding: too few attempts meet their objective, so a share of arrivals is rejected."""
    NO_ZONE_REACHABLE = "refused_crossing"
    """No host of the local zone is healthy, and no cross-zone budget becomes available in time."""
    WAIT_TOO_LONG = "refused_wait"
    """At the queue's current rate the request would be sent too late for a useful answer."""
    QUEUE_TIMEOUT = "refused_queued"
    """The request waited in the queue until an answer could no longer be useful."""
    NO_RETRY = "refused_again"
    """Its attempts failed, and `max_attempts`, idempotency or the retry budget forbids another."""
    NO_TIME_FOR_RETRY = "refused_time"
    """Its attempts failed, and the answer to another one would be too late to be useful."""


class DecisionCounter(StrEnum):
    """Other counted decisions, besides rejections."""

    HEDGES = "copies"
    """Hedged attempts: second attempts started while the first was in flight."""
    EJECTIONS = "ejections"
    """Hosts taken out of rotation by outlier detection."""


def count(counters: dict[str, int], decision: RejectionReason | DecisionCounter) -> None:
    """Increment the counter of `decision`.

    `counters` is keyed by the value, a plain `str`, and holds only counters above 0.
    """
    name = decision.value
    counters[name] = counters.get(name, 0) + 1
