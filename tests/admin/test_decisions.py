"""The decisions behind the operators' address, without a socket."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.admin.calls import Act, Call, read_call
from quillroad.admin.errors import BadCallError, NoSuchHostError, TooManyOverridesError
from quillroad.admin.host_overrides import MAX_OVERRIDES, HostOverrides
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.config import Address
from quillroad.serving_state import ServingState

NAMES = ["a", "b", "c", "d"]


@pytest.mark.parametrize(
    ("method", "target", "call"),
    [
        (b"GET", b"/healthcheck", Call(Act.HEALTH)),
        (b"GET", b"/stats?x=1", Call(Act.STATS)),
        (b"POST", b"/healthcheck/fail", Call(Act.FAIL)),
        (b"POST", b"/healthcheck/ok", Call(Act.OK)),
        (b"POST", b"/hosts/s-5be2a07c/maint", Call(Act.MAINT, "s-5be2a07c")),
        (b"POST", b"/hosts/a%2Fb/ready", Call(Act.READY, "a/b")),
    ],
)
def test_calls_are_read(method: bytes, target: bytes, call: Call) -> None:
    assert read_call(method, target) == call


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        (b"GET", b"/", 404),
        (b"POST", b"/hosts//maint", 404),
        (b"POST", b"/hosts/a/b/maint", 404),
        (b"GET", b"/hosts/a/maint", 405),
        (b"POST", b"/stats", 405),
        (b"POST", b"/hosts/%ff/maint", 400),
        (b"POST", b"/hosts/a/maint/", 404),
    ],
)
def test_calls_that_make_no_sense(method: bytes, target: bytes, status: int) -> None:
    with pytest.raises(BadCallError) as told:
        read_call(method, target)
    assert told.value.status == status


@given(st.lists(st.sampled_from(["fail", "ok", "end"])))
def test_serving_state_drains_for_either_reason(steps: list[str]) -> None:
    serving_state, by_hand, ending = ServingState(), False, False
    for step in steps:
        before = by_hand or ending
        if step == "end":
            ending = True
        else:
            by_hand = step == "fail"
        acts = {
            "fail": serving_state.drain,
            "ok": serving_state.resume,
            "end": serving_state.end,
        }
        changed = acts[step]()
        assert serving_state.draining == (by_hand or ending)
        assert changed == (serving_state.draining != before)


def line(name: str, started_us: int = 0, state: EndpointStatus = EndpointStatus.READY) -> Endpoint:
    return Endpoint(NAMES.index(name) + 1, state, started_us=started_us)


def full(*servers: Endpoint) -> tuple[EndpointUpdate, dict[int, str], dict[int, Address]]:
    names = {s.id: NAMES[s.id - 1] for s in servers}
    return (
        EndpointUpdate(UpdateKind.FULL, servers, 1),
        names,
        {s.id: ("127.0.0.1", s.id) for s in servers},
    )


def test_a_host_stays_out_until_put_back_whatever_lists_say() -> None:
    """A host is out of service while lists call it ready, leave it out, and list it again."""
    overrides = HostOverrides()
    overrides.apply(*full(line("a"), line("b")))
    told = overrides.take_out("a", 100)
    assert told is not None and told.update.kind is UpdateKind.INCREMENTAL
    assert [(s.id, s.status) for s in told.update.endpoints] == [(1, EndpointStatus.DRAINING)]
    assert overrides.take_out("a", 100) is None  # twice out needs one call back
    assert [s.status for s in overrides.apply(*full(line("a"), line("b"))).update.endpoints] == [
        EndpointStatus.DRAINING,
        EndpointStatus.READY,
    ]
    overrides.apply(*full(line("b")))  # it leaves, and comes back under its id
    assert overrides.listed == 0
    assert (
        overrides.apply(*full(line("a"), line("b"))).update.endpoints[0].status
        is EndpointStatus.DRAINING
    )
    back = overrides.put_back("a", 777)
    assert back is not None and back.update.endpoints[0] == line("a", 777)
    assert (
        overrides.put_back("a", 999) is None
    )  # it is back: another call changes nothing, and starts nothing anew
    assert overrides.apply(*full(line("a", 99), line("b"))).update.endpoints[0].started_us == 777
    # A start that the source tells of, since it went out, is the one that counts: all gateways hear
    # of it.
    assert overrides.apply(*full(line("a", 500), line("b"))).update.endpoints[0].started_us == 500
    assert overrides.apply(*full(line("a", 900), line("b"))).update.endpoints[0].started_us == 900


def test_a_restart_told_before_the_return_is_no_second_start() -> None:
    """The source tells of a restart while the host is out, then the host is put back.

    Counted as two starts it would get a second slow start."""
    overrides = HostOverrides()
    overrides.apply(*full(line("a", 50)))
    overrides.take_out("a", 100)
    overrides.apply(*full(line("a", 300)))
    back = overrides.put_back("a", 777)
    assert back is not None and back.update.endpoints[0] == line("a", 300)


def test_a_return_while_the_source_says_draining_or_nothing() -> None:
    overrides = HostOverrides()
    overrides.apply(*full(line("a")))
    overrides.take_out("a", 100)
    overrides.apply(*full(line("a", state=EndpointStatus.DRAINING)))
    back = overrides.put_back("a", 5)
    assert back is not None and back.update.endpoints[0].status is EndpointStatus.DRAINING
    overrides.take_out("a", 100)
    overrides.apply(*full())
    assert overrides.put_back("a", 6) is None  # not listed: a yes, and nothing to tell the engine
    with pytest.raises(NoSuchHostError):
        overrides.put_back("a", 7)


def test_unknown_hosts_and_too_many_overrides_are_errors() -> None:
    overrides = HostOverrides()
    overrides.apply(*full(line("a")))
    with pytest.raises(NoSuchHostError):
        overrides.take_out("x", 1)
    with pytest.raises(NoSuchHostError):
        overrides.put_back("x", 1)
    overrides.out_since_us = {str(i): 1 for i in range(MAX_OVERRIDES)}
    with pytest.raises(TooManyOverridesError):
        overrides.take_out("a", 100)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["list", "change", "maint", "ready", "move"]),
            st.sampled_from(NAMES),
            st.sampled_from(
                [EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED]
            ),
            st.integers(0, 50),
        )
    )
)
def test_no_host_out_of_service_is_ever_shown_ready(
    steps: list[tuple[str, str, EndpointStatus, int]],
) -> None:
    """Lists, calls and moves to another process come in whatever order.

    The engine's own picture, built from what it was told alone, is that of a fresh look at the
    whole list."""
    overrides, source, out = HostOverrides(), {}, set[str]()
    engine: dict[int, Endpoint] = {}
    for now, (step, name, state, started) in enumerate(steps, 100):
        told = None
        if step in ("list", "change"):
            source[name] = line(name, started, state)
            if state is EndpointStatus.REMOVED:
                del source[name]
            if step == "list":
                told = overrides.apply(*full(*source.values()))
                engine = {}
            else:
                told = overrides.apply(
                    EndpointUpdate(UpdateKind.INCREMENTAL, (line(name, started, state),)),
                    {NAMES.index(name) + 1: name},
                    {NAMES.index(name) + 1: ("127.0.0.1", 1)},
                )
        elif (
            step == "move"
        ):  # an upgrade: the newcomer has its own list, and learns what is by hand
            other = HostOverrides()
            engine = {s.id: s for s in other.apply(*full(*source.values())).update.endpoints}
            told = other.learn(overrides.out_since_us, overrides.returned)
            overrides = other
        elif name in source and step == "maint":
            told = overrides.take_out(name, now)
            out.add(name)
        elif name in out and step == "ready":
            told = overrides.put_back(name, now)
            out.discard(name)
        if told is not None:
            for server in told.update.endpoints:
                engine[server.id] = server
                if server.status is EndpointStatus.REMOVED:
                    del engine[server.id]
        assert set(overrides.out_since_us) == out
        assert set(engine) == {s.id for s in source.values()}
        for server in engine.values():
            shown = NAMES[server.id - 1]
            ready = source[shown].status is EndpointStatus.READY and shown not in out
            assert (server.status is EndpointStatus.READY) == ready
            assert (server.started_us or 0) >= (source[shown].started_us or 0)
