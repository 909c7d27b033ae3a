"""The operators' address over loopback, with clients beside it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from time import monotonic

from hypothesis import given, settings
from hypothesis import strategies as st

from quillroad.admin import listener
from quillroad.admin.calls import Call
from quillroad.admin.listener import MAX_CONNECTIONS, OperatorListener
from quillroad.admin.pages import Page, page
from quillroad.overload.acceptor import open_listener
from tests.net import Message, World, answer, hang, on_loop, read_message, serve_ok, until, world

ADMIN = "127.0.0.1:0"


async def call(port: int, path: str, method: str = "GET") -> Message:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: g\r\n\r\n".encode())
    try:
        return await read_message(reader)
    finally:
        writer.close()


async def post(one: World, path: str) -> int:
    assert one.gateway.admin is not None
    return (await call(one.gateway.admin.port, path, "POST")).status


async def figures(one: World) -> dict[str, float]:
    assert one.gateway.admin is not None
    text = (await call(one.gateway.admin.port, "/stats")).body.decode()
    lines = [line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#")]
    return {name: float(value) for name, value in lines}


@on_loop
async def test_metrics_add_up_to_the_requests_taken() -> None:
    """Seven requests end in different ways and one is open: each is counted exactly once."""

    async def by_path(message: Message, writer: asyncio.StreamWriter) -> None:
        if "hangs" in message.first:
            await hang(message, writer)
        writer.write(
            answer(b"", "500 Internal Server Error") if "fails" in message.first else answer()
        )

    async with (
        world(by_path, admin_addr=ADMIN) as one,
        one.client() as waiting,
        one.client() as client,
    ):
        waiting.send("/status-check/hangs")
        await one.hosts[0].came.get()
        for _ in range(5):
            assert (await client.ask()).status == 200
        assert (await client.ask("/seat-checkout/k1", b"x")).status == 200
        assert (await client.ask("/audit/fails", b"x")).status == 502
        told = await figures(one)
        requests = {k: v for k, v in told.items() if k.startswith("svc_requests")}
        assert sum(requests.values()) == 7
        assert requests['svc_requests{class="status-check",outcome="served"}'] == 5
        assert requests['svc_requests{class="seat-checkout",outcome="served"}'] == 1
        assert requests['svc_requests{class="audit",outcome="failed"}'] == 1
        assert told["svc_in_flight"] == 1
        assert told["svc_attempts"] == len(one.hosts[0].seen)
        assert (told["svc_hosts_known"], told["svc_hosts_excluded"]) == (1, 0)


@on_loop
async def test_a_host_out_of_service_gets_nothing_until_put_back() -> None:
    """An operator takes a host out and restarts it; the platform's list calls it up meanwhile.

    A request that reached it then would be lost in the restart."""
    async with world(serve_ok, serve_ok, admin_addr=ADMIN) as one, one.client() as client:
        first = one.hosts[0]
        assert await post(one, "/hosts/nobody/maint") == 404
        assert await post(one, f"/hosts/{first.name}/maint") == 200
        assert await post(one, f"/hosts/{first.name}/maint") == 200
        seen = len(first.seen)
        one.discovery.tell(first.entry(lifecycle="up"))  # what lists say meanwhile changes nothing
        for _ in range(20):
            assert (await client.ask()).status == 200
        assert len(first.seen) == seen  # nothing at all after the yes
        assert (await figures(one))["svc_hosts_excluded"] == 1
        assert await post(one, f"/hosts/{first.name}/ready") == 200
        for _ in range(200):
            await client.ask()
        assert len(first.seen) > seen
        assert (await figures(one))["svc_hosts_excluded"] == 0


@on_loop
async def test_with_the_last_host_out_clients_are_rejected() -> None:
    """An operator takes out the only host: clients get a 503 or 504, not a silent connection."""
    async with world(serve_ok, admin_addr=ADMIN) as one, one.client() as client:
        assert await post(one, f"/hosts/{one.hosts[0].name}/maint") == 200
        assert (await client.ask(Request_Timeout_Ms="300")).status in (503, 504)
        assert one.hosts[0].seen == []
        assert await post(one, f"/hosts/{one.hosts[0].name}/ready") == 200
        assert (await client.ask()).status == 200


@on_loop
async def test_a_drained_gateway_ends_connections_and_comes_back() -> None:
    """An operator drains a gateway with open connections, and puts it back later.

    Requests that still come are answered, with `Connection: close`; idle connections end; after the
    return connections are kept again."""
    async with world(serve_ok, admin_addr=ADMIN) as one:
        assert one.gateway.admin is not None
        async with one.client() as idle, one.client() as asking:
            assert (await idle.ask()).status == 200
            assert await post(one, "/healthcheck/fail") == 200
            assert (await call(one.gateway.admin.port, "/healthcheck")).status == 503
            last = await asking.ask()  # new connections are still taken, and answered
            assert last.status == 200
            assert last.headers["connection"] == "close"
            async with one.client() as up:
                assert (await up.ask("/up", method="GET")).status == 503
            assert await idle.reader.read() == b""
        await until(lambda: len(one.gateway.server.connection_limit) == 0)
        assert await post(one, "/healthcheck/ok") == 200
        assert (await call(one.gateway.admin.port, "/healthcheck")).status == 200
        async with one.client() as client:
            kept = await client.ask()
            assert kept.headers["connection"] == "keep-alive"


@on_loop
async def test_an_operator_cannot_undo_the_end_of_the_process() -> None:
    """SIGTERM, then an operator drains the gateway and takes that back.

    A gateway that called itself ready again would get connections that end with it."""
    async with world(serve_ok, admin_addr=ADMIN) as one:
        assert one.gateway.admin is not None
        ending = asyncio.ensure_future(one.gateway.drain())
        await until(lambda: one.gateway.serving_state.ending)
        assert await post(one, "/healthcheck/fail") == 200
        assert await post(one, "/healthcheck/ok") == 200
        assert one.gateway.server.draining
        assert (await call(one.gateway.admin.port, "/healthcheck")).status == 503
        await ending


@on_loop
async def test_200_unfinished_calls_keep_no_operator_out() -> None:
    """200 connections send half a call and stay; an operator's call is answered within a second."""
    async with world(serve_ok, admin_addr=ADMIN) as one:
        assert one.gateway.admin is not None
        port, halves = one.gateway.admin.port, []
        for _ in range(200):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /healthcheck HTT")
            halves.append((reader, writer))
        began = monotonic()
        assert await post(one, f"/hosts/{one.hosts[0].name}/maint") == 200
        assert monotonic() - began < 1.0  # what is owed by the rule on calls
        assert len(one.gateway.admin.listener) <= MAX_CONNECTIONS
        for _, writer in halves:
            writer.close()
        await until(lambda: one.gateway.admin is not None and len(one.gateway.admin.listener) == 0)


@contextlib.asynccontextmanager
async def alone() -> AsyncIterator[tuple[OperatorListener, int, list[Call]]]:
    calls: list[Call] = []

    def act(told: Call) -> Page:
        calls.append(told)
        return page(200)

    one = OperatorListener(asyncio.get_running_loop(), act)
    sock = open_listener("127.0.0.1", 0)
    port = sock.getsockname()[1]
    one.listen(sock)
    try:
        yield one, port, calls
    finally:
        one.stop()


async def say(port: int, *pieces: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0)
    try:
        return await reader.read()
    finally:
        writer.close()


@on_loop
async def test_a_bad_call_costs_its_own_connection() -> None:
    """Calls that are no HTTP, ambiguous or too long: each gets its status, and changes nothing."""
    async with alone() as (one, port, calls):
        bad: dict[bytes, bytes] = {
            b"nonsense\r\n\r\n": b"400",
            b"GET /no HTTP/1.1\r\nHost: g\r\n\r\n": b"404",
            b"POST /stats HTTP/1.1\r\nHost: g\r\n\r\n": b"405",
            b"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n": b"400",
            b"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 99999\r\n\r\n": b"413",
            b"GET /healthcheck HTTP/1.1\r\nX: " + b"x" * 20_000: b"431",
        }
        for data, status in bad.items():
            assert (await say(port, data)).split()[1] == status
        assert calls == []
        assert (await say(port, b"GET /healthcheck HTTP/1.1\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        await until(lambda: len(one) == 0)


@on_loop
async def test_a_call_that_never_ends_gets_408() -> None:
    before, listener.CALL_TIMEOUT_S = listener.CALL_TIMEOUT_S, 0.05
    try:
        async with alone() as (_, port, calls):
            assert b" 408 " in await say(port, b"POST /healthcheck/fail HTTP/1.1\r\n")
            assert calls == []
    finally:
        listener.CALL_TIMEOUT_S = before


@settings(max_examples=25, deadline=None)
@given(st.lists(st.integers(0, 60), max_size=8))
def test_any_split_of_the_bytes_is_the_same_call(cuts: list[int]) -> None:
    data = b"POST /hosts/s-1/maint HTTP/1.1\r\nHost: g\r\nContent-Length: 3\r\n\r\nabc"
    places = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    pieces = [data[a:b] for a, b in itertools.pairwise(places)]

    @on_loop
    async def play() -> None:
        async with alone() as (_, port, calls):
            assert (await say(port, *pieces)).startswith(b"HTTP/1.1 200 ")
            assert [c.host for c in calls] == ["s-1"]

    play()
