"""Traffic counters by route and zone."""

from __future__ import annotations

from quillroad.balancing.events import Outcome
from quillroad.zones.traffic import END_BY_OUTCOME, AttemptEnd, TrafficCounters

REMOTE = 1


def test_every_outcome_is_counted_and_bytes_only_for_sent_attempts() -> None:
    counters = TrafficCounters(1, 2)
    assert set(END_BY_OUTCOME) == set(Outcome)
    for outcome in Outcome:
        counters.count_sent(0, REMOTE, 100)
        answer_bytes = 7 if outcome is Outcome.SUCCESS else 0
        carried = counters.count_ended(0, REMOTE, outcome, 100, answer_bytes)
        not_sent = END_BY_OUTCOME[outcome] is AttemptEnd.NOT_SENT
        assert carried == (0 if not_sent else 107 if outcome is Outcome.SUCCESS else 100)
    traffic = counters.traffic(0, REMOTE)
    not_sent_count = traffic.ended[AttemptEnd.NOT_SENT]
    assert (traffic.in_flight, traffic.received, not_sent_count) == (0, 6, 2)
    assert (traffic.bytes_out, traffic.bytes_in) == (600, 7)


def test_attempt_is_in_flight_until_it_ends() -> None:
    counters = TrafficCounters(1, 2)
    counters.count_sent(0, REMOTE, 100)
    counters.count_sent(0, REMOTE, 100)
    assert counters.traffic(0, REMOTE).in_flight == 2
    counters.count_ended(0, REMOTE, Outcome.SUCCESS, 100, 7)
    assert counters.traffic(0, REMOTE).in_flight == 1


def test_unknown_zone_is_counted_separately() -> None:
    counters = TrafficCounters(1, 2)
    counters.count_sent(0, -1, 100)
    assert [counters.traffic(0, zone).sent for zone in (0, 1, -1)] == [0, 0, 1]
