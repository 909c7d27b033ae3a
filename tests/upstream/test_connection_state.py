"""Tests of the state transition table: each event in each state, on a real `HostConnection`."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

import pytest

from quillroad.balancing.events import Outcome
from quillroad.config import SHORT_BODY
from quillroad.http_answer import Answer
from quillroad.upstream.attempt import Attempt
from quillroad.upstream.connection import HostConnection
from quillroad.upstream.connection_state import (
    TRANSITIONS,
    HostConnectionEvent,
    HostConnectionState,
)
from tests.net import answer, on_loop
from tests.upstream.helpers import LONG_TIMEOUT_S, REQUEST, UpstreamHarness

LONG_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (SHORT_BODY + 1)
ALL_PAIRS = [(event, state) for event in HostConnectionEvent for state in HostConnectionState]
ALLOWED_PAIRS = [pair for pair in ALL_PAIRS if pair[1] in TRANSITIONS[pair[0]]]


class FakeTransport:
    """A transport that `abort` closes without calling `connection_lost`."""

    def __init__(self) -> None:
        self.written = b""
        self.aborted = False
        self._socket, self._peer_socket = socket.socketpair()

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def get_extra_info(self, name: str) -> socket.socket:
        assert name == "socket"
        return self._socket

    def write(self, data: bytes) -> None:
        self.written += data

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    def close(self) -> None:
        self._socket.close()
        self._peer_socket.close()


class ConnectionDriver:
    """Drives one connection of a pool on a fake transport through its events."""

    def __init__(self) -> None:
        self.harness = UpstreamHarness(("127.0.0.1", 1), max_body_bytes=SHORT_BODY * 4)
        self.connection = HostConnection(self.harness.upstream, self.harness.host)
        self.harness.descriptors.used += 1
        self.transport = FakeTransport()
        self.outcomes: list[Outcome] = []
        self.stream_ends: list[bool] = []
        self.events: dict[HostConnectionEvent, Callable[[], Any]] = {
            HostConnectionEvent.CONNECTED: self.connect,
            HostConnectionEvent.REQUEST_SENT: self.send,
            HostConnectionEvent.ANSWER_COMPLETE: lambda: self.connection.data_received(answer()),
            HostConnectionEvent.STREAM_STARTED: lambda: self.connection.data_received(LONG_HEAD),
            HostConnectionEvent.STREAM_ENDED: lambda: self.connection.data_received(
                b"x" * (SHORT_BODY + 1)
            ),
            HostConnectionEvent.DROPPED: self.connection.drop,
            HostConnectionEvent.LOST: lambda: self.connection.connection_lost(None),
        }

    def connect(self) -> None:
        self.connection.connection_made(cast(asyncio.Transport, self.transport))

    def send(self) -> None:
        upstream = self.harness.upstream
        loop = asyncio.get_running_loop()
        attempt = Attempt(
            loop,
            upstream.loop_monitor,
            self.harness.host,
            LONG_TIMEOUT_S,
            self.done,
            LONG_TIMEOUT_S,
        )
        self.connection.send(attempt, REQUEST, b"")

    def done(self, outcome: Outcome, received_answer: Answer | None, _: float) -> None:
        self.outcomes.append(outcome)
        if received_answer is not None and received_answer.stream is not None:
            received_answer.stream.on_end = self.stream_ends.append

    def drive_to(self, state: HostConnectionState) -> None:
        """Bring the connection to a state through events only."""
        path = {
            HostConnectionState.CONNECTING: [],
            HostConnectionState.IDLE: [HostConnectionEvent.CONNECTED],
            HostConnectionState.ACTIVE: [
                HostConnectionEvent.CONNECTED,
                HostConnectionEvent.REQUEST_SENT,
            ],
            HostConnectionState.STREAMING: [
                HostConnectionEvent.CONNECTED,
                HostConnectionEvent.REQUEST_SENT,
                HostConnectionEvent.STREAM_STARTED,
            ],
            HostConnectionState.CLOSING: [
                HostConnectionEvent.CONNECTED,
                HostConnectionEvent.DROPPED,
            ],
            HostConnectionState.CLOSED: [
                HostConnectionEvent.CONNECTED,
                HostConnectionEvent.LOST,
            ],
        }[state]
        for event in path:
            self.events[event]()
        assert self.connection.state is state


def test_table_covers_all_events_and_reaches_all_states() -> None:
    assert set(TRANSITIONS) == set(HostConnectionEvent)
    reached = {state for row in TRANSITIONS.values() for state in row.values()}
    assert reached == set(HostConnectionState) - {HostConnectionState.CONNECTING}
    for row in TRANSITIONS.values():  # CLOSED is final
        closed = HostConnectionState.CLOSED
        assert row.get(closed, closed) is closed


@pytest.mark.parametrize(("event", "state"), ALLOWED_PAIRS, ids=lambda value: value.name)
@on_loop
async def test_allowed_event_leads_to_the_state_in_the_table(
    event: HostConnectionEvent, state: HostConnectionState
) -> None:
    driver = ConnectionDriver()
    driver.drive_to(state)
    if state is HostConnectionState.CLOSED and event is HostConnectionEvent.STREAM_ENDED:
        # The loss of the connection ends the stream after the state has become CLOSED.
        driver = ConnectionDriver()
        driver.drive_to(HostConnectionState.STREAMING)
        driver.connection.connection_lost(None)
        assert driver.stream_ends == [False]
    elif state is HostConnectionState.CLOSED and event is HostConnectionEvent.DROPPED:
        driver.connect()  # a transport connected after the connection was closed
        driver.connection.drop()
        assert driver.transport.aborted
    else:
        driver.events[event]()
    assert driver.connection.state is TRANSITIONS[event][state]
    driver.transport.close()


@pytest.mark.parametrize("state", list(HostConnectionState), ids=lambda value: value.name)
@on_loop
async def test_only_an_idle_connection_takes_a_request(state: HostConnectionState) -> None:
    """A request written to a connection in use would get the answer to the other request."""
    driver = ConnectionDriver()
    driver.drive_to(state)
    before = driver.transport.written
    if state is HostConnectionState.IDLE:
        driver.send()
        assert driver.transport.written == before + REQUEST
    else:
        with pytest.raises((KeyError, AssertionError)):
            driver.send()
        assert driver.transport.written == before
    driver.transport.close()


@pytest.mark.parametrize("state", list(HostConnectionState), ids=lambda value: value.name)
@on_loop
async def test_descriptor_of_a_connection_is_released_once(
    state: HostConnectionState,
) -> None:
    """If a descriptor were counted as released twice, the process could exceed its descriptor
    limit, where accepting clients fails.
    """
    driver = ConnectionDriver()
    driver.drive_to(state)
    for _ in range(2):
        driver.connection.connection_lost(None)
    assert driver.harness.descriptors.used == 0
    assert driver.harness.host.idle == []
    driver.transport.close()


@pytest.mark.parametrize(
    ("state", "outcomes", "stream_ends"),
    [
        (HostConnectionState.ACTIVE, [Outcome.RESET], []),
        (HostConnectionState.STREAMING, [Outcome.SUCCESS], [False]),
    ],
)
@on_loop
async def test_lost_connection_ends_its_attempt_or_stream(
    state: HostConnectionState, outcomes: list[Outcome], stream_ends: list[bool]
) -> None:
    """Each attempt ends once, and the receiver of a streamed body learns that it is incomplete."""
    driver = ConnectionDriver()
    driver.drive_to(state)
    driver.connection.connection_lost(None)
    assert (driver.outcomes, driver.stream_ends) == (outcomes, stream_ends)
    driver.transport.close()


@on_loop
async def test_connection_is_reused_after_a_streamed_answer() -> None:
    driver = ConnectionDriver()
    driver.drive_to(HostConnectionState.STREAMING)
    driver.events[HostConnectionEvent.STREAM_ENDED]()
    assert (driver.outcomes, driver.stream_ends) == ([Outcome.SUCCESS], [True])
    assert driver.harness.host.idle == [driver.connection]
    assert driver.harness.upstream.streaming == set()
    states = [driver.connection.state]
    driver.send()
    states.append(driver.connection.state)
    assert states == [HostConnectionState.IDLE, HostConnectionState.ACTIVE]
    driver.transport.close()
