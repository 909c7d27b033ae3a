"""Tests of the reducer and the merge of agents' lists: removed, draining, freshly started hosts."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quillroad.balancing.endpoint import EndpointStatus
from quillroad.discovery.consul.merge import MergedViews
from quillroad.discovery.instance import (
    Instance,
    InstanceStatus,
    Snapshot,
    SourceHealth,
    SourceState,
)
from quillroad.discovery.reducer import MAX_REMEMBERED_IDS, Reducer, endpoint_id

US_PER_S = 1_000_000


def make_instance(
    name: str, instance_status: InstanceStatus = InstanceStatus.UP, port: int = 0, **more: int
) -> Instance:
    return Instance(name, ("127.0.0.1", port or 1000 + ord(name[-1])), instance_status, **more)  # type: ignore[arg-type]


def start_times_s(
    reducer: Reducer, now_s: int, *instances: Instance, reports_starts: bool = False
) -> dict[str, int]:
    reduced = reducer.reduce(Snapshot(instances, 1, reports_starts), now_s * US_PER_S)
    return {reduced.names[s.id]: (s.started_us or 0) // US_PER_S for s in reduced.update.endpoints}


def test_host_that_was_unhealthy_or_gone_returns_as_freshly_started() -> None:
    """A process whose check flaps between passing and critical may have restarted each time.

    Without slow start on each return it would be flooded with requests.
    """
    reducer = Reducer((), ())
    assert start_times_s(reducer, 100, make_instance("a"), make_instance("b")) == {"a": 0, "b": 0}
    assert start_times_s(
        reducer, 110, make_instance("a"), make_instance("b", InstanceStatus.UNHEALTHY)
    ) == {"a": 0}
    assert start_times_s(reducer, 120, make_instance("a"), make_instance("b")) == {"a": 0, "b": 120}
    assert start_times_s(reducer, 130, make_instance("a"), make_instance("b")) == {"a": 0, "b": 120}
    assert start_times_s(reducer, 140, make_instance("a")) == {"a": 0}  # deregistered
    assert start_times_s(reducer, 150, make_instance("a"), make_instance("b")) == {"a": 0, "b": 150}


def test_drained_host_keeps_its_start_time_and_new_host_is_freshly_started() -> None:
    reducer = Reducer((), ())
    start_times_s(reducer, 100, make_instance("a"))
    start_times_s(reducer, 110, make_instance("a", InstanceStatus.DRAINING))
    assert start_times_s(reducer, 120, make_instance("a"), make_instance("n")) == {"a": 0, "n": 120}


def test_start_times_of_a_source_that_reports_them_are_used() -> None:
    reducer = Reducer((), ())
    start_times_s(reducer, 100, make_instance("a", started_us=50 * US_PER_S), reports_starts=True)
    start_times_s(reducer, 110, reports_starts=True)
    assert start_times_s(
        reducer, 120, make_instance("a", started_us=50 * US_PER_S), reports_starts=True
    ) == {"a": 50}
    assert start_times_s(
        reducer, 130, make_instance("a", started_us=125 * US_PER_S), reports_starts=True
    ) == {"a": 125}


def test_reported_start_time_counts_if_the_source_reports_only_some() -> None:
    reducer = Reducer((), ())
    start_times_s(reducer, 100, make_instance("a"))
    assert start_times_s(reducer, 110, make_instance("a", started_us=105 * US_PER_S)) == {"a": 105}


def test_empty_list_removes_all_hosts() -> None:
    reducer = Reducer((), ())
    start_times_s(reducer, 100, make_instance("a"))
    reduced = reducer.reduce(Snapshot((), 2), 110 * US_PER_S)
    assert reduced.update.endpoints == ()


def test_only_one_of_two_ids_at_one_address_is_used() -> None:
    reducer = Reducer((), ())
    first = reducer.reduce(
        Snapshot((make_instance("b", port=9), make_instance("a", port=9))), 100 * US_PER_S
    )
    assert list(first.names.values()) == ["a"]
    assert len(first.ignored) == 1
    # The address gets a new id: the old id is removed, the new one is freshly started.
    moved = reducer.reduce(Snapshot((make_instance("c", port=9),)), 110 * US_PER_S)
    assert [(moved.names[s.id], s.started_us) for s in moved.update.endpoints] == [
        ("c", 110 * US_PER_S)
    ]


def test_id_listed_twice_is_used_once() -> None:
    reduced = Reducer((), ()).reduce(
        Snapshot(
            (
                make_instance("a", InstanceStatus.UNHEALTHY),
                make_instance("a"),
                make_instance("a", port=7),
            )
        ),
        100 * US_PER_S,
    )
    assert [s.status for s in reduced.update.endpoints] == [EndpointStatus.READY]
    assert len(reduced.ignored) == 2


def test_zone_and_machine_type_are_mapped_to_indexes_of_the_settings() -> None:
    reported_instance = Instance(
        "a", ("h", 1), zone="north", machine_type="big", cell=3, weight=2.0
    )
    reduced = Reducer(("south", "north"), ("big",)).reduce(Snapshot((reported_instance,)), 0)
    (endpoint,) = reduced.update.endpoints
    assert (endpoint.zone, endpoint.machine_type, endpoint.cell, endpoint.weight) == (1, 0, 3, 2.0)
    assert endpoint.id == endpoint_id("a")


def test_number_of_remembered_ids_is_bounded() -> None:
    reducer = Reducer((), ())
    for turn in range(30):
        names = (Instance(f"{turn}-{i}", ("h", i + 1)) for i in range(400))
        reducer.reduce(Snapshot(tuple(names)), turn * US_PER_S)
    assert len(reducer._remembered) <= MAX_REMEMBERED_IDS + 400


STATUS_LISTS = st.lists(
    st.dictionaries(st.sampled_from("abcd"), st.sampled_from(InstanceStatus), max_size=4),
    min_size=1,
    max_size=30,
)


@given(STATUS_LISTS)
def test_only_hosts_in_service_are_ready_and_returning_ones_are_freshly_started(
    lists: list[dict[str, InstanceStatus]],
) -> None:
    reducer, left_service = Reducer((), ()), set[str]()
    for turn, statuses in enumerate(lists):
        now_s = 100 + turn
        instances = tuple(
            make_instance(name, instance_status) for name, instance_status in statuses.items()
        )
        reduced = reducer.reduce(Snapshot(instances, turn), now_s * US_PER_S)
        ready = {
            reduced.names[s.id]: s
            for s in reduced.update.endpoints
            if s.status is EndpointStatus.READY
        }
        assert set(ready) == {
            name
            for name, instance_status in statuses.items()
            if instance_status is InstanceStatus.UP
        }
        for name, endpoint in ready.items():
            assert (endpoint.started_us == now_s * US_PER_S) or name not in left_service
        seen = set(reducer._remembered)
        left_service = {
            name
            for name in seen
            if statuses.get(name, InstanceStatus.UNHEALTHY) is InstanceStatus.UNHEALTHY
        }


# Merge of several agents' lists.


def test_more_severe_status_counts() -> None:
    views = MergedViews()
    both = (make_instance("a"), make_instance("b"))
    assert views.update(1, 0.0, both) == both
    assert views.update(2, 0.1, both) is None
    draining = make_instance("a", InstanceStatus.DRAINING)
    assert views.update(1, 0.2, (draining, make_instance("b"))) == (draining, make_instance("b"))
    assert views.update(2, 0.3, (draining,)) == (draining,)
    assert views.failed(1, 0.4, "silent") is None
    assert views.state == SourceState(SourceHealth.FRESH, 0.0)
    assert views.failed(2, 0.5, "silent") is None  # the last list stays in use
    assert views.state == SourceState(SourceHealth.STALE, 0.5, "silent")
    assert views.update(2, 0.6, both) == both


@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.booleans(),
            st.dictionaries(st.sampled_from("abc"), st.sampled_from(InstanceStatus)),
        ),
        max_size=40,
    )
)
def test_merged_instance_is_in_service_only_if_all_agents_report_it(
    steps: list[tuple[int, bool, dict[str, InstanceStatus]]],
) -> None:
    views, reported, merged = (
        MergedViews(),
        dict[int, dict[str, InstanceStatus]](),
        dict[str, InstanceStatus](),
    )
    for now, (watch, fails, statuses) in enumerate(steps):
        if fails:
            reported.pop(watch, None)
            changed = views.failed(watch, float(now), "why")
        else:
            reported[watch] = statuses
            changed = views.update(
                watch, float(now), tuple(make_instance(name, s) for name, s in statuses.items())
            )
        if changed is not None:
            merged = {instance.id: instance.status for instance in changed}
        if reported:
            for name in "abc":
                all_report_up = all(
                    view.get(name) is InstanceStatus.UP for view in reported.values()
                )
                assert (merged.get(name) is InstanceStatus.UP) == all_report_up
            assert views.state.health is SourceHealth.FRESH
        else:
            assert views.state.health is not SourceHealth.FRESH


def test_the_instance_that_started_last_is_used_at_an_address() -> None:
    """The older entry is of a process that has gone and is still listed."""
    reducer = Reducer((), ())
    old = make_instance("old", port=7, started_us=50 * US_PER_S)
    new = make_instance("new", port=7, started_us=90 * US_PER_S)
    assert start_times_s(reducer, 100, old, reports_starts=True) == {"old": 50}
    assert start_times_s(reducer, 110, old, new, reports_starts=True) == {"new": 90}
    assert start_times_s(reducer, 120, new, old, reports_starts=True) == {"new": 90}
