"""Long bodies both ways over loopback, with peers that take their time or break off."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import socket
import subprocess
import sys
import time
from time import monotonic
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillroad.config import SHORT_BODY
from quillroad.downstream.state import PARTIAL
from quillroad.downstream.time_limits import UNREAD_S
from quillroad.overload.socket_age import unacknowledged
from quillroad.upstream.pool import SETTLE_S, Rest
from tests.net import BOUND_S, Client, Message, World, hang, on_loop, reset, serve_ok, until, world

OPS = {"admin_addr": "127.0.0.1:0"}  # what allows long bodies
SIZE = 6 * 1024 * 1024
BODY = b"".join(hashlib.blake2b(b"%d" % i).digest() for i in range(SIZE // 64))
MOST_HELD = 1024 * 1024  # bytes of one answer in this process: two reads of a socket, and room


def by_length(body: bytes) -> list[bytes]:
    return [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body]


def by_chunks(body: bytes) -> list[bytes]:
    parts = [body[i : i + 50_000] for i in range(0, len(body), 50_000)]
    told = [b"%x;note=x\r\n%b\r\n" % (len(part), part) for part in parts]
    hints = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n"
    return [hints, head, *told, b"0\r\nSum: 1\r\n\r\n"]


def by_close(body: bytes) -> list[bytes]:
    return [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body]


def host(pieces: list[bytes], end: bool = False) -> Any:
    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        if end:
            writer.close()

    return behave


async def read_whole(reader: asyncio.StreamReader) -> bytes:
    """The body of one answer, however it is framed; raises IncompleteReadError for one that is not whole."""
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


def at_base(w: World) -> bool:
    gateway = w.gateway
    held = len(gateway.server.connection_limit) + gateway.upstream.resting
    return (
        not gateway.upstream.rests
        and not gateway.server.streams
        and gateway.descriptors.used == held
    )


@pytest.mark.parametrize(
    ("pieces", "end"), [(by_length(BODY), False), (by_chunks(BODY), False), (by_close(BODY), True)]
)
@on_loop
async def test_a_long_answer_goes_through_whole_and_little_of_it_is_held(
    pieces: list[bytes], end: bool
) -> None:
    async with world(host(pieces, end), **OPS) as w, w.client() as client:
        client.send()
        await until(lambda: w.gateway.server.streams == 1)
        (connection,) = w.gateway.server.connection_limit.connections()
        transport = connection._transport
        assert transport is not None
        rest = connection._stream
        assert isinstance(rest, Rest)
        await until(lambda: rest.paused)  # its client reads nothing: the host has to wait
        assert 0 < transport.get_write_buffer_size() < MOST_HELD
        assert await read_whole(client.reader) == BODY
        await until(lambda: at_base(w))
        w.hosts[0].behave = serve_ok
        got = await client.ask()  # the connection is good for the next one
        assert (got.status, got.body) == (200, b"ok")


@on_loop
async def test_a_host_whose_last_bytes_filled_the_clients_side_is_read_again() -> None:
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
        assert isinstance(rest, Rest) and rest.on_data is not None
        take = rest.on_data

        def full(data: bytes) -> None:
            rest.pause()
            take(data)

        rest.on_data = full
        last.set()
        assert await client.reader.readexactly(1) == BODY[-1:]
        await until(lambda: at_base(w))
        w.hosts[0].behave = serve_ok
        at_rest = monotonic()
        await until(lambda: monotonic() > at_rest + SETTLE_S)
        async with asyncio.timeout(UNREAD_S):
            assert (await client.ask()).status == 200
        assert len(w.hosts[0].writers) == 1  # by the same connection


def breaks(pieces: list[bytes]) -> Any:
    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        reset(writer)

    return behave


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
async def test_a_host_that_breaks_off_is_seen_by_the_client(behave: Any) -> None:
    async with world(behave, **OPS) as w, w.client() as client:
        client.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_whole(client.reader)
        await until(lambda: at_base(w))
        assert len(w.hosts[0].seen) == 1  # an answer begun is not asked for again


@on_loop
async def test_a_long_answer_that_the_process_outlives_not_is_seen_not_to_be_whole() -> None:
    """Its end is the connection's for a client of HTTP/1.0, and the system closes in good order at exit."""
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
async def test_a_host_that_stops_half_way_ends_in_a_break() -> None:
    async with world(host([by_length(BODY)[0], BODY[:200_000]]), **OPS) as w, w.client() as client:
        client.send()
        await until(lambda: w.gateway.server.streams == 1)
        (connection,) = w.gateway.upstream.rests
        assert connection._rest is not None
        connection._rest.moved -= 60
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_whole(client.reader)
        await until(lambda: at_base(w))


@on_loop
async def test_sixty_slow_readers_hold_little_and_all_get_the_whole() -> None:
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
        assert most < 60 * MOST_HELD
        for client in clients:
            client.writer.close()
        await until(lambda: at_base(w))


@on_loop
async def test_a_long_body_reaches_its_host_whole_in_pieces_of_any_size() -> None:
    async with world(serve_ok, **OPS) as w, w.client() as client:
        assert (await client.ask("/seat-checkout/k", BODY)).status == 200
        assert w.hosts[0].seen[0].body == BODY
        head = (
            b"POST /audit/k HTTP/1.1\r\nHost: s\r\nRequest-Id: 77\r\nTenant: acme\r\n"
            b"Request-Timeout-Ms: 9000\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        client.writer.write(head)
        for i in range(0, 300_000, 3000):
            client.writer.write(b"%x\r\n%b\r\n" % (3000, BODY[i : i + 3000]))
            await asyncio.sleep(0)
        client.writer.write(b"0\r\nSum: 1\r\n\r\n")
        assert (await client.receive()).status == 200
        assert w.hosts[0].seen[1].body == BODY[:300_000]
        assert all(
            len(c._parser._body) == 0 for c in w.gateway.server.connection_limit.connections()
        )


@on_loop
async def test_a_client_that_asks_whether_to_send_is_told_so() -> None:
    async with world(serve_ok, **OPS) as w, w.client() as client:
        client.writer.write(
            b"POST /audit/k HTTP/1.1\r\nHost: s\r\nRequest-Id: 78\r\nRequest-Timeout-Ms: 9000\r\n"
            b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
        )
        assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        client.writer.write(b"abc")
        assert (await client.receive()).status == 200
        assert w.hosts[0].seen[0].body == b"abc"


@on_loop
async def test_without_operators_a_body_has_its_old_limit() -> None:
    async with world(host(by_length(b"x" * (SHORT_BODY + 1)))) as w:
        async with w.client() as client:
            assert (await client.ask("/audit/k", b"x" * (SHORT_BODY + 1))).status == 413
        async with w.client() as client:
            assert (await client.ask("/audit/k", b"x")).status == 502


@settings(max_examples=20, deadline=None)
@given(st.lists(st.integers(1, 200_000), max_size=12), st.sampled_from([by_length, by_chunks]))
def test_any_split_of_a_long_answer_is_the_same_answer(cuts: list[int], frame: Any) -> None:
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


def head(number: int, size: int) -> bytes:
    return (
        b"POST /audit/k HTTP/1.1\r\nHost: s\r\nRequest-Id: %d\r\nTenant: acme\r\n"
        b"Request-Timeout-Ms: 9000\r\nContent-Length: %d\r\n\r\n" % (number, size)
    )


@on_loop
async def test_bodies_beyond_what_may_be_held_are_refused_at_once_and_nothing_stays_held() -> None:
    async with world(serve_ok, **OPS) as w:
        buffers = w.gateway.server.buffers
        buffers.limit = SIZE + SIZE // 4
        async with w.client() as first, w.client() as second:
            first.writer.write(head(79, SIZE) + BODY[: SIZE // 2])
            await until(lambda: buffers.used == SIZE // 2)
            second.writer.write(head(80, SIZE) + BODY)
            got = await second.receive()
            assert (got.status, got.headers["connection"]) == (503, "close")
            assert "retry-after" in got.headers
            await until(lambda: buffers.used == SIZE // 2)
            first.writer.write(BODY[SIZE // 2 :])
            assert (await first.receive()).status == 200
        assert 0 < buffers.peak <= buffers.limit
        await until(lambda: buffers.used == 0)
        assert [len(message.body) for message in w.hosts[0].seen] == [SIZE]


@on_loop
async def test_a_long_body_sent_ahead_counts_until_its_own_answer() -> None:
    async with world(hang, **OPS) as w, w.client() as client:
        buffers, sizes = w.gateway.server.buffers, (200_000, 300_000)
        for number, size in enumerate(sizes):
            client.writer.write(head(90 + number, size) + BODY[:size])
        await w.hosts[0].came.get()
        await until(lambda: buffers.used == sum(sizes))
        w.hosts[0].writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert (await client.receive()).status == 200
        await w.hosts[0].came.get()
        assert buffers.used == sizes[1]
        client.writer.close()
        await until(lambda: buffers.used == 0)


@on_loop
async def test_a_slow_reader_is_told_from_one_that_does_not_read() -> None:
    async with world(host(by_length(BODY)), **OPS) as w, w.client() as client:
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send()
        await until(
            lambda: any(c.output_pending for c in w.gateway.server.connection_limit.connections())
        )
        (connection,) = w.gateway.server.connection_limit.connections()
        connection.enforce_time_limits(monotonic())  # how much is left is looked at
        connection.last_change -= UNREAD_S + 1
        connection._unread_bytes += 1  # it has taken something since
        connection.enforce_time_limits(monotonic())
        assert len(w.gateway.server.connection_limit) == 1
        connection.last_change -= UNREAD_S + 1
        connection.enforce_time_limits(monotonic())
        assert len(w.gateway.server.connection_limit) == 0


def test_what_the_other_machine_has_not_taken_is_counted() -> None:
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
async def test_a_head_may_take_as_long_as_clients_are_given_and_a_body_by_its_size() -> None:
    async with world(serve_ok, **OPS) as w, w.client() as client:
        client.writer.write(head(95, 100_000)[:40])
        await until(
            lambda: any(
                c._parser.state in PARTIAL for c in w.gateway.server.connection_limit.connections()
            )
        )
        (connection,) = w.gateway.server.connection_limit.connections()
        connection.last_change -= 2.1
        connection.enforce_time_limits(monotonic())
        client.writer.write(head(95, 100_000)[40:] + BODY[:99_000])
        await until(lambda: connection._parser.size == 99_000)
        connection.last_change -= 2.0  # 4.1 s in all: longer than a head has
        connection.enforce_time_limits(monotonic())
        client.writer.write(BODY[99_000:100_000])
        assert (await client.receive()).status == 200
        client.writer.write(head(96, 100_000)[:40])
        await until(lambda: connection._parser.state in PARTIAL)
        connection.last_change -= 2.6
        connection.enforce_time_limits(monotonic())
        assert (await client.receive()).status == 408


def test_memory_of_long_bodies_goes_back_to_the_system() -> None:
    """Freed blocks below one that stays: the heap's end could not move down past that."""
    program = """
from quillroad.overload.heap import steady
def rss():
    return int(open("/proc/self/statm").read().split()[1]) * 4096
steady()
bytearray(30 << 20)  # freed at once: without the call the C library keeps blocks of this size from here on
before = rss()
held = [bytearray(b"x") * 300_000 for _ in range(100)]
last = [bytes(500) for _ in range(1000)]
grown = rss() - before
held.clear()
print(grown > 25_000_000 and rss() - before < 5_000_000)
"""
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "True"


@on_loop
async def test_an_answer_of_untold_length_is_not_held_back_until_it_is_long() -> None:
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
