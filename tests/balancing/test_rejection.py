"""Reasons of rejections and the other counted decisions."""

from __future__ import annotations

from quillroad.balancing.rejection import DecisionCounter, RejectionReason, count


def test_the_values_are_the_counters_that_programs_read() -> None:
    assert {reason.value for reason in RejectionReason} == {
        "refused_late",
        "refused_share",
        "refused_crossing",
        "refused_wait",
        "refused_queued",
        "refused_again",
        "refused_time",
    }
    assert {counter.value for counter in DecisionCounter} == {"copies", "ejections"}


def test_counters_are_plain_texts_and_hold_what_happened_only() -> None:
    counters: dict[str, int] = {}
    for reason in (RejectionReason.NO_RETRY, DecisionCounter.HEDGES, RejectionReason.NO_RETRY):
        count(counters, reason)
    assert counters == {"refused_again": 2, "copies": 1}
    assert all(type(name) is str for name in counters)
