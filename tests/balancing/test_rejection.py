"""Reasons for rejections, and the other counted decisions."""

from __future__ import annotations

from quillroad.balancing.rejection import DecisionCounter, RejectionReason, count


def test_values_are_external_counter_names() -> None:
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


def test_counters_have_plain_str_keys_and_no_zero_entries() -> None:
    counters: dict[str, int] = {}
    for reason in (RejectionReason.NO_RETRY, DecisionCounter.HEDGES, RejectionReason.NO_RETRY):
        count(counters, reason)
    assert counters == {"refused_again": 2, "copies": 1}
    assert all(type(name) is str for name in counters)
