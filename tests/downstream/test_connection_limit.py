"""Connection limit, without sockets: accepted connections, and those closed to make room."""

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

LONG_S = 10 * MIN_SILENT_S


def new_limit(places: int = 4, unread: set[int] | None = None) -> ConnectionLimit[int]:
    return ConnectionLimit(places, lambda number: number in (unread or set()))


def test_a_connection_with_a_request_is_never_closed_for_another() -> None:
    unread = {1, 2}
    limit = new_limit(4, unread)
    for number, state in enumerate(
        (
            ConnectionState.BUSY,
            ConnectionState.SILENT,
            ConnectionState.RESTING,
            ConnectionState.BUSY,
        )
    ):
        limit.set_state(number, state, 0.0)
    assert not limit.has_place()
    assert limit.connection_to_end(LONG_S) is None  # two are busy, two have unread bytes
    assert limit.may_accept_to_reject()  # one more may be accepted, to be rejected
    limit.set_state(4, ConnectionState.BUSY, LONG_S)
    assert not limit.may_accept_to_reject()  # rejected before it counts as a connection
    assert limit.may_accept_unclassified()
    unread.clear()
    assert limit.connection_to_end(LONG_S) == 1


def test_order_in_which_connections_are_closed_for_others() -> None:
    limit = new_limit(3)
    limit.set_state(1, ConnectionState.RESTING, 0.0)
    limit.set_state(2, ConnectionState.SILENT, 0.0)
    limit.set_state(3, ConnectionState.LEAVING, 0.0)
    order = []
    while (one := limit.connection_to_end(LONG_S)) is not None:
        order.append(one)
        limit.remove(one)
    assert order == [3, 2, 1]


def test_new_connections_are_not_closed_before_the_minimum_time() -> None:
    """Their first request may be in transit and would be lost with the connection."""
    limit = new_limit(2)
    limit.set_state(1, ConnectionState.SILENT, 0.0)
    limit.set_state(2, ConnectionState.SILENT, 0.1)
    assert limit.connection_to_end(MIN_SILENT_S / 2) is None
    assert limit.connection_to_end(MIN_SILENT_S + 0.05) == 1


def test_the_longest_resting_connection_is_closed_first() -> None:
    limit = new_limit(3)
    for number in (1, 2, 3):
        limit.set_state(number, ConnectionState.RESTING, number / 10)
    limit.set_state(1, ConnectionState.BUSY, 0.5)
    limit.set_state(1, ConnectionState.RESTING, 0.6)
    assert limit.connection_to_end(1.0) == 2


def test_the_longest_resting_connection_is_closed_and_used_ones_stay() -> None:
    limit = new_limit(5)
    for number in (1, 2, 3):
        limit.set_state(number, ConnectionState.RESTING, number / 10)
    limit.set_state(1, ConnectionState.BUSY, 0.5)
    assert limit.longest_resting_to_end(LONG_S) is None  # a fraction of the places may rest
    limit.set_state(1, ConnectionState.RESTING, 0.6)
    # It rested for no longer than a client takes to send its next request.
    assert limit.longest_resting_to_end(0.2 + MIN_REST_S / 2) is None
    assert limit.longest_resting_to_end(LONG_S) == 2


MOVES = st.tuples(
    st.integers(0, 12),
    st.sampled_from([*ConnectionState, "left", "accept", "end longest resting"]),
    st.floats(0.0, 0.5),
)


# While one connection is still receiving a request, a third uses its place; then that request is
# complete.
RECEIVING_WHILE_ANOTHER_IS_ACCEPTED = [
    (0, "accept", 0.0),
    (1, "accept", 0.0),
    (1, ConnectionState.RECEIVING, 0.0),
    (2, "accept", 0.0),
]


@given(st.integers(1, 6), st.lists(MOVES, max_size=200))
@example(2, [*RECEIVING_WHILE_ANOTHER_IS_ACCEPTED, (1, ConnectionState.BUSY, 0.0)])
@example(2, [*RECEIVING_WHILE_ANOTHER_IS_ACCEPTED, (1, ConnectionState.SILENT, 0.0)])
def test_no_busy_connection_is_closed_and_the_number_stays_bounded(
    places: int, moves: list[tuple[int, ConnectionState | str, float]]
) -> None:
    """For any sequence of state changes of connections.

    Receiving connections have extra places, so the bound at an accept counts those that are
    receiving at that moment. When their requests are complete they stay connected, and the total
    stays within both kinds of places.
    """
    limit, now, unread = new_limit(places), 0.0, set[int]()
    receiving_places = int(RECEIVING_FRACTION * places)
    states: dict[int, ConnectionState] = {}
    for number, step, elapsed_s in moves:
        now += elapsed_s
        if isinstance(step, ConnectionState):
            if number in states and states[number] is not ConnectionState.LEAVING:
                states[number] = step
                limit.set_state(number, step, now)
        elif step == "left":
            states.pop(number, None)
            limit.remove(number)
        elif step == "end longest resting":
            if (one := limit.longest_resting_to_end(now)) is not None:
                assert states.pop(one) is ConnectionState.RESTING
                limit.remove(one)
        elif number not in states:
            if not limit.has_place():
                one = limit.connection_to_end(now)
                if one is not None:
                    assert states.pop(one) is not ConnectionState.BUSY
                    limit.remove(one)
                elif not limit.may_accept_to_reject():
                    continue
            states[number] = ConnectionState.SILENT
            limit.set_state(number, ConnectionState.SILENT, now)
            receiving = sum(1 for state in states.values() if state is ConnectionState.RECEIVING)
            assert len(states) <= places + places // 4 + min(receiving, receiving_places)
        assert len(limit) == len(states) <= places + places // 4 + receiving_places
        assert sorted(limit.connections()) == sorted(states)
        assert all(
            limit.count(s) == sum(1 for x in states.values() if x is s) for s in ConnectionState
        )
        assert not unread


def test_receiving_connections_use_extra_places_and_close_without_progress() -> None:
    unread: set[int] = set()
    limit = new_limit(4, unread)
    for number in (1, 2):
        limit.set_state(number, ConnectionState.RECEIVING, 0.0)
    for number in (3, 4, 5):
        limit.set_state(number, ConnectionState.BUSY, 0.0)
    assert limit.busy == 3
    assert limit.has_place()  # two receiving ones use extra places
    limit.set_state(6, ConnectionState.RECEIVING, 0.0)
    assert not limit.has_place()  # there are only two extra places
    assert limit.connection_to_end(RECEIVE_STALL_S / 2) is None
    limit.set_state(1, ConnectionState.RECEIVING, RECEIVE_STALL_S)  # it makes progress
    assert limit.connection_to_end(RECEIVE_STALL_S + 0.1) == 2
    unread.update((2, 6))  # the rest was received and is unread
    assert limit.connection_to_end(RECEIVE_STALL_S + 0.1) is None


@pytest.mark.parametrize("places", [1, 8, 20, 84, 180, 500])
def test_silent_connections_leave_descriptors_for_hosts(places: int) -> None:
    """Places are half of the descriptors: silent clients may hold three quarters at most."""
    client_limit = ConnectionLimit[int](places, lambda _: False)
    for number in range(3 * places + 100):
        if not (
            client_limit.has_place()
            or client_limit.may_accept_to_reject()
            or client_limit.may_accept_unclassified()
        ):
            break
        client_limit.set_state(number, ConnectionState.SILENT, 1.0)
    assert places <= len(client_limit) <= 1.5 * places
