"""The two classes of requests that the measurements of whole gateways send."""

from __future__ import annotations

from collections.abc import Iterable

from testbed.account import OutcomeCounts, Record, RequestClass, count_outcomes, total

CHECKOUT_BODY_BYTES = 200

STATUS_CHECK = RequestClass(
    "status-check", latency_objective=0.58, deadline=1.4, priority_weight=2.0
)


def seat_checkout(body_bytes: int = CHECKOUT_BODY_BYTES) -> RequestClass:
    """The class of requests with an idempotency key and a body of so many bytes."""
    return RequestClass(
        "seat-checkout",
        latency_objective=0.75,
        deadline=1.9,
        priority_weight=8.0,
        keyed=True,
        body_bytes=body_bytes,
    )


SEAT_CHECKOUT = seat_checkout()
REQUEST_CLASSES = (STATUS_CHECK, SEAT_CHECKOUT)
MIX = (3, 1)  # status checks to seat checkouts


def summarize(records: Iterable[Record]) -> OutcomeCounts:
    """What became of these requests, both classes together."""
    return total(count_outcomes(records, REQUEST_CLASSES).values())
