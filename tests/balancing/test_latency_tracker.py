"""The latency tracker of a route."""

from __future__ import annotations

from quillroad.balancing.latency_tracker import LatencyTracker


def test_tracker_is_bounded_and_returns_percentiles_of_the_latest_values() -> None:
    tracker = LatencyTracker(128)
    assert tracker.percentile(0.5) is None
    for value in range(1000):
        tracker.append(value)
    assert len(tracker) == 128
    assert tracker.percentile(0.95) in range(970, 1000)
