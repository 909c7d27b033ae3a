"""The reducer and the merge of views: what counts as gone, draining, freshly started. No I/O."""

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

S = 1_000_000  # a second in microseconds


def one(
    name: str, standing: InstanceStatus = InstanceStatus.UP, port: int = 0, **more: int
) -> Instance:
    return Instance(name, ("127.0.0.1", port or 1000 + ord(name[-1])), standing, **more)  # type: ignore[arg-type]


def starts(
    reducer: Reducer, now_s: int, *instances: Instance, tells: bool = False
) -> dict[str, int]:
    reduced = reducer.reduce(Snapshot(instances, 1, tells), now_s * S)
    return {reduced.names[s.id]: (s.started_us or 0) // S for s in reduced.update.endpoints}


def test_a_host_that_was_told_out_comes_back_cold() -> None:
    """Flapping passing, critical, passing: its process may have restarted, and must not be
    flooded.
    """
    reducer = Reducer((), ())
    assert starts(reducer, 100, one("a"), one("b")) == {"a": 0, "b": 0}
    assert starts(reducer, 110, one("a"), one("b", InstanceStatus.UNHEALTHY)) == {"a": 0}
    assert starts(reducer, 120, one("a"), one("b")) == {"a": 0, "b": 120}
    assert starts(reducer, 130, one("a"), one("b")) == {"a": 0, "b": 120}
    assert starts(reducer, 140, one("a")) == {"a": 0}  # deregistered
    assert starts(reducer, 150, one("a"), one("b")) == {"a": 0, "b": 150}


def test_a_drain_is_no_restart_and_a_new_host_is_cold() -> None:
    reducer = Reducer((), ())
    starts(reducer, 100, one("a"))
    starts(reducer, 110, one("a", InstanceStatus.DRAINING))
    assert starts(reducer, 120, one("a"), one("n")) == {"a": 0, "n": 120}


def test_a_source_that_tells_starts_is_believed() -> None:
    reducer = Reducer((), ())
    starts(reducer, 100, one("a", started_us=50 * S), tells=True)
    starts(reducer, 110, tells=True)
    assert starts(reducer, 120, one("a", started_us=50 * S), tells=True) == {"a": 50}
    assert starts(reducer, 130, one("a", started_us=125 * S), tells=True) == {"a": 125}


def test_a_told_start_counts_where_the_source_tells_of_some_only() -> None:
    reducer = Reducer((), ())
    starts(reducer, 100, one("a"))
    assert starts(reducer, 110, one("a", started_us=105 * S)) == {"a": 105}


def test_an_empty_list_is_obeyed() -> None:
    reducer = Reducer((), ())
    starts(reducer, 100, one("a"))
    reduced = reducer.reduce(Snapshot((), 2), 110 * S)
    assert reduced.update.endpoints == ()


def test_two_ids_at_one_address_get_the_work_of_one() -> None:
    reducer = Reducer((), ())
    first = reducer.reduce(Snapshot((one("b", port=9), one("a", port=9))), 100 * S)
    assert list(first.names.values()) == ["a"]
    assert len(first.ignored) == 1
    # An address that moves to a new id: the old one gone, the new one cold.
    moved = reducer.reduce(Snapshot((one("c", port=9),)), 110 * S)
    assert [(moved.names[s.id], s.started_us) for s in moved.update.endpoints] == [("c", 110 * S)]


def test_an_id_listed_twice_counts_once() -> None:
    reduced = Reducer((), ()).reduce(
        Snapshot((one("a", InstanceStatus.UNHEALTHY), one("a"), one("a", port=7))), 100 * S
    )
    assert [s.status for s in reduced.update.endpoints] == [EndpointStatus.READY]
    assert len(reduced.ignored) == 2


def test_names_become_the_settings_numbers() -> None:
    told = Instance("a", ("h", 1), zone="north", machine_type="big", cell=3, weight=2.0)
    reduced = Reducer(("south", "north"), ("big",)).reduce(Snapshot((told,)), 0)
    (server,) = reduced.update.endpoints
    assert (server.zone, server.machine_type, server.cell, server.weight) == (1, 0, 3, 2.0)
    assert server.id == endpoint_id("a")


def test_what_is_remembered_is_bounded() -> None:
    reducer = Reducer((), ())
    for turn in range(30):
        names = (Instance(f"{turn}-{i}", ("h", i + 1)) for i in range(400))
        reducer.reduce(Snapshot(tuple(names)), turn * S)
    assert len(reducer._remembered) <= MAX_REMEMBERED_IDS + 400


FLIPS = st.lists(
    st.dictionaries(st.sampled_from("abcd"), st.sampled_from(InstanceStatus), max_size=4),
    min_size=1,
    max_size=30,
)


@given(FLIPS)
def test_nothing_told_draining_or_gone_is_ready_and_what_was_out_comes_back_cold(
    lists: list[dict[str, InstanceStatus]],
) -> None:
    reducer, out = Reducer((), ()), set[str]()
    for turn, told in enumerate(lists):
        now_s = 100 + turn
        instances = tuple(one(name, standing) for name, standing in told.items())
        reduced = reducer.reduce(Snapshot(instances, turn), now_s * S)
        ready = {
            reduced.names[s.id]: s
            for s in reduced.update.endpoints
            if s.status is EndpointStatus.READY
        }
        assert set(ready) == {
            name for name, standing in told.items() if standing is InstanceStatus.UP
        }
        for name, server in ready.items():
            assert (server.started_us == now_s * S) or name not in out
        seen = set(reducer._remembered)
        out = {
            name
            for name in seen
            if told.get(name, InstanceStatus.UNHEALTHY) is InstanceStatus.UNHEALTHY
        }


# Several agents.


def test_the_more_careful_word_counts() -> None:
    views = MergedViews()
    both = (one("a"), one("b"))
    assert views.update(1, 0.0, both) == both
    assert views.update(2, 0.1, both) is None
    drains = one("a", InstanceStatus.DRAINING)
    assert views.update(1, 0.2, (drains, one("b"))) == (drains, one("b"))
    assert views.update(2, 0.3, (drains,)) == (drains,)
    assert views.failed(1, 0.4, "silent") is None
    assert views.state == SourceState(SourceHealth.FRESH, 0.0)
    assert views.failed(2, 0.5, "silent") is None  # the last list stands
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
def test_what_is_merged_is_in_service_only_by_everybodys_word(
    steps: list[tuple[int, bool, dict[str, InstanceStatus]]],
) -> None:
    views, heard, merged = (
        MergedViews(),
        dict[int, dict[str, InstanceStatus]](),
        dict[str, InstanceStatus](),
    )
    for now, (watch, fails, told) in enumerate(steps):
        if fails:
            heard.pop(watch, None)
            got = views.failed(watch, float(now), "why")
        else:
            heard[watch] = told
            got = views.update(watch, float(now), tuple(one(name, s) for name, s in told.items()))
        if got is not None:
            merged = {instance.id: instance.status for instance in got}
        if heard:
            for name in "abc":
                everybody = all(view.get(name) is InstanceStatus.UP for view in heard.values())
                assert (merged.get(name) is InstanceStatus.UP) == everybody
            assert views.state.health is SourceHealth.FRESH
        else:
            assert views.state.health is not SourceHealth.FRESH
