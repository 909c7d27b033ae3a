"""The decisions behind the operators' address, without a socket."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.admin.calls import Act, BadCall, Call, read_call
from quillroad.admin.hands import MOST, Hands, NoSuchHostError, TooManyError
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
    with pytest.raises(BadCall) as told:
        read_call(method, target)
    assert told.value.status == status


@given(st.lists(st.sampled_from(["fail", "ok", "end"])))
def test_duty_drains_for_either_reason_and_tells_changes_only(steps: list[str]) -> None:
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


def test_out_until_called_back_whatever_lists_say() -> None:
    hands = Hands()
    hands.lay(*full(line("a"), line("b")))
    told = hands.maint("a", 100)
    assert told is not None and told.servers.kind is UpdateKind.INCREMENTAL
    assert [(s.id, s.status) for s in told.servers.endpoints] == [(1, EndpointStatus.DRAINING)]
    assert hands.maint("a", 100) is None  # twice out needs one call back
    assert [s.status for s in hands.lay(*full(line("a"), line("b"))).servers.endpoints] == [
        EndpointStatus.DRAINING,
        EndpointStatus.READY,
    ]
    hands.lay(*full(line("b")))  # it leaves, and comes back under its id
    assert hands.listed == 0
    assert (
        hands.lay(*full(line("a"), line("b"))).servers.endpoints[0].status
        is EndpointStatus.DRAINING
    )
    back = hands.ready("a", 777)
    assert back is not None and back.servers.endpoints[0] == line("a", 777)
    assert (
        hands.ready("a", 999) is None
    )  # it is back: another call changes nothing, and starts nothing anew
    assert hands.lay(*full(line("a", 99), line("b"))).servers.endpoints[0].started_us == 777
    # A start that the source tells of, since it went out, is the one that counts: all gateways hear of it.
    assert hands.lay(*full(line("a", 500), line("b"))).servers.endpoints[0].started_us == 500
    assert hands.lay(*full(line("a", 900), line("b"))).servers.endpoints[0].started_us == 900


def test_a_restart_told_before_the_call_back_is_no_second_start() -> None:
    hands = Hands()
    hands.lay(*full(line("a", 50)))
    hands.maint("a", 100)
    hands.lay(*full(line("a", 300)))
    back = hands.ready("a", 777)
    assert back is not None and back.servers.endpoints[0] == line("a", 300)


def test_back_while_the_source_says_draining_or_nothing() -> None:
    hands = Hands()
    hands.lay(*full(line("a")))
    hands.maint("a", 100)
    hands.lay(*full(line("a", state=EndpointStatus.DRAINING)))
    back = hands.ready("a", 5)
    assert back is not None and back.servers.endpoints[0].status is EndpointStatus.DRAINING
    hands.maint("a", 100)
    hands.lay(*full())
    assert hands.ready("a", 6) is None  # not listed: a yes, and nothing to tell the engine
    with pytest.raises(NoSuchHostError):
        hands.ready("a", 7)


def test_ids_that_nobody_has_and_too_many() -> None:
    hands = Hands()
    hands.lay(*full(line("a")))
    with pytest.raises(NoSuchHostError):
        hands.maint("x", 1)
    with pytest.raises(NoSuchHostError):
        hands.ready("x", 1)
    hands.out = {str(i): 1 for i in range(MOST)}
    with pytest.raises(TooManyError):
        hands.maint("a", 100)


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
def test_no_host_out_by_hand_is_ever_shown_ready(
    steps: list[tuple[str, str, EndpointStatus, int]],
) -> None:
    """Whatever lists, calls and moves to another process come in whatever order; and the engine's own
    picture, built from what it was told alone, is that of a fresh look at the whole list."""
    hands, source, out = Hands(), {}, set[str]()
    engine: dict[int, Endpoint] = {}
    for now, (step, name, state, started) in enumerate(steps, 100):
        told = None
        if step in ("list", "change"):
            source[name] = line(name, started, state)
            if state is EndpointStatus.REMOVED:
                del source[name]
            if step == "list":
                told = hands.lay(*full(*source.values()))
                engine = {}
            else:
                told = hands.lay(
                    EndpointUpdate(UpdateKind.INCREMENTAL, (line(name, started, state),)),
                    {NAMES.index(name) + 1: name},
                    {NAMES.index(name) + 1: ("127.0.0.1", 1)},
                )
        elif (
            step == "move"
        ):  # an upgrade: the newcomer has its own list, and learns what is by hand
            other = Hands()
            engine = {s.id: s for s in other.lay(*full(*source.values())).servers.endpoints}
            told = other.learn(hands.out, hands.back)
            hands = other
        elif name in source and step == "maint":
            told = hands.maint(name, now)
            out.add(name)
        elif name in out and step == "ready":
            told = hands.ready(name, now)
            out.discard(name)
        if told is not None:
            for server in told.servers.endpoints:
                engine[server.id] = server
                if server.status is EndpointStatus.REMOVED:
                    del engine[server.id]
        assert set(hands.out) == out
        assert set(engine) == {s.id for s in source.values()}
        for server in engine.values():
            shown = NAMES[server.id - 1]
            ready = source[shown].status is EndpointStatus.READY and shown not in out
            assert (server.status is EndpointStatus.READY) == ready
            assert (server.started_us or 0) >= (source[shown].started_us or 0)
