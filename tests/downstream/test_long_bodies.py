"""Long request bodies: limits, the memory budget and forwarding to the host."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from time import monotonic

from quillroad.config import SHORT_BODY
from quillroad.downstream.state import PARTIAL
from tests.downstream.long_bodies import (
    BODY,
    LONG_BODY_SETTINGS,
    SIZE,
    host,
    with_length,
)
from tests.net import hang, on_loop, serve_ok, until, world


def head(number: int, size: int) -> bytes:
    return (
        b"POST /audit/k HTTP/1.1\r\nHost: s\r\nRequest-Id: %d\r\nTenant: acme\r\n"
        b"Request-Timeout-Ms: 9000\r\nContent-Length: %d\r\n\r\n" % (number, size)
    )


@on_loop
async def test_a_long_body_reaches_its_host_whole_in_pieces_of_any_size() -> None:
    async with world(serve_ok, **LONG_BODY_SETTINGS) as w, w.client() as client:
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
async def test_expect_100_continue_is_answered_before_the_body() -> None:
    """The client waits for `100 Continue`: without it neither side would continue."""
    async with world(serve_ok, **LONG_BODY_SETTINGS) as w, w.client() as client:
        client.writer.write(
            b"POST /audit/k HTTP/1.1\r\nHost: s\r\nRequest-Id: 78\r\nRequest-Timeout-Ms: 9000\r\n"
            b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
        )
        assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        client.writer.write(b"abc")
        assert (await client.receive()).status == 200
        assert w.hosts[0].seen[0].body == b"abc"


@on_loop
async def test_without_an_admin_address_bodies_are_limited_to_64_kib() -> None:
    """Memory for long bodies is reserved only if the deploy file has an admin address."""
    async with world(host(with_length(b"x" * (SHORT_BODY + 1)))) as w:
        async with w.client() as client:
            assert (await client.ask("/audit/k", b"x" * (SHORT_BODY + 1))).status == 413
        async with w.client() as client:
            assert (await client.ask("/audit/k", b"x")).status == 502


@on_loop
async def test_bodies_beyond_the_budget_are_rejected_at_once_and_all_memory_is_returned() -> None:
    """Of two bodies that do not fit together, the second is rejected and the first is served."""
    async with world(serve_ok, **LONG_BODY_SETTINGS) as w:
        buffers = w.gateway.memory
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
async def test_a_pipelined_long_body_counts_in_the_budget_until_its_answer() -> None:
    """If it were released with the previous response, memory use could exceed the budget."""
    async with world(hang, **LONG_BODY_SETTINGS) as w, w.client() as client:
        buffers, sizes = w.gateway.memory, (200_000, 300_000)
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
async def test_the_time_limit_of_a_head_is_fixed_and_of_a_body_grows() -> None:
    """A slow client that makes progress is not closed; one that stalls in its head is."""
    async with world(serve_ok, **LONG_BODY_SETTINGS) as w, w.client() as client:
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
        connection.last_change -= 2.0  # 4.1 s in all: more than the limit of a head
        connection.enforce_time_limits(monotonic())
        client.writer.write(BODY[99_000:100_000])
        assert (await client.receive()).status == 200
        client.writer.write(head(96, 100_000)[:40])
        await until(lambda: connection._parser.state in PARTIAL)
        connection.last_change -= 2.6
        connection.enforce_time_limits(monotonic())
        assert (await client.receive()).status == 408


def test_memory_of_long_bodies_goes_back_to_the_system() -> None:
    """Without mmap, freed blocks below one in use stay in the heap, which cannot shrink."""
    program = """
from quillroad.overload.heap import fix_mmap_threshold
def rss():
    return int(open("/proc/self/statm").read().split()[1]) * 4096
fix_mmap_threshold()
# Freed at once: without `fix_mmap_threshold` malloc would serve blocks of this size from the heap
# from now on.
bytearray(30 << 20)
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
