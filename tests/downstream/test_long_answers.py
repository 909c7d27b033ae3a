"""Streamed responses, with hosts and clients that are slow or disconnect."""

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
from quillroad.upstream.pool import REUSE_DELAY_S
from tests.downstream.long_bodies import (
    BODY,
    LONG_BODY_SETTINGS,
    SIZE,
    all_released,
    host,
    until_close,
    with_chunks,
    with_length,
)
from tests.net import BOUND_S, Client, Message, on_loop, reset, serve_ok, until, world

MAX_IN_MEMORY_BYTES = 1024 * 1024  # of one response: two socket reads, and a margin


async def read_whole(reader: asyncio.StreamReader) -> bytes:
    """Return the body of one response in any framing; raise IncompleteReadError if truncated."""
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


def sends_then_resets(pieces: list[bytes]) -> Any:
    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        reset(writer)

    return behave


@pytest.mark.parametrize(
    ("pieces", "end"),
    [(with_length(BODY), False), (with_chunks(BODY), False), (until_close(BODY), True)],
)
@on_loop
async def test_a_long_response_is_passed_on_whole_with_bounded_memory(
    pieces: list[bytes], end: bool
) -> None:
    """The client reads nothing at first: unless the host is paused, the response would accumulate
    in memory.
    """
    async with world(host(pieces, end), **LONG_BODY_SETTINGS) as w, w.client() as client:
        client.send()
        await until(lambda: w.gateway.server.streams == 1)
        (connection,) = w.gateway.server.connection_limit.connections()
        transport = connection._transport
        assert transport is not None
        rest = connection._stream
        assert isinstance(rest, StreamedBody)
        await until(lambda: rest.paused)  # the client reads nothing, so the host is paused
        assert 0 < transport.get_write_buffer_size() < MAX_IN_MEMORY_BYTES
        assert await read_whole(client.reader) == BODY
        await until(lambda: all_released(w))
        w.hosts[0].behave = serve_ok
        got = await client.ask()  # the connection can be used again
        assert (got.status, got.body) == (200, b"ok")


@on_loop
async def test_a_host_connection_paused_by_its_last_bytes_is_read_again() -> None:
    """The last bytes of a response may pause reading from the host connection: unless resumed, the
    response to its next request would not be read.
    """
    last = asyncio.Event()

    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(with_length(BODY)[0] + BODY[:-1])
        await last.wait()
        writer.write(BODY[-1:])

    async with world(behave, **LONG_BODY_SETTINGS) as w, w.client() as client:
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
        await until(lambda: all_released(w))
        w.hosts[0].behave = serve_ok
        at_rest = monotonic()
        await until(lambda: monotonic() > at_rest + REUSE_DELAY_S)
        async with asyncio.timeout(OUTPUT_STALL_S):
            assert (await client.ask()).status == 200
        assert len(w.hosts[0].writers) == 1  # on the same connection


@pytest.mark.parametrize(
    "behave",
    [
        host([with_length(BODY)[0], BODY[:-1]], True),
        host(with_chunks(BODY)[:-1], True),
        sends_then_resets(with_chunks(BODY)[:40]),
        sends_then_resets(until_close(BODY)),
    ],
)
@on_loop
async def test_the_client_can_tell_that_a_host_ended_a_response_early(behave: Any) -> None:
    """The host closes or resets half way: the client must not take the part for the whole."""
    async with world(behave, **LONG_BODY_SETTINGS) as w, w.client() as client:
        client.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_whole(client.reader)
        await until(lambda: all_released(w))
        assert len(w.hosts[0].seen) == 1  # no retry once a response has begun


@on_loop
async def test_the_client_can_tell_that_process_exit_truncated_a_response() -> None:
    """For an HTTP/1.0 client the end of the connection ends the body, and the kernel closes in an
    orderly way at exit.
    """
    pieces = [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", BODY[:200_000]]
    async with world(host(pieces), **LONG_BODY_SETTINGS) as w, w.client() as client:
        head = b"GET /status-check/k HTTP/1.0\r\nRequest-Id: a1\r\nRequest-Timeout-Ms: 900\r\n\r\n"
        client.writer.write(head)
        assert b"200" in await client.reader.readuntil(b"\r\n\r\n")
        await client.reader.readexactly(200_000)
        w.gateway.server.reset_streams()
        with pytest.raises(ConnectionError):
            await client.reader.read()
        await until(lambda: all_released(w))


@on_loop
async def test_a_client_that_disconnects_mid_response_closes_only_its_connections() -> None:
    """Its host connection is closed; all other connections keep serving."""
    async with world(host(with_length(BODY)), **LONG_BODY_SETTINGS) as w, w.client() as other:
        async with w.client() as client:
            client.send()
            await until(lambda: w.gateway.server.streams == 1)
            await client.reader.readexactly(100_000)
        await until(lambda: all_released(w))
        await w.hosts[0].closed.get()
        w.hosts[0].behave = serve_ok
        assert (await other.ask()).status == 200


@on_loop
async def test_a_host_that_stalls_mid_response_ends_the_response() -> None:
    """The host stops sending and does not close: the client must not wait for ever."""
    async with (
        world(host([with_length(BODY)[0], BODY[:200_000]]), **LONG_BODY_SETTINGS) as w,
        w.client() as client,
    ):
        client.send()
        await until(lambda: w.gateway.server.streams == 1)
        (connection,) = w.gateway.upstream.streaming
        assert connection._stream_body is not None
        connection._stream_body.last_progress_at -= 60
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_whole(client.reader)
        await until(lambda: all_released(w))


@on_loop
async def test_sixty_slow_readers_get_whole_responses_with_bounded_memory() -> None:
    """Sixty responses of 6 MB at once, read slowly: none is buffered whole, none is truncated."""
    async with world(host(with_length(BODY)), **LONG_BODY_SETTINGS) as w:
        clients = [await w.client().__aenter__() for _ in range(60)]
        for client in clients:
            client.send()
            await w.hosts[0].came.get()
            await until(lambda: not w.gateway.engine.unanswered)
        peak_bytes = 0

        def sample() -> bool:
            nonlocal peak_bytes
            held = [
                c._transport.get_write_buffer_size()
                for c in w.gateway.server.connection_limit.connections()
                if c._transport is not None
            ]
            peak_bytes = max(peak_bytes, sum(held))
            return done.done()

        async def read(client: Client) -> bool:
            return await read_whole(client.reader) == BODY

        done = asyncio.gather(*(read(client) for client in clients))
        await until(sample)
        assert all(await done)
        assert peak_bytes < 60 * MAX_IN_MEMORY_BYTES
        for client in clients:
            client.writer.close()
        await until(lambda: all_released(w))


@settings(max_examples=20, deadline=None)
@given(st.lists(st.integers(1, 200_000), max_size=12), st.sampled_from([with_length, with_chunks]))
def test_any_split_of_a_long_response_gives_the_same_body(cuts: list[int], frame: Any) -> None:
    """The response is split at any byte: in a header, in a chunk size, between CR and LF."""
    body = BODY[:190_000]
    data = b"".join(frame(body))
    offsets = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    pieces = [data[a:b] for a, b in itertools.pairwise(offsets)]

    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0)

    @on_loop
    async def run_case() -> None:
        async with world(behave, **LONG_BODY_SETTINGS) as w, w.client() as client:
            client.send()
            assert await read_whole(client.reader) == body

    run_case()


@on_loop
async def test_only_clients_that_read_nothing_are_disconnected() -> None:
    """Both have unread bytes for longer than the limit; only a client that reads none of them is
    disconnected.
    """
    async with world(host(with_length(BODY)), **LONG_BODY_SETTINGS) as w, w.client() as client:
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send()
        await until(
            lambda: any(c.output_pending for c in w.gateway.server.connection_limit.connections())
        )
        (connection,) = w.gateway.server.connection_limit.connections()
        connection.enforce_time_limits(monotonic())  # records how many bytes are unread
        connection.last_change -= OUTPUT_STALL_S + 1
        connection._unread_bytes += 1  # as if the client had read since
        connection.enforce_time_limits(monotonic())
        assert len(w.gateway.server.connection_limit) == 1
        connection.last_change -= OUTPUT_STALL_S + 1
        connection.enforce_time_limits(monotonic())
        assert len(w.gateway.server.connection_limit) == 0


def test_unacknowledged_bytes_are_counted() -> None:
    """The kernel buffers megabytes for a slow reader: only this count shows that it reads."""
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
        while unacknowledged(here):  # until the last acknowledgement arrives
            time.sleep(0.001)


@on_loop
async def test_a_response_of_unknown_length_is_passed_on_without_delay() -> None:
    """The host pauses after its first bytes: the client must get these without waiting."""
    go_on = asyncio.Event()

    async def slowly(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
        await go_on.wait()
        writer.write(b"4\r\nrest\r\n0\r\n\r\n")

    async with world(slowly, **LONG_BODY_SETTINGS) as w, w.client() as client:
        client.send()
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert await client.reader.readexactly(10) == b"5\r\nfirst\r\n"
        go_on.set()
        assert await client.reader.readexactly(14) == b"4\r\nrest\r\n0\r\n\r\n"
        await until(lambda: all_released(w))
