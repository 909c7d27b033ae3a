"""Room for client connections: which is taken, which ends for another, who finds no place. No
sockets.
"""

from __future__ import annotations

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from quillroad.downstream.connection_limit import (
    MIN_REST_S,
    MIN_SILENT_S,
    RECEIVE_STALL_S,
    RECEIVING_FRACTION,
    ConnectionLimit,
    ConnectionState,
)

LONG = 10 * MIN_SILENT_S


def room(places: int = 4, unread: set[int] | None = None) -> ConnectionLimit[int]:
    return ConnectionLimit(places, lambda number: number in (unread or set()))


def test_whoever_has_asked_is_never_ended_for_another() -> None:
    unread = {1, 2}
    some = room(4, unread)
    for number, stage in enumerate(
        (
            ConnectionState.BUSY,
            ConnectionState.SILENT,
            ConnectionState.RESTING,
            ConnectionState.BUSY,
        )
    ):
        some.set_state(number, stage, 0.0)
    assert not some.has_place()
    assert some.connection_to_end(LONG) is None  # two are busy, two have sent what was not read yet
    assert some.may_accept_to_reject()  # one more may come, to be told so
    some.set_state(4, ConnectionState.BUSY, LONG)
    assert not some.may_accept_to_reject()  # whoever comes now is told so before it is one of them
    assert some.may_accept_unclassified()
    unread.clear()
    assert some.connection_to_end(LONG) == 1


def test_the_order_in_which_connections_end_for_others() -> None:
    some = room(3)
    some.set_state(1, ConnectionState.RESTING, 0.0)
    some.set_state(2, ConnectionState.SILENT, 0.0)
    some.set_state(3, ConnectionState.LEAVING, 0.0)
    order = []
    while (one := some.connection_to_end(LONG)) is not None:
        order.append(one)
        some.remove(one)
    assert order == [3, 2, 1]


def test_new_ones_have_time_to_speak() -> None:
    """Their request may be on its way: a connection that is ended with it unread is a loss."""
    some = room(2)
    some.set_state(1, ConnectionState.SILENT, 0.0)
    some.set_state(2, ConnectionState.SILENT, 0.1)
    assert some.connection_to_end(MIN_SILENT_S / 2) is None
    assert some.connection_to_end(MIN_SILENT_S + 0.05) == 1


def test_the_longest_at_rest_goes_first() -> None:
    some = room(3)
    for number in (1, 2, 3):
        some.set_state(number, ConnectionState.RESTING, number / 10)
    some.set_state(1, ConnectionState.BUSY, 0.5)
    some.set_state(1, ConnectionState.RESTING, 0.6)
    assert some.connection_to_end(1.0) == 2


def test_those_who_ask_once_and_stay_go_and_those_in_use_stay() -> None:
    some = room(5)
    for number in (1, 2, 3):
        some.set_state(number, ConnectionState.RESTING, number / 10)
    some.set_state(1, ConnectionState.BUSY, 0.5)
    assert some.longest_resting_to_end(LONG) is None  # part of the places are theirs
    some.set_state(1, ConnectionState.RESTING, 0.6)
    assert (
        some.longest_resting_to_end(0.2 + MIN_REST_S / 2) is None
    )  # no longer than it takes to ask again
    assert some.longest_resting_to_end(LONG) == 2


MOVES = st.tuples(
    st.integers(0, 12),
    st.sampled_from([*ConnectionState, "left", "accept", "end longest resting"]),
    st.floats(0.0, 0.5),
)


# One still writes its request, a third connection takes its place, then the request is complete.
WRITES_WHILE_ANOTHER_COMES = [
    (0, "accept", 0.0),
    (1, "accept", 0.0),
    (1, ConnectionState.RECEIVING, 0.0),
    (2, "accept", 0.0),
]


@given(st.integers(1, 6), st.lists(MOVES, max_size=200))
@example(2, [*WRITES_WHILE_ANOTHER_COMES, (1, ConnectionState.BUSY, 0.0)])
@example(2, [*WRITES_WHILE_ANOTHER_COMES, (1, ConnectionState.SILENT, 0.0)])
def test_no_busy_connection_ends_and_the_number_stays_within_bounds(
    places: int, moves: list[tuple[int, ConnectionState | str, float]]
) -> None:
    """Whatever connections do, in whatever order.

    Connections that still write a request have some places of their own, so the bound of an accept
    counts those that write at that moment. What they wrote may be complete later: they keep their
    places then, and the number stays within all places, both kinds.
    """
    some, now, unread = room(places), 0.0, set[int]()
    writing_places = int(RECEIVING_FRACTION * places)
    stages: dict[int, ConnectionState] = {}
    for number, what, passed in moves:
        now += passed
        if isinstance(what, ConnectionState):
            if number in stages and stages[number] is not ConnectionState.LEAVING:
                stages[number] = what
                some.set_state(number, what, now)
        elif what == "left":
            stages.pop(number, None)
            some.remove(number)
        elif what == "end longest resting":
            if (one := some.longest_resting_to_end(now)) is not None:
                assert stages.pop(one) is ConnectionState.RESTING
                some.remove(one)
        elif number not in stages:
            if not some.has_place():
                one = some.connection_to_end(now)
                if one is not None:
                    assert stages.pop(one) is not ConnectionState.BUSY
                    some.remove(one)
                elif not some.may_accept_to_reject():
                    continue
            stages[number] = ConnectionState.SILENT
            some.set_state(number, ConnectionState.SILENT, now)
            writing = sum(1 for stage in stages.values() if stage is ConnectionState.RECEIVING)
            assert len(stages) <= places + places // 4 + min(writing, writing_places)
        assert len(some) == len(stages) <= places + places // 4 + writing_places
        assert sorted(some.connections()) == sorted(stages)
        assert all(
            some.count(s) == sum(1 for x in stages.values() if x is s) for s in ConnectionState
        )
        assert not unread


def test_whoever_only_writes_takes_no_place_of_a_request_and_ends_first_without_progress() -> None:
    unread: set[int] = set()
    some = room(4, unread)
    for number in (1, 2):
        some.set_state(number, ConnectionState.RECEIVING, 0.0)
    for number in (3, 4, 5):
        some.set_state(number, ConnectionState.BUSY, 0.0)
    assert some.busy == 3
    assert some.has_place()  # two that write are beyond the places
    some.set_state(6, ConnectionState.RECEIVING, 0.0)
    assert not some.has_place()  # no more than that
    assert some.connection_to_end(RECEIVE_STALL_S / 2) is None
    some.set_state(1, ConnectionState.RECEIVING, RECEIVE_STALL_S)  # it gets on
    assert some.connection_to_end(RECEIVE_STALL_S + 0.1) == 2
    unread.update((2, 6))  # the rest has come, and was not read yet
    assert some.connection_to_end(RECEIVE_STALL_S + 0.1) is None


@pytest.mark.parametrize("places", [1, 8, 20, 84, 180, 500])
def test_whoever_comes_beyond_the_places_leaves_the_hosts_a_part(places: int) -> None:
    """Places are half of the descriptors: who says nothing may hold three quarters at the most."""
    room = ConnectionLimit[int](places, lambda _: False)
    for number in range(3 * places + 100):
        if not (room.has_place() or room.may_accept_to_reject() or room.may_accept_unclassified()):
            break
        room.set_state(number, ConnectionState.SILENT, 1.0)
    assert places <= len(room) <= 1.5 * places
