"""Long answers of hosts, passed on as they come, with peers that take their time or break off."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import time
from time import monotonic
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillroad.downstream.time_limits import OUTPUT_STALL_S
from quillroad.http_answer import StreamedBody
from quillroad.overload.socket_age import unacknowledged
from quillroad.upstream.pool import SETTLE_S
from tests.downstream.long_bodies import (
    BODY,
    OPS,
    SIZE,
    at_base,
    by_chunks,
    by_close,
    by_length,
    host,
)
from tests.net import BOUND_S, Client, Message, on_loop, reset, serve_ok, until, world

MOST_IN_MEMORY = 1024 * 1024  # bytes of one answer: two reads of a socket, and room


async def read_whole(reader: asyncio.StreamReader) -> bytes:
    """The body of one answer, however it is framed; raises IncompleteReadError for one that is not
    whole.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    assert head.startswith(b"http/1.1 200 "), head
    if b"transfer-encoding: chunked" in head:
        body = bytearray()
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            assert await reader.readexactly(2) == b"\r\n"
        assert await reader.readexactly(2) == b"\r\n"
        return bytes(body)
    length = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
    return await reader.readexactly(length)


def breaks(pieces: list[bytes]) -> Any:
    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        reset(writer)

    return behave


@pytest.mark.parametrize(
    ("pieces", "end"), [(by_length(BODY), False), (by_chunks(BODY), False), (by_close(BODY), True)]
)
@on_loop
async def test_a_long_answer_passes_whole_and_little_of_it_is_in_memory(
    pieces: list[bytes], end: bool
) -> None:
    """The client reads nothing at first: the host has to wait, or the answer would pile up in
    memory.
    """
    async with world(host(pieces, end), **OPS) as w, w.client() as client:
        client.send()
        await until(lambda: w.gateway.server.streams == 1)
        (connection,) = w.gateway.server.connection_limit.connections()
        transport = connection._transport
        assert transport is not None
        rest = connection._stream
        assert isinstance(rest, StreamedBody)
        await until(lambda: rest.paused)  # its client reads nothing: the host has to wait
        assert 0 < transport.get_write_buffer_size() < MOST_IN_MEMORY
        assert await read_whole(client.reader) == BODY
        await until(lambda: at_base(w))
        w.hosts[0].behave = serve_ok
        got = await client.ask()  # the connection is good for the next one
        assert (got.status, got.body) == (200, b"ok")


@on_loop
async def test_a_host_connection_paused_by_its_last_bytes_is_read_again() -> None:
    """The last bytes of an answer pause the host's connection: left paused it would never be used
    again.
    """
    last = asyncio.Event()

    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(by_length(BODY)[0] + BODY[:-1])
        await last.wait()
        writer.write(BODY[-1:])

    async with world(behave, **OPS) as w, w.client() as client:
        client.send()
        await client.reader.readuntil(b"\r\n\r\n")
        assert await client.reader.readexactly(SIZE - 1) == BODY[:-1]
        (connection,) = w.gateway.server.connection_limit.connections()
        rest = connection._stream
        assert isinstance(rest, StreamedBody) and rest.on_data is not None
        take = rest.on_data

        def full(data: bytes) -> None:
            rest.pause_reading()
            take(data)

        rest.on_data = full
        last.set()
        assert await client.reader.readexactly(1) == BODY[-1:]
        await until(lambda: at_base(w))
        w.hosts[0].behave = serve_ok
        at_rest = monotonic()
        await until(lambda: monotonic() > at_rest + SETTLE_S)
        async with asyncio.timeout(OUTPUT_STALL_S):
            assert (await client.ask()).status == 200
        assert len(w.hosts[0].writers) == 1  # by the same connection


@pytest.mark.parametrize(
    "behave",
    [
        host([by_length(BODY)[0], BODY[:-1]], True),
        host(by_chunks(BODY)[:-1], True),
        breaks(by_chunks(BODY)[:40]),
        breaks(by_close(BODY)),
    ],
)
@on_loop
async def test_a_host_that_breaks_off_is_noticed_by_the_client(behave: Any) -> None:
    """The host ends or resets half way: the client must not take what came for the whole answer."""
    async with world(behave, **OPS) as w, w.client() as client:
        client.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_whole(client.reader)
        await until(lambda: at_base(w))
        assert len(w.hosts[0].seen) == 1  # an answer begun is not asked for again


@on_loop
async def test_a_long_answer_cut_off_by_the_end_of_the_process_is_noticed() -> None:
    """Its end is the connection's for a client of HTTP/1.0, and the system closes in good order at
    exit.
    """
    pieces = [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", BODY[:200_000]]
    async with world(host(pieces), **OPS) as w, w.client() as client:
        head = b"GET /status-check/k HTTP/1.0\r\nRequest-Id: a1\r\nRequest-Timeout-Ms: 900\r\n\r\n"
        client.writer.write(head)
        assert b"200" in await client.reader.readuntil(b"\r\n\r\n")
        await client.reader.readexactly(200_000)
        w.gateway.server.break_off()
        with pytest.raises(ConnectionError):
            await client.reader.read()
        await until(lambda: at_base(w))


@on_loop
async def test_a_client_that_leaves_half_way_costs_its_own_connections_only() -> None:
    """A client closes in the middle of its answer: its connection to the host ends, all others
    serve on.
    """
    async with world(host(by_length(BODY)), **OPS) as w, w.client() as other:
        async with w.client() as client:
            client.send()
            await until(lambda: w.gateway.server.streams == 1)
            await client.reader.readexactly(100_000)
        await until(lambda: at_base(w))
        await w.hosts[0].closed.get()
        w.hosts[0].behave = serve_ok
        assert (await other.ask()).status == 200


@on_loop
async def test_a_host_that_stalls_half_way_ends_the_answer() -> None:
    """The host sends nothing more and does not close: the client is not left waiting for good."""
    async with world(host([by_length(BODY)[0], BODY[:200_000]]), **OPS) as w, w.client() as client:
        client.send()
        await until(lambda: w.gateway.server.streams == 1)
        (connection,) = w.gateway.upstream.streaming
        assert connection._stream_body is not None
        connection._stream_body.last_progress_at -= 60
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_whole(client.reader)
        await until(lambda: at_base(w))


@on_loop
async def test_sixty_slow_readers_take_little_memory_and_all_get_the_whole() -> None:
    """Sixty answers of 6 MB at once, read slowly: none is held in memory, none is cut short."""
    async with world(host(by_length(BODY)), **OPS) as w:
        clients = [await w.client().__aenter__() for _ in range(60)]
        for client in clients:
            client.send()
            await w.hosts[0].came.get()
            await until(lambda: not w.gateway.engine.unanswered)
        most = 0

        def look() -> bool:
            nonlocal most
            held = [
                c._transport.get_write_buffer_size()
                for c in w.gateway.server.connection_limit.connections()
                if c._transport is not None
            ]
            most = max(most, sum(held))
            return done.done()

        async def read(client: Client) -> bool:
            return await read_whole(client.reader) == BODY

        done = asyncio.gather(*(read(client) for client in clients))
        await until(look)
        assert all(await done)
        assert most < 60 * MOST_IN_MEMORY
        for client in clients:
            client.writer.close()
        await until(lambda: at_base(w))


@settings(max_examples=20, deadline=None)
@given(st.lists(st.integers(1, 200_000), max_size=12), st.sampled_from([by_length, by_chunks]))
def test_any_split_of_a_long_answer_is_the_same_answer(cuts: list[int], frame: Any) -> None:
    """The answer comes in pieces cut at any byte: at a header, in a chunk size, between CR and
    LF.
    """
    body = BODY[:190_000]
    data = b"".join(frame(body))
    places = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    pieces = [data[a:b] for a, b in itertools.pairwise(places)]

    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0)

    @on_loop
    async def play() -> None:
        async with world(behave, **OPS) as w, w.client() as client:
            client.send()
            assert await read_whole(client.reader) == body

    play()


@on_loop
async def test_a_slow_reader_is_told_from_one_that_does_not_read() -> None:
    """Both have bytes unread for longer than the limit; only the one that takes none of them is
    ended.
    """
    async with world(host(by_length(BODY)), **OPS) as w, w.client() as client:
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send()
        await until(
            lambda: any(c.output_pending for c in w.gateway.server.connection_limit.connections())
        )
        (connection,) = w.gateway.server.connection_limit.connections()
        connection.enforce_time_limits(monotonic())  # how much is left is looked at
        connection.last_change -= OUTPUT_STALL_S + 1
        connection._unread_bytes += 1  # it has taken something since
        connection.enforce_time_limits(monotonic())
        assert len(w.gateway.server.connection_limit) == 1
        connection.last_change -= OUTPUT_STALL_S + 1
        connection.enforce_time_limits(monotonic())
        assert len(w.gateway.server.connection_limit) == 0


def test_unacknowledged_bytes_are_counted() -> None:
    """The kernel holds megabytes for a slow reader: of those only this count shows that it
    reads.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    here, (there, _) = socket.create_connection(listener.getsockname()), listener.accept()
    with listener, here, there:
        assert unacknowledged(here) == 0
        here.setblocking(False)
        sent = 0
        with contextlib.suppress(BlockingIOError):
            while True:
                sent += here.send(BODY)
        assert unacknowledged(here) > 0
        there.settimeout(BOUND_S)
        while sent:
            sent -= len(there.recv(1 << 20))
        while unacknowledged(here):  # until the last acknowledgement is back
            time.sleep(0.001)


@on_loop
async def test_an_answer_of_unknown_length_is_passed_on_as_it_comes() -> None:
    """The host pauses after its first bytes: the client gets them, not only once there are many."""
    go_on = asyncio.Event()

    async def slowly(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
        await go_on.wait()
        writer.write(b"4\r\nrest\r\n0\r\n\r\n")

    async with world(slowly, **OPS) as w, w.client() as client:
        client.send()
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert await client.reader.readexactly(10) == b"5\r\nfirst\r\n"
        go_on.set()
        assert await client.reader.readexactly(14) == b"4\r\nrest\r\n0\r\n\r\n"
        await until(lambda: at_base(w))
