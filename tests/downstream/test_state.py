"""The two state machines of a client connection: their tables, and connections that follow them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import IntEnum
from typing import Any

import pytest

from quillroad.downstream import (
    connection,
    connection_migration,
    connection_output,
    request_parser,
)
from quillroad.downstream.state import (
    ANSWER_AFTER,
    NOT_BEGUN,
    PARTIAL,
    READ_AFTER,
    AnswerEvent,
    AnswerState,
    ReadEvent,
    ReadState,
    TransitionError,
)
from tests.net import (
    Client,
    World,
    answer,
    hang,
    on_loop,
    say,
    serve_ok,
    until,
    world,
)

# Written here once more, by hand: a table that is changed has to be changed in two places on
# purpose.
READS: dict[tuple[ReadState, ReadEvent], ReadState] = {
    (ReadState.BETWEEN, ReadEvent.BEGIN): ReadState.HEAD,
    (ReadState.HEAD, ReadEvent.HEAD_COMPLETE): ReadState.BODY,
    (ReadState.BODY, ReadEvent.COMPLETE): ReadState.BETWEEN,
    (ReadState.BETWEEN, ReadEvent.END): ReadState.ENDED,
    (ReadState.HEAD, ReadEvent.END): ReadState.ENDED,
    (ReadState.BODY, ReadEvent.END): ReadState.ENDED,
    (ReadState.ENDED, ReadEvent.END): ReadState.ENDED,
}
ANSWERS: dict[tuple[AnswerState, AnswerEvent], AnswerState] = {
    (AnswerState.IDLE, AnswerEvent.QUEUE): AnswerState.QUEUED,
    (AnswerState.IDLE, AnswerEvent.SERVE): AnswerState.SERVING,
    (AnswerState.IDLE, AnswerEvent.FINISH): AnswerState.IDLE,
    (AnswerState.IDLE, AnswerEvent.HOLD): AnswerState.MIGRATING,
    (AnswerState.QUEUED, AnswerEvent.DISPATCH): AnswerState.IDLE,
    (AnswerState.SERVING, AnswerEvent.STREAM): AnswerState.STREAMING,
    (AnswerState.SERVING, AnswerEvent.FINISH): AnswerState.IDLE,
    (AnswerState.STREAMING, AnswerEvent.FINISH): AnswerState.IDLE,
    (AnswerState.MIGRATING, AnswerEvent.RELEASE): AnswerState.IDLE,
    (AnswerState.IDLE, AnswerEvent.DISCONNECT): AnswerState.CLOSED,
    (AnswerState.QUEUED, AnswerEvent.DISCONNECT): AnswerState.CLOSED,
    (AnswerState.SERVING, AnswerEvent.DISCONNECT): AnswerState.CLOSED,
    (AnswerState.STREAMING, AnswerEvent.DISCONNECT): AnswerState.CLOSED,
    (AnswerState.MIGRATING, AnswerEvent.DISCONNECT): AnswerState.CLOSED,
    (AnswerState.CLOSED, AnswerEvent.FINISH): AnswerState.CLOSED,
    (AnswerState.CLOSED, AnswerEvent.RELEASE): AnswerState.CLOSED,
}


@pytest.mark.parametrize("state", ReadState)
@pytest.mark.parametrize("event", ReadEvent)
def test_each_read_state_and_event_is_an_allowed_transition_or_an_error(
    state: ReadState, event: ReadEvent
) -> None:
    expected = READS.get((state, event))
    if expected is not None:
        assert READ_AFTER[state][event] is expected
    else:
        with pytest.raises(TransitionError, match=f"^{event.name} in state {state.name}$") as error:
            READ_AFTER[state][event]
        assert (error.value.state, error.value.event) == (state, event)


@pytest.mark.parametrize("state", AnswerState)
@pytest.mark.parametrize("event", AnswerEvent)
def test_each_answer_state_and_event_is_an_allowed_transition_or_an_error(
    state: AnswerState, event: AnswerEvent
) -> None:
    expected = ANSWERS.get((state, event))
    if expected is not None:
        assert ANSWER_AFTER[state][event] is expected
    else:
        with pytest.raises(TransitionError, match=f"^{event.name} in state {state.name}$") as error:
            ANSWER_AFTER[state][event]
        assert (error.value.state, error.value.event) == (state, event)


def test_each_row_of_the_tables_belongs_to_the_state_that_it_is_looked_up_by() -> None:
    assert [row.state for row in READ_AFTER] == list(ReadState)
    assert [row.state for row in ANSWER_AFTER] == list(AnswerState)


def test_every_state_is_reached_from_the_first_one_and_the_last_ones_are_never_left() -> None:
    reads, answers = {ReadState.BETWEEN}, {AnswerState.IDLE}
    for _ in range(len(ReadState) + len(AnswerState)):
        reads |= {to for (state, _), to in READS.items() if state in reads}
        answers |= {to for (state, _), to in ANSWERS.items() if state in answers}
    assert reads == set(ReadState)
    assert answers == set(AnswerState)
    ended = {to for (state, _), to in READS.items() if state is ReadState.ENDED}
    closed = {to for (state, _), to in ANSWERS.items() if state is AnswerState.CLOSED}
    assert (ended, closed) == ({ReadState.ENDED}, {AnswerState.CLOSED})


def test_the_groups_of_states_hold_what_their_names_say() -> None:
    assert {ReadState.HEAD, ReadState.BODY} == PARTIAL
    assert {AnswerState.IDLE, AnswerState.QUEUED} == NOT_BEGUN


class Recorded(dict[Any, Any]):
    """One row of a table that notes, by name, each transition looked up and each that is not
    allowed.
    """

    def __init__(self, row: Any, seen: set[str], refused: list[TransitionError]) -> None:
        super().__init__(row)
        self.state, self.seen, self.refused = row.state, seen, refused

    def __getitem__(self, event: Any) -> Any:
        self.seen.add(name(self.state, event))
        return super().__getitem__(event)

    def __missing__(self, event: Any) -> Any:
        error = TransitionError(self.state, event)
        self.refused.append(error)
        raise error


def name(state: IntEnum, event: IntEnum) -> str:
    """Members of two enums with the same number are equal: as text they differ."""
    return f"{type(state).__name__}.{state.name} {event.name}"


ALLOWED = {name(*step) for step in READS} | {name(*step) for step in ANSWERS}


async def one_after_another(w: World, client: Client) -> None:
    """Ordinary requests, errors, the health check, and three sent ahead at once."""
    for path, method in (("/status-check/k", ""), ("/audit/k", "POST"), ("/up", "GET")):
        assert (await client.ask(path, method=method)).status == 200
    assert (await client.ask("/nowhere", method="GET")).status == 404
    for _ in range(3):
        client.send()
    assert [(await client.receive()).status for _ in range(3)] == [200] * 3


async def error_behind_an_answer(w: World, client: Client) -> None:
    """What cannot be read ends the input while the answer before it is still owed."""
    w.hosts[0].behave = hang
    client.send()
    client.writer.write(b"rubbish\r\n\r\n")
    await w.hosts[0].came.get()
    w.hosts[0].writers[-1].write(answer(b"first"))
    assert [(await client.receive()).status for _ in range(2)] == [200, 400]


async def departed_while_served(w: World, client: Client) -> None:
    """The client leaves with its request at a host, and with half of a request written."""
    w.hosts[0].behave = hang
    client.send()
    await w.hosts[0].came.get()
    client.writer.write(b"GET /status-check/k HTTP/1.1\r\nX:")
    client.writer.close()
    await until(lambda: not len(w.gateway.server.connection_limit))


async def departed_while_queued(w: World, client: Client) -> None:
    """The client leaves while its request waits for the gateway's core."""
    scheduler = w.gateway.server.scheduler
    scheduler.scheduled = True  # as if a run were about to come, which does not
    client.send()
    await until(lambda: w.gateway.server.admission.waiting == 1)
    client.writer.close()
    await until(lambda: not w.gateway.server.admission.waiting)
    scheduler.scheduled = False


async def long_answers(w: World, client: Client) -> None:
    """A long answer that comes whole, and one whose client leaves half way."""
    body = b"x" * 300_000
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    w.hosts[0].behave = say(head + body)
    client.send()
    await client.reader.readuntil(b"\r\n\r\n")
    assert await client.reader.readexactly(len(body)) == body
    w.hosts[0].behave = say(head + body[:-1])
    client.send()
    await client.reader.readuntil(b"\r\n\r\n")
    await client.reader.readexactly(200_000)
    client.writer.close()
    await until(lambda: not w.gateway.server.streams)


async def migrated(w: World, client: Client) -> None:
    """Held for another process, kept after all, held again, and gone over."""
    assert (await client.ask()).status == 200
    (held,) = w.gateway.server.connection_limit.connections()
    await until(held.idle)
    assert held.begin_migration() is not None
    assert held.begin_migration() is None
    held.cancel_migration()
    assert (await client.ask()).status == 200
    await until(held.idle)
    assert held.begin_migration() is not None
    held.complete_migration()
    await until(lambda: w.gateway.server._descriptors.used == w.gateway.upstream.idle_connections)


SCENES = (
    one_after_another,
    error_behind_an_answer,
    departed_while_served,
    departed_while_queued,
    long_answers,
    migrated,
)


def record(monkeypatch: pytest.MonkeyPatch) -> tuple[set[str], list[TransitionError]]:
    """Note the transitions of all connections from now on."""
    seen, refused = set[str](), list[TransitionError]()
    answers = tuple(Recorded(row, seen, refused) for row in ANSWER_AFTER)
    reads = tuple(Recorded(row, seen, refused) for row in READ_AFTER)
    for module in (connection, connection_migration, connection_output):
        monkeypatch.setattr(module, "ANSWER_AFTER", answers)
    monkeypatch.setattr(request_parser, "READ_AFTER", reads)
    return seen, refused


@pytest.mark.plain
@pytest.mark.parametrize("scene", SCENES)
def test_real_connections_take_only_allowed_transitions(
    scene: Callable[[World, Client], Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A transition that the table does not allow raises in a callback of the event loop, where it
    would cost one connection and be seen by nobody: here it fails the test.
    """
    seen, refused = record(monkeypatch)

    @on_loop
    async def play() -> None:
        faults: list[dict[str, Any]] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: faults.append(context))
        async with world(serve_ok, admin_addr="127.0.0.1:0") as w, w.client() as client:
            await scene(w, client)
        assert faults == []

    play()
    assert refused == []
    assert seen
    assert seen <= ALLOWED


@pytest.mark.plain
def test_the_scenes_together_take_nearly_every_allowed_transition(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A scene that no longer gets where it should would let the test above pass for nothing."""
    seen, _ = record(monkeypatch)

    @on_loop
    async def play() -> None:
        for scene in SCENES:
            async with world(serve_ok, admin_addr="127.0.0.1:0") as w, w.client() as client:
                await scene(w, client)

    play()
    # These need a fault of the gateway, or two processes and a client that leaves between two
    # calls.
    rare = {
        "AnswerState.IDLE FINISH",
        "AnswerState.MIGRATING DISCONNECT",
        "AnswerState.CLOSED FINISH",
        "AnswerState.CLOSED RELEASE",
        "ReadState.BODY END",
    }
    assert ALLOWED - seen <= rare


@pytest.mark.plain
@on_loop
async def test_a_request_that_cannot_begin_is_answered_and_its_connection_serves_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A fault at the beginning of a request used to be answered from a state that nobody had
    thought of.
    """
    seen, refused = record(monkeypatch)
    async with world(serve_ok) as w, w.client() as client:
        with monkeypatch.context() as patch:
            patch.setattr(
                connection.ClientConnection, "_serve", lambda *_, **__: 1 / 0, raising=True
            )
            client.send()
            assert (await client.receive()).status == 500
        assert "AnswerState.IDLE FINISH" in seen
        assert refused == []
        assert (await client.ask()).status == 200


@pytest.mark.plain
@on_loop
async def test_a_fault_in_a_callback_of_the_parser_is_logged_and_not_only_blamed_on_the_client(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The parser wraps what a callback raises: a fault of the gateway looks like bytes that are no
    HTTP, and without a log row nobody would find it."""
    async with world(serve_ok) as w, w.client() as client:
        monkeypatch.setattr(w.gateway.server.validator, "check", lambda *_: 1 / 0)
        assert (await client.ask()).status == 400
        assert "a fault in parsing" in caplog.text
        assert "ZeroDivisionError" in caplog.text
