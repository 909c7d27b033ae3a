"""Tests of the safety margins before a client's deadline."""

from __future__ import annotations

import pytest

from quillroad.engine.deadlines import (
    DECISION_MARGIN_S,
    FALLBACK_MARGIN_S,
    MAX_MARGIN_FRACTION,
    margin_scale,
)


@pytest.mark.parametrize("left_s", [0.0, 0.001, 0.05, 0.159, 0.16, 0.2, 1.0, 60.0])
def test_margins_take_at_most_a_fraction_of_the_remaining_time(left_s: float) -> None:
    """With the full margin, a request with a timeout of 50 ms would have 10 ms for its attempt and
    would nearly always fail.
    """
    scale = margin_scale(left_s)
    assert 0.0 <= scale <= 1.0
    assert DECISION_MARGIN_S * scale <= MAX_MARGIN_FRACTION * left_s + 1e-12
    if left_s * MAX_MARGIN_FRACTION >= DECISION_MARGIN_S:
        assert scale == 1.0


def test_decision_margin_is_longer_than_fallback_margin() -> None:
    """The balancer must answer first: its answer may promise that a retry is safe, the fallback
    answer of the engine never does.
    """
    assert 0.0 < FALLBACK_MARGIN_S < DECISION_MARGIN_S
