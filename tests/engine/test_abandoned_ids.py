"""Abandoned ids: expiry and bounds."""

from __future__ import annotations

from quillroad.engine.abandoned_ids import HOLD_S, MAX_ID_CHARACTERS, MAX_IDS, AbandonedIds


def test_an_id_is_remembered_for_a_time_that_a_repeat_extends() -> None:
    ids = AbandonedIds()
    ids.remember("a", 100.0)
    ids.remember("b", 101.0)
    ids.remember("a", 102.0)
    assert ids.contains("a", 101.0 + HOLD_S) and not ids.contains("b", 101.0 + HOLD_S)
    assert ids.ids(101.5 + HOLD_S) == ["a"]
    assert not ids.contains("a", 102.0 + HOLD_S) and len(ids) == 0


def test_the_table_is_bounded_for_ever_new_and_for_long_ids() -> None:
    """Clients choose the ids: without bounds they could make the process hold any amount."""
    ids = AbandonedIds()
    for number in range(2 * MAX_IDS):
        ids.remember(f"{number}" + "x" * 10_000, 100.0)
    assert len(ids) == MAX_IDS
    assert ids.contains(f"{2 * MAX_IDS - 1}" + "x" * 10_000, 100.0)
    assert not ids.contains("0" + "x" * 10_000, 100.0)
    assert max(len(request_id) for request_id in ids.ids(100.0)) <= MAX_ID_CHARACTERS
