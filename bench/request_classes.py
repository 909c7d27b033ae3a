"""The two classes of requests that the measurements of whole gateways send."""

from __future__ import annotations

from collections.abc import Iterable

from testbed.account import Record, Tally, Work, tally, total

STATUS_CHECK = Work("status-check", aim=0.58, deadline=1.4, worth=2.0)
SEAT_CHECKOUT = Work("seat-checkout", aim=0.75, deadline=1.9, worth=8.0, keyed=True, body=200)
REQUEST_CLASSES = (STATUS_CHECK, SEAT_CHECKOUT)
MIX = (3, 1)  # status checks to seat checkouts


def summarize(records: Iterable[Record]) -> Tally:
    """What became of these requests, both classes together."""
    return total(tally(records, REQUEST_CLASSES).values())
